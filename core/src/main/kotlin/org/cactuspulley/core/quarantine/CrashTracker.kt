package org.cactuspulley.core.quarantine

import org.cactuspulley.core.model.AttemptId
import org.cactuspulley.core.model.MonotonicTime
import kotlin.time.Duration.Companion.milliseconds

/** Holds the target crashes that count, by the fingerprint of the request that caused them. */
public class CrashTracker {
    /** Holds for each attempt that crashed its target the time until which the crash counts. */
    private val crashes = mutableMapOf<Fingerprint, MutableMap<AttemptId, MonotonicTime>>()

    /** Adds the crash that [notice] reports. Returns false if the crash is already known. */
    public fun add(notice: CrashNotice, now: MonotonicTime): Boolean {
        val knownCrashes = crashes.getOrPut(notice.fingerprint, ::mutableMapOf)
        if (notice.attempt in knownCrashes) return false
        knownCrashes[notice.attempt] = now + notice.remainingMillis.milliseconds
        return true
    }

    /** Tells whether requests with [fingerprint] may run at [now]. */
    public fun verdict(fingerprint: Fingerprint, now: MonotonicTime): QuarantineVerdict {
        val activeCrashes = crashes[fingerprint]?.values?.filter { it > now }.orEmpty()
        return when {
            activeCrashes.isEmpty() -> QuarantineVerdict.Clear
            activeCrashes.size < QUARANTINE_COUNT -> QuarantineVerdict.Suspect
            else -> QuarantineVerdict.Quarantined(activeCrashes.sortedDescending()[QUARANTINE_COUNT - 1])
        }
    }

    /** Returns notices, for other instances, of the crashes of [fingerprint] that count at [now]. */
    public fun notices(fingerprint: Fingerprint, now: MonotonicTime): List<CrashNotice> = crashes[fingerprint].orEmpty()
        .filterValues { it > now }
        .map { (attempt, until) -> CrashNotice(fingerprint, attempt, (until - now).inWholeMilliseconds) }

    /** Removes the crashes that no longer count at [now]. */
    public fun expire(now: MonotonicTime) {
        crashes.values.forEach { knownCrashes -> knownCrashes.values.removeAll { it <= now } }
        crashes.values.removeAll { it.isEmpty() }
    }

    private companion object {
        /** The number of crashes from which a fingerprint is quarantined. */
        const val QUARANTINE_COUNT = 2
    }
}
