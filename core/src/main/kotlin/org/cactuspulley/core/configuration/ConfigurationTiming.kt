package org.cactuspulley.core.configuration

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Intervals and limits of configuration replication. [freshnessLimit] bounds how long a withdrawn key
 * can still be accepted.
 *
 * @property freshnessLimit the maximum age of the knowledge that an instance serves with.
 * @property heartbeatInterval the time between two heartbeats to each neighbour.
 * @property snapshotInterval the time between two snapshots in the log; it must be well below the log's retention.
 * @property snapshotStagger the extra time per rank that an instance waits for the snapshot of a higher-ranked instance.
 * @property recordsPerSnapshot the number of records after a snapshot at which the next one becomes due.
 * @property appendRetryDelay half of the time after which the append of a withdrawal is tried again.
 * @property appendStagger the extra time per rank that an instance waits before it appends a withdrawal that another one received.
 * @property settlingTime how long an instance without a majority waits after an outage for withdrawals to reach the log.
 * @property electorateShrinkDelay how long the instance list has to lack a majority of the electorate before it replaces the electorate.
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
