package org.cactuspulley.core.routing

import org.cactuspulley.core.targets.KnownTarget
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Reckons what a target can take; the same for every policy. */
internal class TargetCapacity(private val settings: SelectionSettings) {
    fun prefillRate(known: KnownTarget): Long =
        known.load.prefillTokensPerSecond.takeIf { it > 0 } ?: settings.defaultPrefillTokensPerSecond

    fun decodeSlots(known: KnownTarget): Int = known.load.decodeSlots.takeIf { it > 0 } ?: settings.defaultDecodeSlots

    fun prefillTime(known: KnownTarget, tokens: Long): Duration = (tokens.toDouble() / prefillRate(known)).seconds

    /** Whether the target takes one more request; traffic that may wait leaves a reserve to the other. */
    fun accepts(known: KnownTarget, load: LoadEstimate, mayWait: Boolean): Boolean {
        val slots = decodeSlots(known)
        if (mayWait && prefillTime(known, load.prefillTokens) > settings.mayWaitPrefillLimit) return false
        if (slots == 0) return true
        val share = if (mayWait) settings.mayWaitSlotShare else settings.interactiveSlotShare
        return load.requests < (slots * share).coerceAtLeast(1.0)
    }
}
