package org.cactuspulley.standins.deployment

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.onFailure
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.KeyGrant
import org.cactuspulley.core.configuration.Model
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.keyDigestOf
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.core.record.GiveKey
import org.cactuspulley.core.record.OperatorRecord
import org.cactuspulley.core.record.PutFleetPlan
import org.cactuspulley.core.record.PutModel
import org.cactuspulley.core.record.PutProfile
import org.cactuspulley.core.record.PutRoute
import org.cactuspulley.core.record.PutTarget
import org.cactuspulley.core.record.PutWorkspace
import org.cactuspulley.standins.cachestore.CacheStoreStandin
import org.cactuspulley.standins.engine.EngineSettings
import org.cactuspulley.standins.engine.EngineStandin
import org.cactuspulley.standins.engine.FleetCaches
import org.cactuspulley.standins.list.InstanceListStandin
import org.cactuspulley.standins.log.LogStandin
import org.cactuspulley.standins.server.ObservedCall
import org.cactuspulley.standins.service.ServiceStandin
import org.cactuspulley.standins.weights.WeightLoads
import org.cactuspulley.standins.weights.WeightStoreStandin

/**
 * Runs the platform services and the targets of one deployment as stand-ins on loopback.
 *
 * @param customizeEngine maps the settings of an engine to those that it starts with.
 */
public class StandinDeployment(
    public val plan: DeploymentPlan,
    customizeEngine: (EngineSettings) -> EngineSettings = { it },
) : AutoCloseable {
    /** The stand-in for the log. */
    public val log: LogStandin = LogStandin()

    /** The stand-in for the instance list. */
    public val instanceList: InstanceListStandin = InstanceListStandin()

    /** The stand-in for the weight store. */
    public val weightStore: WeightStoreStandin = WeightStoreStandin()

    /** Counts the concurrent weight loads of all engines. */
    public val weightLoads: WeightLoads = WeightLoads(plan.fleet.concurrentWeightLoads)

    /** The operator that writes the configuration to the log. */
    public val operator: OperatorLogClient = OperatorLogClient(log.address)
    private val fleetCaches = FleetCaches()

    /** The engines by target id. */
    public val engines: Map<TargetId, EngineStandin> = plan.engineTargets.associate { it.id to createEngine(it, customizeEngine) }

    /** The targets of the plain service by target id. */
    public val services: Map<TargetId, ServiceStandin> = plan.serviceTargets.associate { it.id to ServiceStandin(it.id) }

    /** The stand-in for the cache store. */
    public val cacheStore: CacheStoreStandin = CacheStoreStandin()

    /** The calls that engines and targets of the plain service received, in the order of their start. */
    public val observedCalls: List<ObservedCall>
        get() = (engines.values.flatMap { it.observedCalls } + services.values.flatMap { it.calls }).sortedBy { it.startNanoseconds }

    private fun createEngine(target: PlannedTarget, customizeEngine: (EngineSettings) -> EngineSettings): EngineStandin {
        val settings = EngineSettings(
            id = target.id,
            models = listOf(ServedModel(plan.model, plan.weights)),
            checksFencing = target.checksFencing,
            seed = target.id.text.hashCode().toLong(),
        )
        return EngineStandin(customizeEngine(settings), weightLoads = weightLoads, fleetCaches = fleetCaches)
    }

    /** Writes the configuration of the deployment to the log; throws if a change is refused. */
    public fun writeConfiguration() {
        configurationChanges().forEach { change ->
            val result: Result<LogOffset, OperatorFailure> = operator.change(change)
            result.onFailure { error("the configuration was refused: $it") }
        }
    }

    private fun configurationChanges(): List<(Configuration) -> OperatorRecord> {
        val records = plan.profiles.map { PutProfile(it) } +
            plan.workspaces.map { PutWorkspace(it) } +
            plan.workspaces.flatMap { listOf(plan.keyOf(it.id), plan.oldKeyOf(it.id)).map { key -> GiveKey(keyGrant(key, it.id)) } } +
            PutModel(Model(plan.model, plan.enginePool, plan.weights)) +
            PutRoute(plan.serviceRoute) +
            targets().map { PutTarget(it) }
        val fleetPlan = { configuration: Configuration -> PutFleetPlan(plan.fleet, configuration.plan.version) }
        return listOf(fleetPlan) + records.map { record -> { _: Configuration -> record } }
    }

    private fun keyGrant(key: String, workspace: WorkspaceId) = KeyGrant(keyDigestOf(key), workspace, "caller")

    private fun targets(): List<Target> = (plan.engineTargets + plan.serviceTargets + plan.cacheStoreTarget).map {
        Target(it.id, it.kind, it.pool, LOOPBACK, portOf(it.id), it.zone, it.checksFencing)
    }

    private fun portOf(id: TargetId): Int = engines[id]?.port ?: services[id]?.port ?: cacheStore.port

    override fun close() {
        engines.values.forEach { it.close() }
        services.values.forEach { it.close() }
        cacheStore.close()
        weightStore.close()
        instanceList.close()
        log.close()
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
    }
}
