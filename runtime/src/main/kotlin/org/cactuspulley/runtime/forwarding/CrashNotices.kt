/*
 * The part of a digest that tells peers which requests crash targets.
 */
package org.cactuspulley.runtime.forwarding

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import org.cactuspulley.core.quarantine.RequestTrait

/**
 * What an instance knows of requests that crash targets.
 *
 * @property crashes the crashes that the instance observed recently.
 * @property served the suspected traits of which the instance recently served a request.
 * @property quarantines the quarantines that the instance knows, or some of them in turn.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class CrashNotices(
    val crashes: List<TargetCrashNotice>,
    val served: List<ServedNotice>,
    val quarantines: List<QuarantineNotice>,
)

/**
 * Reports the crash of a target while it ran requests with [traits].
 *
 * @property target the id of the target.
 * @property startedAtMillis the wall-clock time of the newest start that the registry lists, in Unix milliseconds.
 * @property restarts the number of starts since that one which the registry did not list yet.
 * @property ageMillis the time since the crash, in milliseconds at the send of the notice.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class TargetCrashNotice(
    val target: String,
    val startedAtMillis: Long,
    val restarts: Int,
    val traits: EncodedTraits,
    val ageMillis: Long,
)

/** Reports that a request with [traits] was served [ageMillis] milliseconds before the send of the notice. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class ServedNotice(val traits: EncodedTraits, val ageMillis: Long)

/**
 * Reports that requests with all of [traits] are held back.
 *
 * @property crashAgeMillis the time since the last crash on them, in milliseconds at the send of the notice.
 * @property convictions how often crashes were attributed to the traits.
 * @property remainingMillis the time after which the quarantine is forgotten, in milliseconds at the send of the notice.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class QuarantineNotice(
    val traits: EncodedTraits,
    val crashAgeMillis: Long,
    val convictions: Int,
    val remainingMillis: Long,
) {
    /** Whether an instance can have sent the notice; damaged bytes may be decoded to one that would hold for ever. */
    val isPlausible: Boolean
        get() = convictions >= 1 && crashAgeMillis >= 0 && remainingMillis in 0..MAX_REMAINING_MILLIS

    private companion object {
        /** More than the longest hold, of a day, and the time for which a quarantine is kept after that. */
        const val MAX_REMAINING_MILLIS = 2L * 24 * 60 * 60 * 1_000
    }
}

/** The hashes of traits by their kinds: [pieces] of prompts, [paths] with bodies, and [queries] with both. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class EncodedTraits(val pieces: List<Long>, val paths: List<Long>, val queries: List<Long>) {
    fun decode(): Set<RequestTrait> = buildSet {
        paths.mapTo(this) { RequestTrait.PathAndBody(it) }
        queries.mapTo(this) { RequestTrait.WholeRequest(it) }
        pieces.mapTo(this) { RequestTrait.Piece(it) }
    }

    companion object {
        fun of(traits: Collection<RequestTrait>) = EncodedTraits(
            traits.filterIsInstance<RequestTrait.Piece>().map { it.hash },
            traits.filterIsInstance<RequestTrait.PathAndBody>().map { it.hash },
            traits.filterIsInstance<RequestTrait.WholeRequest>().map { it.hash },
        )
    }
}
