package org.cactuspulley.core.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the quarantine.
 *
 * @property crashLifetime how long a crash counts.
 * @property trialLease how long the owner waits for a trial that it hears nothing of.
 * @property trialStartTimeout how long after it was asked for a trial may still be sent.
 * @property ownerSettleTime how long a new owner waits for running trials to be reported before it permits one.
 * @property trialRequestTimeout how long a request waits for the permission.
 * @property requestInterval the pause between two questions for the same permission.
 * @property renewInterval the pause between two reports of a running trial.
 * @property notifiedInstances the number of instances near the workspace that hear of a crash directly.
 */
public data class QuarantineSettings(
    val crashLifetime: Duration = 10.minutes,
    val trialLease: Duration = 30.seconds,
    val trialStartTimeout: Duration = 10.seconds,
    val ownerSettleTime: Duration = 3.seconds,
    val trialRequestTimeout: Duration = 8.seconds,
    val requestInterval: Duration = 250.milliseconds,
    val renewInterval: Duration = 500.milliseconds,
    val notifiedInstances: Int = 8,
)
