package org.cactuspulley.runtime.forwarding

import io.netty.channel.Channel
import io.netty.channel.ChannelOption
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.runtime.http.MemoryHolder
import kotlin.time.Duration

/** What was written to [channel] and has not been taken by the network, because the other side reads slowly or not at all. */
internal class UnreadResponses(private val channel: Channel, private val context: ForwardingContext) : MemoryHolder {
    private val memory = context.responseMemory.Share(this)
    private var addedBytes = 0L
    private var takenBytes = 0L

    /** The bytes that were unread when last recorded. */
    val bytes: Long get() = memory.bytes
    private val pendingBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    /** The time at which the network last took bytes, or the first were queued. */
    override var lastActive: MonotonicTime = context.clock.now()
        private set

    override val isReading: Boolean get() = memory.bytes > 0
    override val heldBytes: Long get() = memory.bytes

    /** Records that [bytes] will be written. */
    fun add(bytes: Int) {
        if (memory.bytes == 0L) lastActive = context.clock.now()
        addedBytes += bytes
    }

    /** Records how much is unread now. */
    fun record() {
        val pending = pendingBytes
        val taken = addedBytes - pending
        if (pending == 0L || taken > takenBytes) lastActive = context.clock.now()
        takenBytes = taken
        if (pending == memory.bytes) return
        if (pending > 0) context.responseMemory.register(this) else context.responseMemory.unregister(this)
        if (!memory.resize(pending) && context.responseMemory.isExceeded) evict()
    }

    /** Resets the connection if something is unread and nothing was taken for [limit]. */
    fun closeIfStalled(limit: Duration) {
        if (memory.bytes == 0L && channel.isWritable) return
        record()
        if (memory.bytes > 0 && context.clock.now() - lastActive > limit) evict()
    }

    /** Resets the connection: after an ordinary close, the system would keep what is unread. */
    override fun evict() {
        context.log.event("unread_response_dropped", "bytes" to memory.bytes)
        release()
        channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    fun release() {
        context.responseMemory.unregister(this)
        memory.resize(0)
    }
}
