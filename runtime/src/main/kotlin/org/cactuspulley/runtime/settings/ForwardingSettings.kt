/*
 * The settings of a forwarding instance, which are read from a TOML file. Addresses have the form `host:port`.
 */
package org.cactuspulley.runtime.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.runtime.platform.HostAndPort

/** The settings of one forwarding instance. */
@Serializable
public data class ForwardingSettings(
    val instance: InstanceSettings,
    val listen: ForwardingListenSettings,
    val store: StoreSettings,
    val link: LinkSettings = LinkSettings(),
    val bounds: FleetBounds = FleetBounds(),
    val routing: RoutingSettings = RoutingSettings(),
    val platform: PlatformContractSettings = PlatformContractSettings(),
    val log: LogSettings = LogSettings(LogFormat.JSON.text),
    val stop: StopSettings = StopSettings(),
)

/**
 * The addresses that an instance listens on.
 *
 * @property callers the address for callers, which is also advertised to them.
 * @property questions the addresses at which callers and the platform query entry addresses, readiness and metrics.
 * @property peers the address that other instances send datagrams to.
 */
@Serializable
public data class ForwardingListenSettings(val callers: String, val questions: List<String>, val peers: String)

/**
 * What the platform says of itself.
 *
 * @property contracts the parts of the platform's rules that are in force, by the platform's names; its adapter interprets them.
 */
@Serializable
public data class PlatformContractSettings(val contracts: List<String> = emptyList())

/** The address of the platform's log. */
@Serializable
public data class StoreSettings(val address: String)

/**
 * The network link of the machine.
 *
 * @property megabitsPerSecond the capacity in megabits per second, as an integer or a float; 0 if it is not known.
 */
@Serializable
public data class LinkSettings(
    @SerialName("megabits_per_second") @Serializable(LenientDoubleSerializer::class) val megabitsPerSecond: Double = 0.0,
)

/**
 * Limits that apply to all instances together. The platform provides them, as integers or as floats.
 *
 * @property retryRatio the ratio of allowed retries to requests, for each pool.
 * @property retrySlack the number of retries that are allowed in addition to [retryRatio].
 * @property retryWindowSeconds the length of the window over which retries are counted, in seconds.
 * @property rateWindowSeconds the length of the window over which rate limits are measured, in seconds.
 * @property rateOvershoot the fraction by which a rate limit may be exceeded within the window.
 * @property rateSlackTokens the number of tokens by which a rate limit may be exceeded in addition to [rateOvershoot].
 * @property leaseMillis how long the claim to issue orders remains valid after its holder fails, in milliseconds.
 * @property startLimitMillis how long after newer weights were named a request may still begin on older ones, in milliseconds.
 * @property exposureRatio the ratio of a service's requests that a faulty software version may get while it is released.
 * @property exposureSlack the number of requests that such a version may get in addition to [exposureRatio].
 * @property rollbackMillis how long after its faults have shown a request may still be sent to such a version, in milliseconds.
 */
@Serializable
public data class FleetBounds(
    @SerialName("retry_ratio") @Serializable(LenientDoubleSerializer::class) val retryRatio: Double = 0.2,
    @SerialName("retry_slack") @Serializable(LenientDoubleSerializer::class) val retrySlack: Double = 50.0,
    @SerialName("retry_window_seconds") @Serializable(LenientDoubleSerializer::class) val retryWindowSeconds: Double = 10.0,
    @SerialName("rate_window_seconds") @Serializable(LenientDoubleSerializer::class) val rateWindowSeconds: Double = 8.0,
    @SerialName("rate_overshoot") @Serializable(LenientDoubleSerializer::class) val rateOvershoot: Double = 0.1,
    @SerialName("rate_slack_tokens") @Serializable(LenientDoubleSerializer::class) val rateSlackTokens: Double = 0.0,
    @SerialName("lease_millis") val leaseMillis: Long = 3_000,
    @SerialName("start_limit_millis") @Serializable(LenientDoubleSerializer::class) val startLimitMillis: Double = 8_000.0,
    @SerialName("exposure_ratio") @Serializable(LenientDoubleSerializer::class) val exposureRatio: Double = 0.1,
    @SerialName("exposure_slack") @Serializable(LenientDoubleSerializer::class) val exposureSlack: Double = 50.0,
    @SerialName("rollback_millis") @Serializable(LenientDoubleSerializer::class) val rollbackMillis: Double = 5_000.0,
)

/**
 * The parts of target selection and queueing that a deployment may enable.
 *
 * @property capacityAdmission whether requests are sent only to targets that have slots and memory for them.
 * @property fairQueueing whether waiting requests are ordered by due time and by what their workspaces have consumed.
 * @property targetSpeed whether slow targets get proportionally less.
 * @property queueCapacity the most requests that wait for the targets of one pool if [fairQueueing] is set; 0 if only the memory of the
 *    requests that an instance holds limits them.
 * @property zoneBalancing whether requests leave their zone only if that pays off.
 * @property stagedReleases whether targets with an unknown software version wait until the operators' orders have been read again.
 */
@Serializable
public data class RoutingSettings(
    @SerialName("capacity_admission") val capacityAdmission: Boolean = false,
    @SerialName("fair_queueing") val fairQueueing: Boolean = false,
    @SerialName("target_speed") val targetSpeed: Boolean = false,
    @SerialName("queue_capacity") val queueCapacity: Int = 0,
    @SerialName("zone_balancing") val zoneBalancing: Boolean = false,
    @SerialName("staged_releases") val stagedReleases: Boolean = false,
)

/** Returns the first invalid value of [settings], which were read from [file], or null if all values are valid. */
internal fun validate(settings: ForwardingSettings, file: String): SettingsError? {
    val addresses =
        listOf(
            "listen.callers" to settings.listen.callers,
            "listen.peers" to settings.listen.peers,
            "store.address" to settings.store.address,
        ) +
            settings.listen.questions.map { "listen.questions" to it }
    addresses.firstOrNull { (_, text) -> HostAndPort.parse(text) == null }?.let { (key, text) ->
        return SettingsError.ValueNotAllowed(file, key, text, "host:port")
    }
    val bounds = settings.bounds
    val ranges = listOf(
        Triple("bounds.retry_ratio", bounds.retryRatio, 0.0..1.0),
        Triple("bounds.retry_slack", bounds.retrySlack, 0.0..1e6),
        Triple("bounds.retry_window_seconds", bounds.retryWindowSeconds, 0.1..3_600.0),
        Triple("bounds.rate_window_seconds", bounds.rateWindowSeconds, 0.1..3_600.0),
        Triple("bounds.rate_overshoot", bounds.rateOvershoot, 0.0..1.0),
        Triple("bounds.rate_slack_tokens", bounds.rateSlackTokens, 0.0..1e12),
        Triple("bounds.lease_millis", bounds.leaseMillis.toDouble(), 1.0..600_000.0),
        Triple("bounds.start_limit_millis", bounds.startLimitMillis, 1.0..600_000.0),
        Triple("routing.queue_capacity", settings.routing.queueCapacity.toDouble(), 0.0..1e6),
        Triple("bounds.exposure_ratio", bounds.exposureRatio, 0.0..1.0),
        Triple("bounds.exposure_slack", bounds.exposureSlack, 0.0..1e6),
        Triple("bounds.rollback_millis", bounds.rollbackMillis, 1.0..600_000.0),
        Triple("link.megabits_per_second", settings.link.megabitsPerSecond, 0.0..1e6),
    )
    ranges.firstOrNull { (_, value, allowed) -> value !in allowed }?.let { (key, value, allowed) ->
        return SettingsError.ValueNotAllowed(file, key, value.toString(), "${allowed.start} to ${allowed.endInclusive}")
    }
    if (LogFormat.entries.none { it.text == settings.log.format }) {
        return SettingsError.ValueNotAllowed(file, "log.format", settings.log.format, LogFormat.entries.joinToString { it.text })
    }
    return null
}
