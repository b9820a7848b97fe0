/*
 * Message bodies of the log service and the instance list, as specified in docs/PLATFORM.md.
 */
package org.cactuspulley.core.platform

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.membership.Instance

/** The answer to an append; [offset] is the offset of the record. */
@Serializable
public data class AppendAnswer(val offset: Long)

/**
 * The answer to a read.
 *
 * @property records the records, in log order.
 * @property firstKept the lowest offset that the log still holds.
 * @property tail the offset that the next appended record gets.
 */
@Serializable
public data class LogPage(
    val records: List<LogPageRecord>,
    @SerialName("first_kept") val firstKept: Long,
    val tail: Long,
)

/**
 * One record of a page.
 *
 * @property id the record id that the writer assigned.
 * @property timeMillis the time at which the log accepted the record, in milliseconds of its wall clock.
 * @property data the bytes of the record, encoded in base64.
 */
@Serializable
public data class LogPageRecord(
    val offset: Long,
    val id: String,
    @SerialName("time_ms") val timeMillis: Long,
    val data: String,
)

/**
 * A registration of an instance in the platform's instance list.
 *
 * @property timeToLiveMillis the time in milliseconds after which the entry expires unless it is renewed.
 */
@Serializable
public data class ListedInstance(val instance: Instance, @SerialName("ttl_ms") val timeToLiveMillis: Long)

/** The platform's instance list as of [asOfMillis], in milliseconds of its wall clock. */
@Serializable
public data class InstanceListPage(val instances: List<Instance>, @SerialName("as_of_ms") val asOfMillis: Long)

/** The body of an error answer. */
@Serializable
public data class ErrorBody(val error: ErrorDetail)

/**
 * The description of an error.
 *
 * @property type the fixed label of the kind of error.
 * @property message the description for people.
 * @property notRun true only if no part of the request can have run; null in answers of the platform.
 */
@Serializable
public data class ErrorDetail(
    val type: String,
    val message: String,
    @SerialName("not_run") val notRun: Boolean? = null,
)
