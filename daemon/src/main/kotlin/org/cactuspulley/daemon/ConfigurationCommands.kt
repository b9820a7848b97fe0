/*
 * The operator commands on profiles, workspaces, routes, models, targets and the fleet plan. A change
 * names the version that was read just before, so of two operators who race one is refused.
 */
package org.cactuspulley.daemon

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.map
import org.cactuspulley.core.configuration.FleetPlan
import org.cactuspulley.core.configuration.Model
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.configuration.RequestPattern
import org.cactuspulley.core.configuration.Route
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.configuration.Versioned
import org.cactuspulley.core.configuration.Workspace
import org.cactuspulley.core.model.AdapterName
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
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
import org.cactuspulley.runtime.operator.OperatorFailure

internal object ProfileCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows all profiles.", Versioned.serializer(Profile.serializer())) { it.profiles.values },
        PutProfileCommand(),
        RemoveCommand("Removes a profile that no workspace lists.") { name, configuration ->
            configuration.profiles.versionOf(ProfileName(name), "profile").map { RemoveProfile(ProfileName(name), it) }
        },
    )
}

internal class PutProfileCommand : OperatorSubcommand("put", "Creates or replaces a profile.") {
    private val name by argument()
    private val rate by option(help = "Tokens a second over the fleet").long().required()
    private val burst by option(help = "Most tokens at once over the fleet").long().required()
    private val repeatable by option(help = "What may run twice: METHOD:PATH-PREFIX or PATH-PREFIX; may be given several times").multiple()
    private val mayWait by option(help = "Yields to interactive traffic").flag()
    private val weight by option(help = "Share in fair queueing").int().default(1)
    private val freeCachedTokens by option(help = "Reused prompt tokens don't count").flag()

    override fun run() = change { configuration ->
        val profile = Profile(ProfileName(name), rate, burst, repeatable.map(::parseRequestPattern), mayWait, weight, !freeCachedTokens)
        Ok(PutProfile(profile, configuration.profiles[profile.name]?.version))
    }

    private fun parseRequestPattern(text: String): RequestPattern =
        if (text.startsWith("/")) RequestPattern(pathPrefix = text) else RequestPattern(text.substringBefore(':'), text.substringAfter(':'))
}

internal class SetLimitCommand : OperatorSubcommand("set", "Changes rate and burst of a profile and leaves the rest as it is.") {
    private val profile by argument()
    private val rate by option(help = "Tokens a second over the fleet").long()
    private val burst by option(help = "Most tokens at once over the fleet").long()

    override fun run() = change { configuration ->
        val current = configuration.profiles[ProfileName(profile)]
        if (current == null) {
            Err(OperatorFailure.ValueUnknown("profile", profile))
        } else {
            val updated = current.value.copy(
                tokensPerSecond = rate ?: current.value.tokensPerSecond,
                burstTokens = burst ?: current.value.burstTokens,
            )
            Ok(PutProfile(updated, current.version))
        }
    }
}

internal object WorkspaceCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows all workspaces.", Versioned.serializer(Workspace.serializer())) { it.workspaces.values },
        PutWorkspaceCommand(),
        RemoveCommand("Removes a workspace; its keys stop working.") { name, configuration ->
            configuration.workspaces.versionOf(WorkspaceId(name), "workspace").map { RemoveWorkspace(WorkspaceId(name), it) }
        },
    )
}

internal class PutWorkspaceCommand : OperatorSubcommand("put", "Creates or replaces a workspace.") {
    private val id by argument()
    private val profile by option(help = "Permitted profile; the first is used when a request names none").multiple(required = true)

    override fun run() = change { configuration ->
        val workspace = Workspace(WorkspaceId(id), profile.map(::ProfileName))
        Ok(PutWorkspace(workspace, configuration.workspaces[workspace.id]?.version))
    }
}

internal object RouteCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows all routes.", Versioned.serializer(Route.serializer())) { it.routes.values },
        PutRouteCommand(),
        RemoveCommand("Removes a route.") { name, configuration ->
            configuration.routes.versionOf(RouteName(name), "route").map { RemoveRoute(RouteName(name), it) }
        },
    )
}

internal class PutRouteCommand : OperatorSubcommand("put", "Creates or replaces a route.") {
    private val name by argument()
    private val prefix by option(help = "Start of the path").required()
    private val pool by option(help = "Pool of services").required()
    private val open by option(help = "Needs no key").flag()

    override fun run() = change { configuration ->
        val route = Route(RouteName(name), prefix, PoolName(pool), open)
        Ok(PutRoute(route, configuration.routes[route.name]?.version))
    }
}

internal object ModelCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows all models.", Versioned.serializer(Model.serializer())) { it.models.values },
        PutModelCommand(),
        RemoveCommand("Removes a model.") { name, configuration ->
            configuration.models.versionOf(ModelName(name), "model").map { RemoveModel(ModelName(name), it) }
        },
    )
}

internal class PutModelCommand : OperatorSubcommand("put", "Creates or replaces a model.") {
    private val name by argument()
    private val pool by option(help = "Pool of engines").required()
    private val weights by option(help = "Version of the weights in force").required()
    private val adapter by option(help = "Adapter that callers may name; may be given several times").multiple()

    override fun run() = change { configuration ->
        val model = Model(ModelName(name), PoolName(pool), WeightsVersion(weights), adapter.map(::AdapterName))
        Ok(PutModel(model, configuration.models[model.name]?.version))
    }
}

internal object TargetCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows all targets.", Versioned.serializer(Target.serializer())) { it.targets.values },
        PutTargetCommand(),
        LeaveTargetCommand(),
        RemoveCommand("Removes a target.") { name, configuration ->
            configuration.targets.versionOf(TargetId(name), "target").map { RemoveTarget(TargetId(name), it) }
        },
    )
}

internal class PutTargetCommand : OperatorSubcommand("put", "Creates or replaces a target.") {
    private val id by argument()
    private val kind by option(help = "What the target is").enum<TargetKind> { it.name.lowercase().replace('_', '-') }.required()
    private val pool by option(help = "Pool that it belongs to").required()
    private val host by option(help = "IP number").required()
    private val port by option(help = "Port").int().required()
    private val zone by option(help = "Availability zone").required()
    private val ignoresFencing by option(help = "Takes orders with an old fencing number").flag()

    override fun run() = change { configuration ->
        val target = Target(TargetId(id), kind, PoolName(pool), host, port, ZoneName(zone), checksFencing = !ignoresFencing)
        Ok(PutTarget(target, configuration.targets[target.id]?.version))
    }
}

internal class LeaveTargetCommand : OperatorSubcommand("leave", "Gives a target no new work.") {
    private val id by argument()

    override fun run() = change { configuration ->
        val current = configuration.targets[TargetId(id)]
        if (current == null) {
            Err(OperatorFailure.ValueUnknown("target", id))
        } else {
            Ok(PutTarget(current.value.copy(leaving = true), current.version))
        }
    }
}

internal object FleetPlanCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows the fleet plan.", Versioned.serializer(FleetPlan.serializer())) { listOf(it.plan) },
        PutFleetPlanCommand(),
    )
}

internal class PutFleetPlanCommand : OperatorSubcommand("put", "Changes the fleet plan; what is not named stays.") {
    private val slots by option(help = "Slots that buckets are divided into").int()
    private val homes by option(help = "Slots that share one workspace's bucket").int()
    private val intentPartitions by option(help = "Log streams that intents are spread over").int()
    private val weightLoads by option(help = "Most weight loads at one time").int()

    override fun run() = change { configuration ->
        val current = configuration.plan.value
        val plan = FleetPlan(
            slots ?: current.slotCount,
            homes ?: current.homesPerWorkspace,
            intentPartitions ?: current.intentPartitions,
            weightLoads ?: current.concurrentWeightLoads,
        )
        Ok(PutFleetPlan(plan, configuration.plan.version))
    }
}
