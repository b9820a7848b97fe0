package org.cactuspulley.core.quarantine

import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/** The crashes that count, by fingerprint. */
public class CrashTracker {
    private val crashes = mutableMapOf<Fingerprint, MutableMap<AttemptId, MonotonicTime>>()

    /** Takes note of a crash; false if it is known. */
    public fun add(notice: CrashNotice, now: MonotonicTime): Boolean {
        val knownCrashes = crashes.getOrPut(notice.fingerprint, ::mutableMapOf)
        if (notice.attempt in knownCrashes) return false
        knownCrashes[notice.attempt] = now + notice.remainingMillis.milliseconds
        return true
    }

    /** Whether requests with [fingerprint] may run at [now]. */
    public fun verdict(fingerprint: Fingerprint, now: MonotonicTime): QuarantineVerdict {
        val activeCrashes = crashes[fingerprint]?.values?.filter { it > now }.orEmpty()
        return when {
            activeCrashes.isEmpty() -> QuarantineVerdict.Clear
            activeCrashes.size < QUARANTINE_CRASH_COUNT -> QuarantineVerdict.Suspect
            else -> QuarantineVerdict.Quarantined(activeCrashes.sortedDescending()[QUARANTINE_CRASH_COUNT - 1])
        }
    }

    /** The counting crashes of [fingerprint], for another instance. */
    public fun notices(fingerprint: Fingerprint, now: MonotonicTime): List<CrashNotice> = crashes[fingerprint].orEmpty()
        .filterValues { it > now }
        .map { (attempt, until) -> CrashNotice(fingerprint, attempt, (until - now).inWholeMilliseconds) }

    /** Forgets crashes that no longer count. */
    public fun expire(now: MonotonicTime) {
        crashes.values.forEach { knownCrashes -> knownCrashes.values.removeAll { it <= now } }
        crashes.values.removeAll { it.isEmpty() }
    }

    private companion object {
        const val QUARANTINE_CRASH_COUNT = 2
    }
}
