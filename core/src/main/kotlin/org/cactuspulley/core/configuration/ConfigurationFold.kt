/*
 * Folds operator records into a configuration. The fold is pure, so the same records give the same
 * configuration on every instance. A configuration never moves to a lower offset, so a restart, a slow
 * reader or a concurrent writer can't undo an accepted change.
 */
package org.cactuspulley.core.configuration

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.record.ConfigurationSnapshot
import org.cactuspulley.core.record.GiveKey
import org.cactuspulley.core.record.OperatorRecord
import org.cactuspulley.core.record.PutFleetPlan
import org.cactuspulley.core.record.PutModel
import org.cactuspulley.core.record.PutProfile
import org.cactuspulley.core.record.PutRoute
import org.cactuspulley.core.record.PutTarget
import org.cactuspulley.core.record.PutWorkspace
import org.cactuspulley.core.record.RemoveModel
import org.cactuspulley.core.record.RemoveProfile
import org.cactuspulley.core.record.RemoveRoute
import org.cactuspulley.core.record.RemoveTarget
import org.cactuspulley.core.record.RemoveWorkspace
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.record.WithdrawKey

/** The result of applying one record to a configuration. */
public sealed interface RecordOutcome {
    /** The record changed the configuration. */
    public data object Accepted : RecordOutcome

    /** The record changed nothing because of [conflict]. */
    public data class Rejected(val conflict: ConfigurationConflict) : RecordOutcome

    /** The record is not an operator record, or its offset is below [Configuration.next]. */
    public data object Ignored : RecordOutcome
}

/** The configuration after one record, and the outcome of that record. */
public data class FoldStep(val configuration: Configuration, val outcome: RecordOutcome)

/** Applies [stored] to this configuration. The record's offset must not exceed [Configuration.next]. */
public fun Configuration.applyRecord(stored: StoredRecord): FoldStep {
    if (stored.offset < next) return FoldStep(this, RecordOutcome.Ignored)
    require(stored.offset == next) { "record at offset ${stored.offset.number} leaves a gap: the next expected offset is ${next.number}" }
    val advanced = copy(next = stored.offset.next())
    val record = stored.record as? OperatorRecord ?: return FoldStep(advanced, RecordOutcome.Ignored)
    return advanced.applyOperatorRecord(record, stored.offset).fold(
        success = { FoldStep(it, RecordOutcome.Accepted) },
        failure = { FoldStep(advanced, RecordOutcome.Rejected(it)) },
    )
}

private fun Configuration.applyOperatorRecord(record: OperatorRecord, offset: LogOffset): Result<Configuration, ConfigurationConflict> =
    when (record) {
        is PutProfile -> putProfile(record, offset)
        is RemoveProfile -> removeProfile(record)
        is PutWorkspace -> putWorkspace(record, offset)
        is RemoveWorkspace -> remove(workspaces, record.id, record.expectedVersion) { withoutWorkspace(record, it) }
        is GiveKey -> giveKey(record)
        is WithdrawKey -> Ok(copy(withdrawnKeys = withdrawnKeys + record.digest, keys = keys - record.digest))
        is PutRoute -> putRoute(record, offset)
        is RemoveRoute -> remove(routes, record.name, record.expectedVersion) { copy(routes = it) }
        is PutModel -> put(models, record.model.name, record.model, record.expectedVersion, offset) { copy(models = it) }
        is RemoveModel -> remove(models, record.name, record.expectedVersion) { copy(models = it) }
        is PutTarget -> putTarget(record, offset)
        is RemoveTarget -> remove(targets, record.id, record.expectedVersion) { copy(targets = it) }
        is PutFleetPlan -> putPlan(record, offset)
        is ConfigurationSnapshot -> Ok(this)
    }

private fun Configuration.putProfile(record: PutProfile, offset: LogOffset): Result<Configuration, ConfigurationConflict> {
    val profile = record.profile
    val conflict = when {
        profile.tokensPerSecond < 0 -> ConfigurationConflict.ValueNotAllowed("tokensPerSecond", "0 or more")
        profile.burstTokens < 1 -> ConfigurationConflict.ValueNotAllowed("burstTokens", "1 or more")
        profile.weight < 1 -> ConfigurationConflict.ValueNotAllowed("weight", "1 or more")
        else -> null
    }
    if (conflict != null) return Err(conflict)
    return put(profiles, profile.name, profile, record.expectedVersion, offset) { copy(profiles = it) }
}

private fun Configuration.removeProfile(record: RemoveProfile): Result<Configuration, ConfigurationConflict> {
    val usingWorkspace = workspaces.values.firstOrNull { record.name in it.value.profiles }
    if (usingWorkspace != null) return Err(ConfigurationConflict.ProfileInUse(record.name, usingWorkspace.value.id))
    return remove(profiles, record.name, record.expectedVersion) { copy(profiles = it) }
}

private fun Configuration.putWorkspace(record: PutWorkspace, offset: LogOffset): Result<Configuration, ConfigurationConflict> {
    val workspace = record.workspace
    if (workspace.profiles.isEmpty()) return Err(ConfigurationConflict.ValueNotAllowed("profiles", "at least one profile"))
    val unknownProfile = workspace.profiles.firstOrNull { it !in profiles }
    if (unknownProfile != null) return Err(ConfigurationConflict.ProfileUnknown(unknownProfile))
    return put(workspaces, workspace.id, workspace, record.expectedVersion, offset) { copy(workspaces = it) }
}

private fun Configuration.withoutWorkspace(
    record: RemoveWorkspace,
    remaining: Map<WorkspaceId, Versioned<Workspace>>,
): Configuration {
    val orphanedKeys = keys.values.filter { it.workspace == record.id }.map { it.digest }
    return copy(workspaces = remaining, keys = keys - orphanedKeys.toSet(), withdrawnKeys = withdrawnKeys + orphanedKeys)
}

private fun Configuration.giveKey(record: GiveKey): Result<Configuration, ConfigurationConflict> {
    val key = record.key
    return when {
        key.digest in withdrawnKeys -> Err(ConfigurationConflict.KeyWithdrawn(key.digest))
        key.digest in keys -> Err(ConfigurationConflict.KeyExists(key.digest))
        key.workspace !in workspaces -> Err(ConfigurationConflict.WorkspaceUnknown(key.workspace))
        else -> Ok(copy(keys = keys + (key.digest to key)))
    }
}

private fun Configuration.putRoute(record: PutRoute, offset: LogOffset): Result<Configuration, ConfigurationConflict> {
    val route = record.route
    if (!route.pathPrefix.startsWith("/")) return Err(ConfigurationConflict.ValueNotAllowed("pathPrefix", "a path that starts with /"))
    return put(routes, route.name, route, record.expectedVersion, offset) { copy(routes = it) }
}

private fun Configuration.putTarget(record: PutTarget, offset: LogOffset): Result<Configuration, ConfigurationConflict> {
    val target = record.target
    if (target.port !in VALID_PORTS) return Err(ConfigurationConflict.ValueNotAllowed("port", "1 to 65535"))
    return put(targets, target.id, target, record.expectedVersion, offset) { copy(targets = it) }
}

private fun Configuration.putPlan(record: PutFleetPlan, offset: LogOffset): Result<Configuration, ConfigurationConflict> {
    val proposed = record.plan
    val conflict = when {
        record.expectedVersion != plan.version ->
            ConfigurationConflict.VersionConflict(record.expectedVersion, plan.version)

        proposed.slotCount < 1 -> ConfigurationConflict.ValueNotAllowed("slotCount", "1 or more")

        proposed.homesPerWorkspace !in 1..proposed.slotCount ->
            ConfigurationConflict.ValueNotAllowed("homesPerWorkspace", "1 to slotCount")

        proposed.intentPartitions < 1 -> ConfigurationConflict.ValueNotAllowed("intentPartitions", "1 or more")

        proposed.concurrentWeightLoads < 1 -> ConfigurationConflict.ValueNotAllowed("concurrentWeightLoads", "1 or more")

        else -> null
    }
    if (conflict != null) return Err(conflict)
    return Ok(copy(plan = Versioned(proposed, offset)))
}

private fun <K, V> put(
    values: Map<K, Versioned<V>>,
    key: K,
    value: V,
    expected: LogOffset?,
    offset: LogOffset,
    replace: (Map<K, Versioned<V>>) -> Configuration,
): Result<Configuration, ConfigurationConflict> {
    val actual = values[key]?.version
    if (actual != expected) return Err(ConfigurationConflict.VersionConflict(expected, actual))
    return Ok(replace(values + (key to Versioned(value, offset))))
}

private fun <K, V> remove(
    values: Map<K, Versioned<V>>,
    key: K,
    expected: LogOffset,
    replace: (Map<K, Versioned<V>>) -> Configuration,
): Result<Configuration, ConfigurationConflict> {
    val actual = values[key]?.version
    if (actual != expected) return Err(ConfigurationConflict.VersionConflict(expected, actual))
    return Ok(replace(values - key))
}

private val VALID_PORTS = 1..65_535
