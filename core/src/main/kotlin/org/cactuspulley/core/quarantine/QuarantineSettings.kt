package org.cactuspulley.core.quarantine

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Configures the limits of the quarantine.
 *
 * @property crashLifetime the time for which a crash counts.
 * @property trialLease the time after which the owner considers a trial ended if it gets no report of it.
 * @property trialStartTimeout the time after the first request for a trial within which the trial must be sent to a target.
 * @property ownerSettleTime the time for which a new owner waits for reports of running trials before it grants one.
 * @property trialRequestTimeout the longest time that a request waits for its trial to be granted.
 * @property requestInterval the time between two requests for the same trial.
 * @property renewInterval the time between two reports of a running trial.
 * @property notifiedInstances the number of instances, those ranked highest for the workspace, that are notified of a crash
 *    directly.
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
