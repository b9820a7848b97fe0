package org.cactuspulley.standins.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.core.platform.TargetRole

/**
 * The behaviour of an engine without faults.
 *
 * @property id the target id of the engine.
 * @property models the models that are served at the start.
 * @property role the role at the start.
 * @property decodeSlots the maximum number of requests that run in the batch at the same time.
 * @property cachePieces the capacity of the prefix cache in prompt pieces.
 * @property prefillTokensPerSecond the number of prompt tokens that are computed per second.
 * @property prefillChunkTokens the maximum number of prompt tokens that are computed in one step of the batch.
 * @property stepMicros the duration in microseconds of a step without prompt tokens.
 * @property eventDelayMillis the delay in milliseconds until a cache event becomes visible.
 * @property loadLagMillis the age in milliseconds of the load that the status reports.
 * @property loadWeightsMillis the time in milliseconds to load new weights; more concurrent loads than the capacity multiply it.
 * @property restartMillis the time in milliseconds from a crash until the engine serves again.
 * @property transferMillisPerPiece the time in milliseconds to export or import one cached piece.
 * @property checksFencing whether orders with a stale fencing number are rejected.
 * @property seed the seed for lost cache events and for the ids of calls that carry none.
 */
public data class EngineSettings(
    val id: TargetId,
    val models: List<ServedModel>,
    val role: TargetRole = TargetRole.MIXED,
    val decodeSlots: Int = 16,
    val cachePieces: Int = 256,
    val prefillTokensPerSecond: Int = 20_000,
    val prefillChunkTokens: Int = 1024,
    val stepMicros: Long = 10_000,
    val eventDelayMillis: Long = 200,
    val loadLagMillis: Long = 250,
    val loadWeightsMillis: Long = 500,
    val restartMillis: Long = 1_000,
    val transferMillisPerPiece: Long = 3,
    val checksFencing: Boolean = true,
    val seed: Long = 1,
)

/**
 * The faults of an engine.
 *
 * @property down whether the connection of every call is closed without a response.
 * @property slowFactor the factor by which the duration of every step is multiplied.
 * @property eventLoss the share of cache events that are lost, from 0 to 1.
 * @property cutStreams the number of next requests whose connection is closed halfway through the output.
 * @property emptyAnswers the number of next requests that get an empty response.
 * @property foreignAnswers the number of next requests that get the response to another request.
 */
@Serializable
public data class EngineFaults(
    val down: Boolean = false,
    @SerialName("slow_factor") val slowFactor: Double = 1.0,
    @SerialName("event_loss") val eventLoss: Double = 0.0,
    @SerialName("cut_streams") val cutStreams: Int = 0,
    @SerialName("empty_answers") val emptyAnswers: Int = 0,
    @SerialName("foreign_answers") val foreignAnswers: Int = 0,
)
