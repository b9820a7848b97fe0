package org.cactuspulley.core.routing

/** Measures the oracle and all policies on simulated traffic. It prints one line per deployment and policy with averages over the seeds. */
internal object SelectionPolicyMeasurement {
    private const val HEADING = "%-11s %-13s %8s %8s %8s %8s %11s %7s %6s"

    @JvmStatic
    fun main(arguments: Array<String>) {
        val seeds = arguments.getOrNull(0)?.toInt() ?: 3
        val seconds = arguments.getOrNull(1)?.toInt() ?: 120
        val modes = listOf(ORACLE) + SelectionPolicy.entries.map { SelectionMode.Production(it) }
        for (deployment in listOf(Deployment.CASCADIA, Deployment.QUEENSLAND)) {
            println(HEADING.format("deployment", "policy", "hit", "p50 ms", "p95 ms", "p99 ms", "recomputed", "worst", "n"))
            for (mode in modes) {
                val runs = (1L..seeds).map { SelectionSimulation(deployment, mode, it).run(seconds) }
                val name = if (mode is SelectionMode.Production) mode.policy.name.lowercase() else "oracle"
                println(
                    "%-11s %-13s %8.4f %8.0f %8.0f %8.0f %11.0f %7.2f %6d".format(
                        deployment.name,
                        name,
                        runs.map { it.hitRate }.average(),
                        runs.map { it.timeToFirstTokenMillis(50.0) }.average(),
                        runs.map { it.timeToFirstTokenMillis(95.0) }.average(),
                        runs.map { it.timeToFirstTokenMillis(99.0) }.average(),
                        runs.map { it.recomputedTokens }.average(),
                        runs.map { it.worstToMedianRatio() }.average(),
                        runs.sumOf { it.answeredRequests },
                    ),
                )
            }
        }
    }
}
