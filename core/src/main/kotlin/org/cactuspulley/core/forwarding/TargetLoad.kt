package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/**
 * The load that all instances place on one target, in units.
 *
 * One unit is a request to a plain service, or a thousand prompt tokens to prefill. A prompt counts by its tokens
 * until its first event, and as [RUNNING_STREAM_UNITS] after that.
 */
public class TargetLoad {
    private class PeerLoad(val units: Double, val expiresAt: MonotonicTime)

    private val peers = HashMap<InstanceId, PeerLoad>()

    /** The sum of the units in [peers]. */
    private var peerUnits = 0.0

    /** When the first entry of [peers] expires, or an earlier time; null if there is none. */
    private var firstExpiryAt: MonotonicTime? = null

    /** The load of this instance in units. */
    public var local: Double = 0.0
        private set

    /** Adds [units] to this instance's load; a negative value subtracts. */
    public fun add(units: Double) {
        local = (local + units).coerceAtLeast(0.0)
    }

    /** Records the load of [peer], which counts until [expiresAt]. */
    public fun recordPeerLoad(peer: InstanceId, units: Double, expiresAt: MonotonicTime) {
        peerUnits += units - (peers.put(peer, PeerLoad(units, expiresAt))?.units ?: 0.0)
        firstExpiryAt = firstExpiryAt?.let { minOf(it, expiresAt) } ?: expiresAt
    }

    /** Returns the load of all instances in units. */
    public fun total(now: MonotonicTime): Double {
        val firstExpiry = firstExpiryAt
        if (firstExpiry != null && firstExpiry <= now) removeExpired(now)
        return local + peerUnits
    }

    private fun removeExpired(now: MonotonicTime) {
        peers.values.removeIf { it.expiresAt <= now }
        peerUnits = peers.values.sumOf { it.units }
        firstExpiryAt = peers.values.minOfOrNull { it.expiresAt }
    }

    /** Conversion of requests to units of load. */
    public companion object {
        private const val TOKENS_PER_UNIT = 1_000.0

        /**
         * The load of a running stream. A stream slows each of the others by a few hundredths of a step, and prompts
         * on the same target wait for it no longer than that.
         */
        public const val RUNNING_STREAM_UNITS: Double = 0.15

        /** Returns the load in units of prefilling [tokens]. */
        public fun prefillUnits(tokens: Int): Double = tokens / TOKENS_PER_UNIT

        /**
         * Returns the load in units, until the first event, of a request with [prompt], of which [cachedTokens] are
         * cached or fetched. It is one unit for a request without a prompt.
         */
        public fun unitsUntilFirstEvent(prompt: PromptDescription?, cachedTokens: Int): Double {
            if (prompt == null) return 1.0
            return (prompt.promptTokens - cachedTokens + cachedTokens * CACHED_TOKEN_COST) / TOKENS_PER_UNIT
        }

        /** Fetching a shared piece takes about a seventh of the time that prefilling it takes. */
        private const val CACHED_TOKEN_COST = 0.15
    }
}
