package org.cactuspulley.runtime.upstream

import io.netty.channel.Channel
import org.cactuspulley.core.effect.TargetAddress

/** Holds the idle connections of one event loop. Only the thread of that loop may use it. */
internal class ConnectionPool(private val maximumIdlePerTarget: Int) {
    private val idle = mutableMapOf<TargetAddress, ArrayDeque<Channel>>()

    /** Removes and returns the most recently used open connection to [target], or returns null if there is none. */
    fun acquire(target: TargetAddress): Channel? {
        val channels = idle[target] ?: return null
        while (channels.isNotEmpty()) {
            val channel = channels.removeLast()
            if (channel.isActive) return channel
        }
        return null
    }

    /** Adds [channel] to the pool, or closes it if the pool for [target] is full. */
    fun release(target: TargetAddress, channel: Channel) {
        val channels = idle.getOrPut(target, ::ArrayDeque)
        if (channel.isActive && channels.size < maximumIdlePerTarget) channels.addLast(channel) else channel.close()
    }

    /** Removes the closed [channel] if the pool contains it. */
    fun remove(target: TargetAddress, channel: Channel) {
        val channels = idle[target] ?: return
        channels.remove(channel)
        if (channels.isEmpty()) idle.remove(target)
    }
}
