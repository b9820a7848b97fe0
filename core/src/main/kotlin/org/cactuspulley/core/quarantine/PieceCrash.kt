package org.cactuspulley.core.quarantine

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.TargetId

/**
 * One start of a target, so that several reports of its crash are recognized as the same crash.
 *
 * @property target the id of the target.
 * @property startedAtMillis the wall-clock time of the target's start in Unix milliseconds.
 */
@Serializable
public data class TargetStart(val target: TargetId, val startedAtMillis: Long)

/**
 * Reports that a target crashed when it began to answer prompts with certain pieces.
 *
 * @property target the target that crashed.
 * @property pieces the shared pieces of the prompts whose answers had begun without a first event.
 * @property ageMillis the time since the crash, in milliseconds at the send of the notice.
 */
@Serializable
public data class PieceCrashNotice(val target: TargetStart, val pieces: Set<Long>, val ageMillis: Long)

/**
 * Reports that a target began to answer a prompt with [piece], which was suspected to crash targets.
 *
 * @property piece the hash of the piece.
 * @property ageMillis the time since the first event of the answer, in milliseconds at the send of the notice.
 */
@Serializable
public data class SoundPieceNotice(val piece: Long, val ageMillis: Long)

/**
 * Reports that prompts that hold all of [pieces] are quarantined.
 *
 * @property pieces the hashes of the pieces.
 * @property remainingMillis the time for which the quarantine still holds, in milliseconds at the send of the notice.
 */
@Serializable
public data class PieceQuarantineNotice(val pieces: Set<Long>, val remainingMillis: Long)
