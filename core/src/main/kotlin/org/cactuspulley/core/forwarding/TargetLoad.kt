package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * The work that all instances have at one target, in units of [TOKENS_PER_UNIT]: a request of a plain service is one
 * unit; a prompt counts its own thousands of tokens until its first event, and a part of a unit after that.
 */
public class TargetLoad {
    private class PeerLoad(val units: Double, val expiresAt: MonotonicTime)

    private val peers = HashMap<InstanceId, PeerLoad>()

    /** The work of this instance. */
    public var local: Double = 0.0
        private set

    /** Adds [units] of this instance's work; negative ones take it away. */
    public fun add(units: Double) {
        local = (local + units).coerceAtLeast(0.0)
    }

    /** Takes note of a peer's work, which counts until then. */
    public fun recordPeerLoad(peer: InstanceId, units: Double, expiresAt: MonotonicTime) {
        peers[peer] = PeerLoad(units, expiresAt)
    }

    /** The work of all instances. */
    public fun total(now: MonotonicTime): Double {
        if (peers.isNotEmpty()) peers.values.removeIf { it.expiresAt <= now }
        return local + peers.values.sumOf { it.units }
    }

    /** Units of work. */
    public companion object {
        private const val TOKENS_PER_UNIT = 1_000.0

        /** A running stream slows the others by a few hundredths of a step each; prompts of its server wait for it no longer than that. */
        public const val RUNNING_STREAM_UNITS: Double = 0.15

        /** The work until the first event of a request with [prompt], of which [cachedTokens] tokens are cached or fetched. */
        public fun unitsUntilFirstEvent(prompt: PromptDescription?, cachedTokens: Int): Double {
            if (prompt == null) return 1.0
            return (prompt.promptTokens - cachedTokens + cachedTokens * CACHED_TOKEN_COST) / TOKENS_PER_UNIT
        }

        /** Fetching a shared piece takes about a seventh of the time that reading it takes. */
        private const val CACHED_TOKEN_COST = 0.15
    }
}
