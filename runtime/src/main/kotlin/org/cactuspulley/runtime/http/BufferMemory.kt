package org.cactuspulley.runtime.http

import org.cactuspulley.core.model.MonotonicTime
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A connection on which a message arrives, and which may be closed when memory is short. Any thread may use it. */
internal interface MemoryHolder {
    /** Whether a message has arrived in part, so that it can be refused as not run. */
    val isReading: Boolean

    /** The time at which the last bytes arrived. */
    val lastActive: MonotonicTime

    /** The bytes that [evict] releases. */
    val heldBytes: Long

    /** Refuses the message, closes the connection and releases what the message holds, at once if the caller is on its event loop. */
    fun evict()
}

/**
 * Limits the memory of messages that a process holds. A message that exceeds the limit for all together takes the place of messages whose
 * senders are silent, the longest silent first, and must be refused if there are none.
 *
 * Connections of several event loops may share it; each [Share] is confined to one of them.
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
    private val holders: MutableSet<MemoryHolder> = ConcurrentHashMap.newKeySet()
    private val held = AtomicLong()

    /** The bytes that all shares hold. */
    val heldBytes: Long get() = held.get()

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
        @Volatile
        var bytes = 0L
            private set

        /** Changes the bytes that are held to [newBytes]; returns false if the holder must give them up because of a limit. */
        fun resize(newBytes: Long): Boolean {
            val addedBytes = newBytes - bytes
            bytes = newBytes
            val total = held.addAndGet(addedBytes)
            if (addedBytes > 0 && total > maxHeldBytes && newBytes <= maxShareBytes) evictSilent(holder)
            return newBytes <= maxShareBytes && heldBytes <= maxHeldBytes
        }

        fun grow(addedBytes: Long): Boolean = resize(bytes + addedBytes)
    }

    private fun evictSilent(requester: MemoryHolder?) {
        val latest = now() - EVICTION_SILENCE
        val silent = holders.filter { it !== requester && it.isReading && it.lastActive < latest }.sortedBy { it.lastActive }
        // A holder of another event loop releases its memory later.
        var excessBytes = heldBytes - maxHeldBytes
        for (holder in silent) {
            if (excessBytes <= 0) return
            excessBytes -= holder.heldBytes
            holder.evict()
        }
    }

    private companion object {
        /** Half of the header timeout; several repeated segments of TCP, the first of which is sent after 200 ms. */
        val EVICTION_SILENCE: Duration = 1_500.milliseconds
    }
}
