package org.cactuspulley.runtime.upstream

import io.netty.channel.Channel
import org.cactuspulley.core.effect.TargetAddress

/** The unused connections of one event loop. Touched only by that loop's thread. */
internal class ConnectionPool(private val maximumIdlePerTarget: Int) {
    private val idle = mutableMapOf<TargetAddress, ArrayDeque<Channel>>()

    /** Takes the most recently used open connection to [target]. */
    fun acquire(target: TargetAddress): Channel? {
        val channels = idle[target] ?: return null
        while (channels.isNotEmpty()) {
            val channel = channels.removeLast()
            if (channel.isActive) return channel
        }
        return null
    }

    /** Keeps [channel] for later, or closes it. */
    fun release(target: TargetAddress, channel: Channel) {
        val channels = idle.getOrPut(target, ::ArrayDeque)
        if (channel.isActive && channels.size < maximumIdlePerTarget) channels.addLast(channel) else channel.close()
    }

    /** Forgets a connection that was closed. */
    fun remove(target: TargetAddress, channel: Channel) {
        val channels = idle[target] ?: return
        channels.remove(channel)
        if (channels.isEmpty()) idle.remove(target)
    }
}
