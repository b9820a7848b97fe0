package org.cactuspulley.standins.checker

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** What the system promises and this checker can judge from outside. */
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

/** A promise that was broken, and what shows it. */
public data class Violation(val promise: Promise, val detail: String)

/**
 * The times within which promises must hold.
 *
 * @property withdrawal from the acceptance of a withdrawal until the key works nowhere.
 * @property configuration from the acceptance of a change until it is in force on every instance.
 * @property leaving from the acceptance of a target's leaving until it gets no new work.
 */
public data class PromiseBounds(
    val withdrawal: Duration = 3.seconds,
    val configuration: Duration = 2.seconds,
    val leaving: Duration = 3.seconds,
)

/** Judges one promise. */
public fun interface PromiseCheck {
    /** Every violation in [run]. */
    public fun violations(run: RunRecord): List<Violation>
}

/** Judges all promises of a run from what callers, targets and operators saw. */
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

    /** Every violation in [run]. */
    public fun check(run: RunRecord): List<Violation> = checks.flatMap { it.violations(run) }
}
