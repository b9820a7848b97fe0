/*
 * The settings of a forwarding instance, as they stand in its TOML file. Addresses are `host:port`.
 */
package org.cactuspulley.runtime.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.runtime.platform.HostAndPort

/** All settings of one forwarding instance. */
@Serializable
public data class ForwardingSettings(
    val instance: InstanceSettings,
    val listen: ForwardingListenSettings,
    val store: StoreSettings,
    val bounds: FleetBounds = FleetBounds(),
    val log: LogSettings = LogSettings(LogFormat.JSON.text),
    val stop: StopSettings = StopSettings(),
)

/**
 * Where an instance listens.
 *
 * @property callers where callers connect; they are told this address.
 * @property questions where callers and the platform ask for addresses, readiness and metrics.
 * @property peers where other instances send datagrams.
 */
@Serializable
public data class ForwardingListenSettings(val callers: String, val questions: List<String>, val peers: String)

/** The address of the platform's log. */
@Serializable
public data class StoreSettings(val address: String)

/**
 * Figures that hold for all instances together; the platform states them, whole or fractional as they come.
 *
 * @property retryRatio repeats that the sends of a request to a pool allow, for each request.
 * @property retrySlack repeats that are allowed beyond that.
 * @property rateWindowSeconds the window within which rate limits are judged.
 * @property rateOvershoot the part by which a limit may be exceeded within the window.
 * @property rateSlackTokens the tokens by which it may be exceeded besides.
 * @property leaseMillis how long the claim to give orders outlives its holder.
 */
@Serializable
public data class FleetBounds(
    @SerialName("retry_ratio") @Serializable(LenientDoubleSerializer::class) val retryRatio: Double = 0.2,
    @SerialName("retry_slack") @Serializable(LenientDoubleSerializer::class) val retrySlack: Double = 50.0,
    @SerialName("rate_window_seconds") @Serializable(LenientDoubleSerializer::class) val rateWindowSeconds: Double = 8.0,
    @SerialName("rate_overshoot") @Serializable(LenientDoubleSerializer::class) val rateOvershoot: Double = 0.1,
    @SerialName("rate_slack_tokens") @Serializable(LenientDoubleSerializer::class) val rateSlackTokens: Double = 0.0,
    @SerialName("lease_millis") val leaseMillis: Long = 3_000,
)

/** The first value of [settings], read from [file], that can't be used; null if there is none. */
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
        Triple("bounds.rate_window_seconds", bounds.rateWindowSeconds, 0.1..3_600.0),
        Triple("bounds.rate_overshoot", bounds.rateOvershoot, 0.0..1.0),
        Triple("bounds.rate_slack_tokens", bounds.rateSlackTokens, 0.0..1e12),
        Triple("bounds.lease_millis", bounds.leaseMillis.toDouble(), 1.0..600_000.0),
    )
    ranges.firstOrNull { (_, value, allowed) -> value !in allowed }?.let { (key, value, allowed) ->
        return SettingsError.ValueNotAllowed(file, key, value.toString(), "${allowed.start} to ${allowed.endInclusive}")
    }
    if (LogFormat.entries.none { it.text == settings.log.format }) {
        return SettingsError.ValueNotAllowed(file, "log.format", settings.log.format, LogFormat.entries.joinToString { it.text })
    }
    return null
}
