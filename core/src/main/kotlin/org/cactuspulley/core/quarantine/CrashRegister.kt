package org.cactuspulley.core.quarantine

import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/** The crashes that count, by fingerprint. */
public class CrashRegister {
    private val crashes = mutableMapOf<Fingerprint, MutableMap<AttemptId, MonotonicTime>>()

    /** Takes note of a crash; false if it is known. */
    public fun add(notice: CrashNotice, now: MonotonicTime): Boolean {
        val known = crashes.getOrPut(notice.fingerprint, ::mutableMapOf)
        if (notice.attempt in known) return false
        known[notice.attempt] = now + notice.remainingMillis.milliseconds
        return true
    }

    /** Whether requests with [fingerprint] may run at [now]. */
    public fun verdict(fingerprint: Fingerprint, now: MonotonicTime): QuarantineVerdict {
        val counting = crashes[fingerprint]?.values?.filter { it > now }.orEmpty()
        return when {
            counting.isEmpty() -> QuarantineVerdict.Clear
            counting.size < QUARANTINE_CRASHES -> QuarantineVerdict.Suspect
            else -> QuarantineVerdict.Quarantined(counting.sortedDescending()[QUARANTINE_CRASHES - 1])
        }
    }

    /** The counting crashes of [fingerprint], for another instance. */
    public fun notices(fingerprint: Fingerprint, now: MonotonicTime): List<CrashNotice> = crashes[fingerprint].orEmpty()
        .filterValues { it > now }
        .map { (attempt, until) -> CrashNotice(fingerprint, attempt, (until - now).inWholeMilliseconds) }

    /** Forgets crashes that no longer count. */
    public fun expire(now: MonotonicTime) {
        crashes.values.forEach { known -> known.values.removeAll { it <= now } }
        crashes.values.removeAll { it.isEmpty() }
    }

    private companion object {
        const val QUARANTINE_CRASHES = 2
    }
}
