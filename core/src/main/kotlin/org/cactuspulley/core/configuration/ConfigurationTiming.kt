package org.cactuspulley.core.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * The pace of configuration. [freshnessLimit] bounds how long a withdrawn key can still be accepted.
 *
 * @property freshnessLimit how old an instance's knowledge may be while it serves.
 * @property heartbeatInterval how often each neighbour is asked for news.
 * @property snapshotInterval how often the configuration is repeated in the log; well below the log's retention.
 * @property snapshotStagger how much longer each lower-ranked instance waits for another one's snapshot.
 * @property recordsPerSnapshot the most records between two snapshots.
 * @property appendRetryDelay how long after an uncertain append it is tried again.
 * @property appendStagger how much longer each lower-ranked instance waits before it appends a withdrawal that another one took.
 * @property settlingTime how long an instance that reaches no majority waits after an outage for withdrawals to reach the log.
 * @property electorateShrinkDelay how long the instance list has to lack most instances before majorities are counted without them.
 * @property firstSnapshotDelay how long a started instance waits before it may append a snapshot.
 */
public data class ConfigurationTiming(
    val freshnessLimit: Duration = 2500.milliseconds,
    val heartbeatInterval: Duration = 500.milliseconds,
    val snapshotInterval: Duration = 10.minutes,
    val snapshotStagger: Duration = 5.seconds,
    val recordsPerSnapshot: Long = 1000,
    val appendRetryDelay: Duration = 1.seconds,
    val appendStagger: Duration = 200.milliseconds,
    val settlingTime: Duration = 3.seconds,
    val electorateShrinkDelay: Duration = 60.seconds,
    val firstSnapshotDelay: Duration = 30.seconds,
)
