/*
 * The request distribution of each deployment, from which the trace generator samples.
 */
package org.cactuspulley.standins.deployment

import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.WorkspaceId

/**
 * One class of requests of one workspace.
 *
 * @property requestsPerSecond the mean rate of the Poisson arrivals.
 * @property prefixLevels the nested prefixes of a prompt, outermost first; empty for calls of the plain service.
 * @property uniqueTokens the length in tokens of the prompt part that no other request shares.
 * @property outputTokens the range of the maximum number of output tokens.
 * @property path the path of calls of the plain service; null for completions.
 * @property surgeFactor the factor by which the rate rises in the second quarter of a trace.
 */
public data class TrafficClass(
    val workspace: WorkspaceId,
    val profile: ProfileName,
    val requestsPerSecond: Double,
    val prefixLevels: List<PrefixLevel> = emptyList(),
    val uniqueTokens: IntRange = 40..160,
    val outputTokens: IntRange = 16..48,
    val path: String? = null,
    val surgeFactor: Double = 1.0,
)

/**
 * One level of nested prompt prefixes.
 *
 * @property count the number of distinct texts at this level under each text of the level above.
 * @property tokens the range of the length of one text, in tokens.
 * @property zipfExponent the exponent of the Zipf distribution that the texts are sampled from.
 */
public data class PrefixLevel(val name: String, val count: Int, val tokens: IntRange, val zipfExponent: Double)

private const val SURGE_FACTOR = 6.0

/** The traffic classes of this deployment. */
public val DeploymentPlan.traffic: List<TrafficClass>
    get() = when (name) {
        "queensland" -> queenslandTraffic()
        else -> cascadiaTraffic()
    }

private fun DeploymentPlan.cascadiaTraffic(): List<TrafficClass> {
    val planLevel = PrefixLevel("plan", 6, 3_000..6_000, 0.7)
    val prefixLevels = listOf(PrefixLevel("manifold-spec", 6, 12_000..16_000, 0.8), planLevel)
    val smallPrefixLevels = listOf(PrefixLevel("manifold-spec", 3, 12_000..16_000, 0.8), planLevel)
    val (large, small) = workspaces.map { it.id }.let { it.take(2) to it.drop(2) }
    return large.flatMap { workspace ->
        listOf(
            TrafficClass(workspace, ProfileName("slab-question"), 3.5, prefixLevels),
            TrafficClass(workspace, ProfileName("plan-check"), 0.6, prefixLevels, outputTokens = 80..160),
            TrafficClass(workspace, ProfileName("filing"), 0.6, path = "${servicePath}stamps"),
        )
    } + small.flatMapIndexed { index, workspace ->
        listOf(
            TrafficClass(
                workspace,
                ProfileName("slab-question-small"),
                0.9,
                smallPrefixLevels,
                surgeFactor = if (index == 0) SURGE_FACTOR else 1.0,
            ),
            TrafficClass(workspace, ProfileName("filing"), 0.3, path = "${servicePath}permits"),
        )
    }
}

private fun DeploymentPlan.queenslandTraffic(): List<TrafficClass> {
    val runLevel = PrefixLevel("run", 6, 2_000..4_000, 0.7)
    val prefixLevels = listOf(PrefixLevel("ledger", 5, 22_000..28_000, 0.9), runLevel)
    val smallPrefixLevels = listOf(PrefixLevel("ledger", 2, 22_000..28_000, 0.9), runLevel)
    val (large, small) = workspaces.map { it.id }.let { it.take(3) to it.drop(3) }
    return large.flatMap { workspace ->
        listOf(
            TrafficClass(workspace, ProfileName("van-question"), 3.5, prefixLevels),
            TrafficClass(workspace, ProfileName("ledger-draft"), 0.8, prefixLevels, uniqueTokens = 300..900, outputTokens = 100..200),
            TrafficClass(workspace, ProfileName("booking"), 0.5, path = "${servicePath}bookings"),
        )
    } + small.flatMapIndexed { index, workspace ->
        listOf(
            TrafficClass(
                workspace,
                ProfileName("van-question-small"),
                1.0,
                smallPrefixLevels,
                surgeFactor = if (index == 0) SURGE_FACTOR else 1.0,
            ),
            TrafficClass(workspace, ProfileName("booking"), 0.3, path = "${servicePath}bookings"),
        )
    }
}
