/*
 * Operator commands that list and change profiles, workspaces, routes, models, targets and the fleet
 * plan. Each change carries the version of the value that it was based on (optimistic concurrency), so
 * of two concurrent changes to one value the later is rejected.
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

/** Creates the subcommands of `operator profiles`. */
internal object ProfileCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows all profiles.", Versioned.serializer(Profile.serializer())) { it.profiles.values },
        PutProfileCommand(),
        RemoveCommand("Removes a profile that no workspace lists.") { name, configuration ->
            configuration.profiles.versionOf(ProfileName(name), "profile").map { RemoveProfile(ProfileName(name), it) }
        },
    )
}

/** Creates a profile or replaces the whole profile of the same name. */
internal class PutProfileCommand : OperatorSubcommand("put", "Creates or replaces a profile.") {
    private val name by argument()
    private val rate by option(help = "Refill rate across all instances, in tokens per second").long().required()
    private val burst by option(help = "Bucket capacity across all instances, in tokens").long().required()
    private val repeatable by option(
        help = "Requests that may run more than once: METHOD:PATH-PREFIX or PATH-PREFIX; may be repeated",
    ).multiple()
    private val mayWait by option(help = "Requests yield to interactive requests").flag()
    private val weight by option(help = "Weight in fair queueing, relative to other profiles").int().default(1)
    private val freeCachedTokens by option(help = "Prompt tokens served from an engine's cache do not count against the rate").flag()

    override fun run() = change { configuration ->
        val profile = Profile(ProfileName(name), rate, burst, repeatable.map(::parseRequestPattern), mayWait, weight, !freeCachedTokens)
        Ok(PutProfile(profile, configuration.profiles[profile.name]?.version))
    }

    /** Parses `METHOD:PATH-PREFIX`, or `PATH-PREFIX` alone for every method. */
    private fun parseRequestPattern(text: String): RequestPattern =
        if (text.startsWith("/")) RequestPattern(pathPrefix = text) else RequestPattern(text.substringBefore(':'), text.substringAfter(':'))
}

/** Replaces the rate and the burst of an existing profile; an option that is absent keeps the current value. */
internal class SetLimitCommand : OperatorSubcommand("set", "Changes the rate and the burst of a profile and keeps its other values.") {
    private val profile by argument()
    private val rate by option(help = "Refill rate across all instances, in tokens per second").long()
    private val burst by option(help = "Bucket capacity across all instances, in tokens").long()

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

/** Creates the subcommands of `operator workspaces`. */
internal object WorkspaceCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows all workspaces.", Versioned.serializer(Workspace.serializer())) { it.workspaces.values },
        PutWorkspaceCommand(),
        RemoveCommand("Removes a workspace; its keys stop working.") { name, configuration ->
            configuration.workspaces.versionOf(WorkspaceId(name), "workspace").map { RemoveWorkspace(WorkspaceId(name), it) }
        },
    )
}

/** Creates a workspace or replaces the whole workspace of the same id. */
internal class PutWorkspaceCommand : OperatorSubcommand("put", "Creates or replaces a workspace.") {
    private val id by argument()
    private val profile by option(
        help = "Permitted profile; may be repeated; the first is the default for requests that name none",
    ).multiple(required = true)

    override fun run() = change { configuration ->
        val workspace = Workspace(WorkspaceId(id), profile.map(::ProfileName))
        Ok(PutWorkspace(workspace, configuration.workspaces[workspace.id]?.version))
    }
}

/** Creates the subcommands of `operator routes`. */
internal object RouteCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows all routes.", Versioned.serializer(Route.serializer())) { it.routes.values },
        PutRouteCommand(),
        RemoveCommand("Removes a route.") { name, configuration ->
            configuration.routes.versionOf(RouteName(name), "route").map { RemoveRoute(RouteName(name), it) }
        },
    )
}

/** Creates a route or replaces the whole route of the same name. */
internal class PutRouteCommand : OperatorSubcommand("put", "Creates or replaces a route.") {
    private val name by argument()
    private val prefix by option(help = "Prefix of the request path").required()
    private val pool by option(help = "Pool of service targets").required()
    private val open by option(help = "Requests need no key").flag()

    override fun run() = change { configuration ->
        val route = Route(RouteName(name), prefix, PoolName(pool), open)
        Ok(PutRoute(route, configuration.routes[route.name]?.version))
    }
}

/** Creates the subcommands of `operator models`. */
internal object ModelCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows all models.", Versioned.serializer(Model.serializer())) { it.models.values },
        PutModelCommand(),
        RemoveCommand("Removes a model.") { name, configuration ->
            configuration.models.versionOf(ModelName(name), "model").map { RemoveModel(ModelName(name), it) }
        },
    )
}

/** Creates a model or replaces the whole model of the same name. */
internal class PutModelCommand : OperatorSubcommand("put", "Creates or replaces a model.") {
    private val name by argument()
    private val pool by option(help = "Pool of engine targets").required()
    private val weights by option(help = "Version of the weights to serve").required()
    private val adapter by option(help = "Adapter that requests may name; may be repeated").multiple()

    override fun run() = change { configuration ->
        val model = Model(ModelName(name), PoolName(pool), WeightsVersion(weights), adapter.map(::AdapterName))
        Ok(PutModel(model, configuration.models[model.name]?.version))
    }
}

/** Creates the subcommands of `operator targets`. */
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

/** Creates a target or replaces the whole target of the same id. */
internal class PutTargetCommand : OperatorSubcommand("put", "Creates or replaces a target.") {
    private val id by argument()
    private val kind by option(help = "Kind of target").enum<TargetKind> { it.name.lowercase().replace('_', '-') }.required()
    private val pool by option(help = "Pool that the target belongs to").required()
    private val host by option(help = "IP address of the target").required()
    private val port by option(help = "TCP port of the target").int().required()
    private val zone by option(help = "Zone that the target runs in").required()
    private val ignoresFencing by option(help = "The target accepts orders with an outdated fencing number").flag()

    override fun run() = change { configuration ->
        val target = Target(TargetId(id), kind, PoolName(pool), host, port, ZoneName(zone), checksFencing = !ignoresFencing)
        Ok(PutTarget(target, configuration.targets[target.id]?.version))
    }
}

/** Marks an existing target as leaving. */
internal class LeaveTargetCommand : OperatorSubcommand("leave", "Marks a target as leaving; it gets no new work.") {
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

/** Creates the subcommands of `operator plan`. */
internal object FleetPlanCommands {
    fun all(): List<OperatorSubcommand> = listOf(
        ListCommand("Shows the fleet plan.", Versioned.serializer(FleetPlan.serializer())) { listOf(it.plan) },
        PutFleetPlanCommand(),
    )
}

/** Changes the fleet plan; an option that is absent keeps the current value. */
internal class PutFleetPlanCommand : OperatorSubcommand("put", "Changes the fleet plan; values without an option stay as they are.") {
    private val slots by option(help = "Number of rate-limit slots that buckets are divided into").int()
    private val homes by option(help = "Number of slots that share the bucket of one workspace").int()
    private val intentPartitions by option(help = "Number of log streams that intents are partitioned over").int()
    private val weightLoads by option(help = "Maximum number of concurrent weight loads").int()

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
