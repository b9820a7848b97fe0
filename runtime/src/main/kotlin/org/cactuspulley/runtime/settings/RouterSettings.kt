/*
 * The settings of one router process, which are read from a TOML file. A section may be omitted if all of its keys have
 * defaults. Durations are in milliseconds.
 */
package org.cactuspulley.runtime.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The settings of one router process. */
@Serializable
public data class RouterSettings(
    val instance: InstanceSettings,
    val listen: ListenSettings,
    val peers: PeerSettings,
    val platform: PlatformSettings,
    val tls: TlsSettings? = null,
    val limits: ConnectionLimits = ConnectionLimits(),
    val leases: LeaseSettings = LeaseSettings(),
    val configuration: ConfigurationSettings = ConfigurationSettings(),
    val routing: RoutingPolicySettings = RoutingPolicySettings(),
    val log: LogSettings = LogSettings(),
    val stop: StopSettings = StopSettings(),
    val record: RecordSettings = RecordSettings(),
)

/**
 * The identity of the instance.
 *
 * @property id the ID of the instance, which does not change as long as its address does not.
 * @property zone the zone that the instance runs in.
 */
@Serializable
public data class InstanceSettings(val id: String, val zone: String)

/**
 * The address that callers connect to.
 *
 * @property host the local address to bind.
 * @property port the port to bind; 0 selects any free port.
 * @property advertised the `host:port` that is advertised to callers; by default [host] and the bound port.
 */
@Serializable
public data class ListenSettings(val host: String, val port: Int, val advertised: String? = null)

/**
 * The address that other instances connect to.
 *
 * @property host the local address to bind.
 * @property port the port to bind; 0 selects any free port.
 * @property secret the secret that all instances of the deployment share.
 * @property advertised the `host:port` that is advertised to other instances; by default [host] and the bound port.
 * @property seeds the instances to contact while the platform's instance list is unavailable, each as `id@zone=host:port`.
 */
@Serializable
public data class PeerSettings(
    val host: String,
    val port: Int,
    val secret: String,
    val advertised: String? = null,
    val seeds: List<String> = emptyList(),
)

/**
 * The addresses of the platform's services, each a list of `host:port`.
 *
 * @property log the addresses of the log.
 * @property list the addresses of the instance list.
 * @property weights the addresses of the weight store.
 */
@Serializable
public data class PlatformSettings(val log: List<String>, val list: List<String>, val weights: List<String> = emptyList())

/** The paths of the PEM files with the certificate chain and its private key. */
@Serializable
public data class TlsSettings(val certificate: String, val key: String)

/**
 * Limits on callers.
 *
 * @property bodyBytes the maximum size of a request body, in bytes.
 * @property headerBytes the maximum size of the headers of a request, in bytes.
 * @property connections the maximum number of connections.
 */
@Serializable
public data class ConnectionLimits(
    @SerialName("body_bytes") val bodyBytes: Int = 8 * 1024 * 1024,
    @SerialName("header_bytes") val headerBytes: Int = 16 * 1024,
    @SerialName("connections") val connections: Int = 4096,
)

/**
 * The durations of the leases of rate-limit slots, in milliseconds.
 *
 * @property bulkMillis the lease of the bulk part of a slot, which its instance renews continuously.
 * @property reserveMillis the lease of the reserve part of a slot, which remains valid during an outage of the log.
 * @property driftMillis the maximum drift between the clocks of two instances over one lease.
 */
@Serializable
public data class LeaseSettings(
    @SerialName("bulk_millis") val bulkMillis: Long = 10_000,
    @SerialName("reserve_millis") val reserveMillis: Long = 600_000,
    @SerialName("drift_millis") val driftMillis: Long = 1_000,
)

/**
 * The timing of configuration updates, in milliseconds.
 *
 * @property freshMillis the maximum age of the configuration that an instance serves with. It bounds how long a withdrawn key
 * remains valid.
 * @property heartbeatMillis the interval between two heartbeats to each neighbour.
 * @property snapshotMillis the interval between two snapshots of the configuration in the log. It must be at most a quarter
 * of the log's retention.
 */
@Serializable
public data class ConfigurationSettings(
    @SerialName("fresh_millis") val freshMillis: Long = 2_500,
    @SerialName("heartbeat_millis") val heartbeatMillis: Long = 500,
    @SerialName("snapshot_millis") val snapshotMillis: Long = 600_000,
)

/** Selects the routing policy; [policy] is the [RoutingPolicyName.text] of it. */
@Serializable
public data class RoutingPolicySettings(val policy: String = RoutingPolicyName.PREFIX_AWARE.text) {
    /** The policy that [policy] selects. */
    public val policyName: RoutingPolicyName get() = RoutingPolicyName.entries.first { it.text == policy }
}

/**
 * A policy for selecting targets.
 *
 * @property text the name of the policy in settings and on the command line.
 */
public enum class RoutingPolicyName(public val text: String) {
    PREFIX_AWARE("prefix-aware"),
    ROUND_ROBIN("round-robin"),
    LEAST_LOADED("least-loaded"),
    PREFIX_HASH("prefix-hash"),
}

/** Selects the format of log lines; [format] is the [LogFormat.text] of it. */
@Serializable
public data class LogSettings(val format: String = LogFormat.TEXT.text) {
    /** The format that [format] selects. */
    public val logFormat: LogFormat get() = LogFormat.entries.first { it.text == format }
}

/**
 * A format of log lines.
 *
 * @property text the name of the format in settings.
 */
public enum class LogFormat(public val text: String) {
    TEXT("text"),
    JSON("json"),
}

/** The maximum duration of a graceful stop, in milliseconds. */
@Serializable
public data class StopSettings(@SerialName("deadline_millis") val deadlineMillis: Long = 60_000)

/** The file that a trace of requests without prompt text is written to; no trace is written if [trace] is null. */
@Serializable
public data class RecordSettings(val trace: String? = null)
