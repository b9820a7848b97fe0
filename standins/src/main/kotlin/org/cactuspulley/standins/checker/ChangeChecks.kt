/*
 * Checks of how soon and how firmly operators' changes are in force.
 */
package org.cactuspulley.standins.checker

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.standins.load.SendOutcome
import org.cactuspulley.standins.trace.InstanceCrash
import org.cactuspulley.standins.trace.InstancePause
import org.cactuspulley.standins.trace.LogOutage
import org.cactuspulley.standins.trace.LogSlow
import kotlin.time.Duration

/** A leaving target gets no new work after [bound]. */
internal class LeavingTargetCheck(private val bound: Duration) : PromiseCheck {
    override fun violations(run: RunRecord): List<Violation> =
        run.changes.filterIsInstance<AcceptedChange.Leaving>().flatMap { change ->
            val deadline = change.atNanoseconds + bound.inWholeNanoseconds
            run.calls.filter { it.target == change.target && it.startNanoseconds > deadline }
                .map { Violation(Promise.NO_WORK_ON_LEAVING, "${it.target} got ${it.attempt} too late") }
        }
}

/** A withdrawn key works nowhere after [bound]: nothing sent later with it is answered or reaches a target. */
internal class KeyWithdrawalCheck(private val bound: Duration) : PromiseCheck {
    override fun violations(run: RunRecord): List<Violation> {
        val calls = run.calls.groupBy { it.contentDigest }
        return run.changes.filterIsInstance<AcceptedChange.KeyWithdrawal>().flatMap { change ->
            val deadline = change.atNanoseconds + bound.inWholeNanoseconds
            run.requests.filter { it.key == change.key }.flatMap { request ->
                request.sends.filter { it.startNanoseconds > deadline }.mapNotNull { send ->
                    val reachedTarget = calls[request.contentDigest].orEmpty().any {
                        it.startNanoseconds in send.startNanoseconds..send.endNanoseconds
                    }
                    val isStillValid = send.outcome == SendOutcome.WHOLE || reachedTarget
                    if (isStillValid) Violation(Promise.WITHDRAWAL_IN_TIME, "${request.id} ran with a withdrawn key") else null
                }
            }
        }
    }
}

/**
 * An accepted change is in force on every instance within [bound] and never reverts. The first half
 * is not judged where an outage or slowness of the log or the crash of an instance overlaps the bound.
 */
internal class ConfigurationPropagationCheck(private val bound: Duration) : PromiseCheck {
    override fun violations(run: RunRecord): List<Violation> = revertedChanges(run) + lateChanges(run)

    private fun revertedChanges(run: RunRecord): List<Violation> =
        run.probes.groupBy { it.instance to it.incarnation }.flatMap { (instance, probes) ->
            val seenModels = HashSet<ModelName>()
            probes.sortedBy { it.startNanoseconds }.mapNotNull { probe ->
                val lostModels = seenModels - probe.models
                seenModels.addAll(probe.models)
                if (lostModels.isEmpty()) null else Violation(Promise.CONFIGURATION_STAYS, "instance ${instance.first} lost $lostModels")
            }
        }

    private fun lateChanges(run: RunRecord): List<Violation> =
        run.changes.filterIsInstance<AcceptedChange.MarkerModelAddition>().flatMap { change ->
            val deadline = change.atNanoseconds + bound.inWholeNanoseconds
            if (run.incidents.any { mayDelayChange(it, change.atNanoseconds, deadline) }) return@flatMap emptyList()
            run.probes.filter { it.startNanoseconds > deadline && change.model !in it.models }
                .filterNot { probe ->
                    run.incidents.any { mayDelayChange(it, deadline, probe.endNanoseconds) && it.incident is InstanceCrash }
                }
                .map { it.instance }
                .distinct()
                .map { Violation(Promise.CONFIGURATION_STAYS, "instance $it did not have ${change.model} in time") }
        }

    private fun mayDelayChange(executed: ExecutedIncident, from: Long, until: Long): Boolean {
        val overlaps = executed.startNanoseconds <= until && executed.endNanoseconds >= from
        val incident = executed.incident
        return overlaps && (incident is LogOutage || incident is LogSlow || incident is InstanceCrash || incident is InstancePause)
    }
}
