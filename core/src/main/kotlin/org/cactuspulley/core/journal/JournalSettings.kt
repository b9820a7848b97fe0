package org.cactuspulley.core.journal

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds of the journal.
 *
 * @property claimTimeout how long an intent may take to be appended and read back.
 * @property outcomeTimeout how long a later sender waits for the outcome of an action that runs.
 * @property appendRetryDelay the pause before an append is tried again.
 * @property idleTimeout how long a stream is followed after its last claim.
 * @property maxKeptAnswerBytes the most bytes of answers in memory; older ones are forgotten first.
 */
public data class JournalSettings(
    val claimTimeout: Duration = 5.seconds,
    val outcomeTimeout: Duration = 30.seconds,
    val appendRetryDelay: Duration = 200.milliseconds,
    val idleTimeout: Duration = 10.minutes,
    val maxKeptAnswerBytes: Long = 16L shl 20,
)
