package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A connection on which a message arrives, and which may be closed when memory is short. */
internal interface MemoryHolder {
    /** Whether a message has arrived in part, so that it can be refused as not run. */
    val isReading: Boolean

    /** The time at which the last bytes arrived. */
    val lastActive: MonotonicTime

    /** Refuses the message, closes the connection and releases what the message holds. */
    fun evict()
}

/**
 * Limits the memory of messages that an instance holds; confined to the event loop. A message that exceeds the limit for all together
 * takes the place of messages whose senders are silent, the longest silent first, and must be refused if there are none.
 *
 * @property maxShareBytes the largest number of bytes for one message or connection.
 * @property maxHeldBytes the largest number of bytes for all together.
 * @property now the clock; it is read only when memory is short.
 */
internal class BufferMemory(
    private val maxShareBytes: Long,
    private val maxHeldBytes: Long,
    private val now: () -> MonotonicTime = { MonotonicTime.ZERO },
) {
    private val holders = LinkedHashSet<MemoryHolder>()

    /** The bytes that all shares hold. */
    var heldBytes = 0L
        private set

    /** Whether all together hold too much. */
    val isExceeded: Boolean get() = heldBytes > maxHeldBytes

    /** Lets [holder] be evicted when memory is short. */
    fun register(holder: MemoryHolder) {
        holders += holder
    }

    fun unregister(holder: MemoryHolder) {
        holders -= holder
    }

    /** The bytes that one message or connection holds; [holder] is not evicted for it. */
    inner class Share(private val holder: MemoryHolder? = null) {
        var bytes = 0L
            private set

        /** Changes the bytes that are held to [newBytes]; returns false if the holder must give them up because of a limit. */
        fun resize(newBytes: Long): Boolean {
            val isGrowing = newBytes > bytes
            heldBytes += newBytes - bytes
            bytes = newBytes
            if (isGrowing && heldBytes > maxHeldBytes && bytes <= maxShareBytes) evictSilent(holder)
            return bytes <= maxShareBytes && heldBytes <= maxHeldBytes
        }

        fun grow(addedBytes: Long): Boolean = resize(bytes + addedBytes)
    }

    private fun evictSilent(requester: MemoryHolder?) {
        val latest = now() - EVICTION_SILENCE
        val silent = holders.filter { it !== requester && it.isReading && it.lastActive < latest }.sortedBy { it.lastActive }
        for (holder in silent) {
            if (heldBytes <= maxHeldBytes) return
            holder.evict()
        }
    }

    private companion object {
        /** Half of the header timeout; several repeated segments of TCP, the first of which is sent after 200 ms. */
        val EVICTION_SILENCE: Duration = 1_500.milliseconds
    }
}
