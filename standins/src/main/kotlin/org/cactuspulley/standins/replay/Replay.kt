package org.cactuspulley.standins.replay

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.joinAll
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.cactuspulley.core.timeline.mergeTimelines
import org.cactuspulley.runtime.settings.RoutingPolicyName
import org.cactuspulley.standins.checker.RunRecord
import org.cactuspulley.standins.deployment.DeploymentFixture
import org.cactuspulley.standins.deployment.DeploymentPlan
import org.cactuspulley.standins.load.CallerFleet
import org.cactuspulley.standins.load.LoadProgress
import org.cactuspulley.standins.trace.Trace
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.nanoseconds

/** The reason why a replay could not run. */
public sealed interface ReplayFailure {
    /** No deployment has the [name] that the trace was generated for. */
    public data class DeploymentUnknown(val name: String) : ReplayFailure

    /** Not every instance became ready in time under [policy]. */
    public data class NotReady(val policy: String) : ReplayFailure
}

/**
 * Replays a trace against a new deployment over real sockets.
 *
 * @property speed the factor by which the replay is faster than the trace; 1.0 replays in real time.
 */
public class Replay(private val plan: DeploymentPlan, private val trace: Trace, private val speed: Double = 1.0) {
    /** Replays the trace under [policy] and returns the observations; null if the instances did not become ready. */
    public fun run(policy: RoutingPolicyName, progress: LoadProgress = LoadProgress { _, _ -> }): RunRecord? =
        DeploymentFixture(plan, policy).use { fixture ->
            if (!fixture.start()) return null
            Thread.sleep(SETTLE_MILLIS)
            CallerFleet(plan, { fixture.addresses }).use { callers ->
                runBlocking(Dispatchers.Default) { replayTrace(fixture, callers, policy, progress) }
            }
        }

    private suspend fun CoroutineScope.replayTrace(
        fixture: DeploymentFixture,
        callers: CallerFleet,
        policy: RoutingPolicyName,
        progress: LoadProgress,
    ): RunRecord {
        val incidentRunner = IncidentRunner(fixture, speed)
        val prober = ConfigurationProber(fixture, incidentRunner)
        val start = System.nanoTime()
        val proberJob = prober.start(this)
        val incidentJobs = trace.incidents.map { incident ->
            launch {
                delay((start + (incident.atMillis.milliseconds / speed).inWholeNanoseconds - System.nanoTime()).nanoseconds)
                incidentRunner.run(incident)
            }
        }
        val requests = callers.replay(trace.arrivals, speed, progress)
        incidentJobs.joinAll()
        proberJob.cancelAndJoin()
        return RunRecord(
            plan = plan,
            policy = policy.text,
            startNanoseconds = start,
            endNanoseconds = System.nanoTime(),
            requests = requests,
            calls = fixture.standins.observedCalls,
            changes = incidentRunner.acceptedChanges,
            probes = prober.probes,
            incidents = incidentRunner.executedIncidents,
            timeline = mergeTimelines(fixture.instances.flatMap { it.timelines }),
        )
    }

    private companion object {
        /** The wait before the first request, in which instances obtain rate leases and the first states of targets. */
        const val SETTLE_MILLIS = 2_000L
    }
}
