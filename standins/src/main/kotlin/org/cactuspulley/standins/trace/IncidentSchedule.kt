package org.cactuspulley.standins.trace

import org.cactuspulley.standins.deployment.DeploymentPlan
import org.cactuspulley.standins.deployment.PlannedTarget
import org.cactuspulley.standins.deployment.engineTargets
import org.cactuspulley.standins.deployment.serviceTargets
import java.util.Random

/**
 * Generates the incidents of [FaultSet.LISTED] at fixed shares of the trace's length.
 *
 * @property random selects the targets, instances, workspaces and zones that the incidents affect.
 * @property traceMillis the length of the trace, in milliseconds.
 */
internal class IncidentSchedule(private val plan: DeploymentPlan, private val random: Random, private val traceMillis: Long) {
    /** Returns the incidents in the order of their times. */
    fun generate(): List<TraceIncident> {
        val engines = plan.engineTargets.shuffled(random)
        val service = randomTarget(plan.serviceTargets)
        val instance = random.nextInt(plan.instances)
        val otherInstances = List(plan.instances) { it } - instance
        val raisedProfile = plan.profiles.first()
        return listOf(
            EventGaps(atPercent(6), atPercent(16), engines[0].id, EVENT_LOSS_SHARE),
            TargetCrash(atPercent(10), engines[1].id),
            LostAppendAnswers(atPercent(14), 3),
            InstanceCrash(atPercent(18), listOf(instance), atPercent(23)),
            KeyWithdrawn(atPercent(22), plan.workspaces[random.nextInt(plan.workspaces.size)].id),
            LimitRaised(atPercent(27), raisedProfile.name, raisedProfile.tokensPerSecond * 5 / 4, raisedProfile.burstTokens * 5 / 4),
            LogOutage(atPercent(32), atPercent(42)),
            LostCallAnswers(atPercent(36), service.id, 1),
            CutStreams(atPercent(44), engines[2].id, 2),
            LogSlow(atPercent(46), atPercent(54), LOG_DELAY_MILLIS),
            HotPrefixShift(atPercent(50)),
            ForeignAnswers(atPercent(55), engines[3].id, 1),
            TargetCrash(atPercent(56), engines[4].id),
            TargetLeaving(atPercent(68), engines[5].id),
            ZoneCut(atPercent(72), atPercent(78), plan.zones[random.nextInt(plan.zones.size)]),
            LostCallAnswers(atPercent(80), service.id, 1),
            InstanceCrash(atPercent(84), otherInstances, atPercent(86)),
        ).sortedBy { it.atMillis }
    }

    private fun atPercent(percent: Int): Long = traceMillis * percent / 100

    private fun randomTarget(targets: List<PlannedTarget>) = targets[random.nextInt(targets.size)]

    private companion object {
        const val EVENT_LOSS_SHARE = 0.3
        const val LOG_DELAY_MILLIS = 400L
    }
}
