package org.cactuspulley.core.routing

import org.cactuspulley.core.targets.KnownTarget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Computes the capacity of a target, in the same way for every policy. */
internal class TargetCapacity(private val settings: SelectionSettings) {
    /** Returns the prefill rate in tokens per second: the rate that the target reports, or the configured default. */
    fun prefillRate(known: KnownTarget): Long =
        known.load.prefillTokensPerSecond.takeIf { it > 0 } ?: settings.defaultPrefillTokensPerSecond

    /** Returns the number of requests that the target serves concurrently; 0 if the number is not limited. */
    fun decodeSlots(known: KnownTarget): Int = known.load.decodeSlots.takeIf { it > 0 } ?: settings.defaultDecodeSlots

    /** Returns the time that the target needs to compute [tokens] prompt tokens. */
    fun prefillTime(known: KnownTarget, tokens: Long): Duration = (tokens.toDouble() / prefillRate(known)).seconds

    /** Returns whether the target accepts one more request. Requests that may wait leave a reserve to interactive requests. */
    fun accepts(known: KnownTarget, load: LoadEstimate, mayWait: Boolean): Boolean {
        val slots = decodeSlots(known)
        if (mayWait && prefillTime(known, load.prefillTokens) > settings.mayWaitPrefillLimit) return false
        if (slots == 0) return true
        val share = if (mayWait) settings.mayWaitSlotShare else settings.interactiveSlotShare
        return load.requests < (slots * share).coerceAtLeast(1.0)
    }
}
