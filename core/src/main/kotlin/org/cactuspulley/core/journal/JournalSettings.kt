package org.cactuspulley.core.journal

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Configures the limits of the journal.
 *
 * @property claimTimeout the longest time that an intent may take to be appended and read back.
 * @property outcomeTimeout the longest time that a resend waits for the outcome of the request that holds its key.
 * @property appendRetryDelay the time between an append whose result is unknown and the next attempt.
 * @property idleTimeout the time for which a stream is followed after its last use.
 * @property maxKeptAnswerBytes the limit on the bodies of the answers in memory, in bytes. The oldest answers are evicted
 *    first.
 */
public data class JournalSettings(
    val claimTimeout: Duration = 5.seconds,
    val outcomeTimeout: Duration = 30.seconds,
    val appendRetryDelay: Duration = 200.milliseconds,
    val idleTimeout: Duration = 10.minutes,
    val maxKeptAnswerBytes: Long = 16L shl 20,
)
