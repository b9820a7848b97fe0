/*
 * Checks that operators' changes take effect within their bounds and are not reverted.
 */
package org.cactuspulley.standins.checker

import org.cactuspulley.core.model.ModelName
import org.cactuspulley.standins.load.SendOutcome
import org.cactuspulley.standins.trace.InstanceCrash
import org.cactuspulley.standins.trace.InstancePause
import org.cactuspulley.standins.trace.LogOutage
import org.cactuspulley.standins.trace.LogSlow
import kotlin.time.Duration

/** Checks that a target receives no new call once [bound] has passed since it was marked as leaving. */
internal class LeavingTargetCheck(private val bound: Duration) : PromiseCheck {
    override fun violations(run: RunRecord): List<Violation> =
        run.changes.filterIsInstance<AcceptedChange.Leaving>().flatMap { change ->
            val deadline = change.atNanoseconds + bound.inWholeNanoseconds
            run.calls.filter { it.target == change.target && it.startNanoseconds > deadline }
                .map { Violation(Promise.NO_WORK_ON_LEAVING, "${it.target} received ${it.attempt} after the bound for leaving targets") }
        }
}

/**
 * Checks that a key is rejected everywhere once [bound] has passed since its withdrawal: no request that is sent
 * with it later gets a whole answer or reaches a target.
 */
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
                    if (isStillValid) Violation(Promise.WITHDRAWAL_IN_TIME, "${request.id} was served with a withdrawn key") else null
                }
            }
        }
    }
}

/**
 * Checks that every instance applies an accepted change within [bound] and that no instance reverts a change.
 *
 * The bound is not checked for a change if a log outage, a slow log, or a crash or pause of an instance overlaps the
 * time from the acceptance to the bound. A probe that misses the change after the bound is also ignored if an instance
 * crash overlaps the time from the bound to the end of the probe.
 */
internal class ConfigurationPropagationCheck(private val bound: Duration) : PromiseCheck {
    override fun violations(run: RunRecord): List<Violation> = revertedChanges(run) + lateChanges(run)

    private fun revertedChanges(run: RunRecord): List<Violation> =
        run.probes.groupBy { it.instance to it.incarnation }.flatMap { (instance, probes) ->
            val seenModels = HashSet<ModelName>()
            probes.sortedBy { it.startNanoseconds }.mapNotNull { probe ->
                val lostModels = seenModels - probe.models
                seenModels.addAll(probe.models)
                if (lostModels.isEmpty()) {
                    null
                } else {
                    Violation(
                        Promise.CONFIGURATION_STAYS,
                        "instance ${instance.first} no longer lists $lostModels",
                    )
                }
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
                .map { Violation(Promise.CONFIGURATION_STAYS, "instance $it did not list ${change.model} within the bound") }
        }

    /** Whether [executed] overlaps the time between [from] and [until] and can delay a change. */
    private fun mayDelayChange(executed: ExecutedIncident, from: Long, until: Long): Boolean {
        val overlaps = executed.startNanoseconds <= until && executed.endNanoseconds >= from
        val incident = executed.incident
        return overlaps && (incident is LogOutage || incident is LogSlow || incident is InstanceCrash || incident is InstancePause)
    }
}
