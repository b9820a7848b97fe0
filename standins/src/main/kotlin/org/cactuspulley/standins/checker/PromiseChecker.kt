package org.cactuspulley.standins.checker

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * A promise of the system that can be checked from outside, by what callers, targets and operators observe.
 *
 * @property text the name of a violation in reports.
 */
public enum class Promise(public val text: String) {
    WITHIN_RATE("over_rate"),
    AT_MOST_ONCE("double_run"),
    OWN_WHOLE_ANSWER("foreign_or_broken_answer"),
    TRUTHFUL_NOT_RUN("false_not_run"),
    NO_WORK_ON_LEAVING("work_on_leaving_target"),
    KEY_HIDDEN("key_leaked"),
    WITHDRAWAL_IN_TIME("late_withdrawal"),
    CONFIGURATION_STAYS("reverted_or_late_configuration"),
    OWN_WORKSPACE("foreign_workspace"),
}

/**
 * One violation of a promise.
 *
 * @property detail the observation that proves the violation.
 */
public data class Violation(val promise: Promise, val detail: String)

/**
 * The time limits of the promises.
 *
 * @property withdrawal the longest time from the acceptance of a key withdrawal until every instance rejects the key.
 * @property configuration the longest time from the acceptance of a change until every instance applies it.
 * @property leaving the longest time from the acceptance of a change that marks a target as leaving until the target
 *   receives no new work.
 */
public data class PromiseBounds(
    val withdrawal: Duration = 3.seconds,
    val configuration: Duration = 2.seconds,
    val leaving: Duration = 3.seconds,
)

/** Checks one promise. */
public fun interface PromiseCheck {
    /** Returns every violation in [run]. */
    public fun violations(run: RunRecord): List<Violation>
}

/** Checks all promises against the observations that callers, targets and operators made in a run. */
public class PromiseChecker(bounds: PromiseBounds = PromiseBounds()) {
    private val checks: List<PromiseCheck> = listOf(
        RateLimitCheck,
        AtMostOnceCheck,
        AnswerIntegrityCheck,
        NotRunCheck,
        LeavingTargetCheck(bounds.leaving),
        KeyExposureCheck,
        KeyWithdrawalCheck(bounds.withdrawal),
        ConfigurationPropagationCheck(bounds.configuration),
        WorkspaceIsolationCheck,
    )

    /** Returns every violation in [run]. */
    public fun check(run: RunRecord): List<Violation> = checks.flatMap { it.violations(run) }
}
