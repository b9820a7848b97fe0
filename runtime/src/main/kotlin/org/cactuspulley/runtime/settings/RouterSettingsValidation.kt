/*
 * Validates the values of the settings, beyond the types that the decoder checks.
 */
package org.cactuspulley.runtime.settings

private val NAME_PATTERN = Regex("[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
private val HOST_AND_PORT_PATTERN = Regex("""(\[[0-9A-Fa-f:.]+]|[A-Za-z0-9.-]+):(\d{1,5})""")
private val SEED_PATTERN = Regex("""([A-Za-z0-9][A-Za-z0-9._-]{0,63})@([A-Za-z0-9][A-Za-z0-9._-]{0,63})=(.+)""")
private val PORT_RANGE = 0..65_535
private const val MIN_SECRET_LENGTH = 16

/**
 * A validation rule that was evaluated for one key.
 *
 * @property key the key that the rule applies to.
 * @property value the value of the key.
 * @property isSatisfied whether the value is allowed.
 * @property allowed a description of the allowed values.
 */
private class SettingsRule(val key: String, val value: Any?, val isSatisfied: Boolean, val allowed: String)

/** Returns an error for the first rule that [settings], which were read from [file], violate; null if they satisfy all rules. */
internal fun validate(settings: RouterSettings, file: String): SettingsError? {
    val violated = (nameRules(settings) + addressRules(settings) + numberRules(settings) + choiceRules(settings))
        .firstOrNull { !it.isSatisfied } ?: return null
    return SettingsError.ValueNotAllowed(file, violated.key, violated.value.toString(), violated.allowed)
}

private fun nameRules(settings: RouterSettings): List<SettingsRule> = listOf(
    nameRule("instance.id", settings.instance.id),
    nameRule("instance.zone", settings.instance.zone),
    SettingsRule(
        "peers.secret",
        "(${settings.peers.secret.length} characters)",
        settings.peers.secret.length >= MIN_SECRET_LENGTH,
        "$MIN_SECRET_LENGTH characters or more",
    ),
)

private fun nameRule(key: String, value: String) =
    SettingsRule(key, value, NAME_PATTERN.matches(value), "1 to 64 letters, digits, dots, dashes and underscores")

private fun addressRules(settings: RouterSettings): List<SettingsRule> = listOf(
    SettingsRule("listen.host", settings.listen.host, settings.listen.host.isNotBlank(), "a local address"),
    SettingsRule("listen.port", settings.listen.port, settings.listen.port in PORT_RANGE, "0 (any free port) to 65535"),
    SettingsRule("peers.host", settings.peers.host, settings.peers.host.isNotBlank(), "a local address"),
    SettingsRule("peers.port", settings.peers.port, settings.peers.port in PORT_RANGE, "0 (any free port) to 65535"),
    addressRule("listen.advertised", listOfNotNull(settings.listen.advertised)),
    addressRule("peers.advertised", listOfNotNull(settings.peers.advertised)),
    nonEmptyRule("platform.log", settings.platform.log),
    addressRule("platform.log", settings.platform.log),
    nonEmptyRule("platform.list", settings.platform.list),
    addressRule("platform.list", settings.platform.list),
    addressRule("platform.weights", settings.platform.weights),
    seedRule(settings.peers.seeds),
)

private fun nonEmptyRule(key: String, values: List<String>) = SettingsRule(key, "[]", values.isNotEmpty(), "one host:port or more")

private fun addressRule(key: String, values: List<String>): SettingsRule {
    val invalid = values.firstOrNull { !isAddress(it) }
    return SettingsRule(key, invalid, invalid == null, "host:port with a port from 1 to 65535")
}

private fun isAddress(text: String): Boolean {
    val port = HOST_AND_PORT_PATTERN.matchEntire(text)?.groupValues?.get(2)?.toInt() ?: return false
    return port in 1..PORT_RANGE.last
}

private fun seedRule(seeds: List<String>): SettingsRule {
    val invalid = seeds.firstOrNull { seed -> SEED_PATTERN.matchEntire(seed)?.groupValues?.get(3)?.let(::isAddress) != true }
    return SettingsRule("peers.seeds", invalid, invalid == null, "id@zone=host:port")
}

private fun numberRules(settings: RouterSettings): List<SettingsRule> = listOf(
    numberRule("limits.body_bytes", settings.limits.bodyBytes.toLong(), 1024L..1_073_741_824L),
    numberRule("limits.header_bytes", settings.limits.headerBytes.toLong(), 1024L..1_048_576L),
    numberRule("limits.connections", settings.limits.connections.toLong(), 1L..1_000_000L),
    numberRule("leases.bulk_millis", settings.leases.bulkMillis, 1_000L..3_600_000L),
    numberRule("leases.reserve_millis", settings.leases.reserveMillis, settings.leases.bulkMillis..86_400_000L),
    numberRule("leases.drift_millis", settings.leases.driftMillis, 0L..settings.leases.bulkMillis),
    numberRule("configuration.fresh_millis", settings.configuration.freshMillis, 500L..18_000L),
    numberRule("configuration.heartbeat_millis", settings.configuration.heartbeatMillis, 50L..settings.configuration.freshMillis / 3),
    numberRule("configuration.snapshot_millis", settings.configuration.snapshotMillis, 1_000L..86_400_000L),
    numberRule("stop.deadline_millis", settings.stop.deadlineMillis, 0L..86_400_000L),
)

private fun numberRule(key: String, value: Long, allowed: LongRange) =
    SettingsRule(key, value, value in allowed, "${allowed.first} to ${allowed.last}")

private fun choiceRules(settings: RouterSettings): List<SettingsRule> = listOf(
    choiceRule("routing.policy", settings.routing.policy, RoutingPolicyName.entries.map { it.text }),
    choiceRule("log.format", settings.log.format, LogFormat.entries.map { it.text }),
)

private fun choiceRule(key: String, value: String, allowed: List<String>) =
    SettingsRule(key, value, value in allowed, allowed.joinToString(" | "))
