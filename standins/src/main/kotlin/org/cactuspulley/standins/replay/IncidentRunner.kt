package org.cactuspulley.standins.replay

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.fold
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.cactuspulley.core.configuration.keyDigestOf
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.record.OperatorRecord
import org.cactuspulley.core.record.PutModel
import org.cactuspulley.core.record.PutProfile
import org.cactuspulley.core.record.PutTarget
import org.cactuspulley.core.record.WithdrawKey
import org.cactuspulley.standins.checker.AcceptedChange
import org.cactuspulley.standins.checker.ExecutedIncident
import org.cactuspulley.standins.deployment.DeploymentFixture
import org.cactuspulley.standins.deployment.OperatorFailure
import org.cactuspulley.standins.deployment.engineTargets
import org.cactuspulley.standins.deployment.oldKeyOf
import org.cactuspulley.standins.deployment.serviceTargets
import org.cactuspulley.standins.log.LogFaults
import org.cactuspulley.standins.trace.CutStreams
import org.cactuspulley.standins.trace.EventGaps
import org.cactuspulley.standins.trace.ForeignAnswers
import org.cactuspulley.standins.trace.HotPrefixShift
import org.cactuspulley.standins.trace.InstanceCrash
import org.cactuspulley.standins.trace.InstancePause
import org.cactuspulley.standins.trace.KeyWithdrawn
import org.cactuspulley.standins.trace.LimitRaised
import org.cactuspulley.standins.trace.LogOutage
import org.cactuspulley.standins.trace.LogSlow
import org.cactuspulley.standins.trace.LostAppendAnswers
import org.cactuspulley.standins.trace.LostCallAnswers
import org.cactuspulley.standins.trace.TargetCrash
import org.cactuspulley.standins.trace.TargetLeaving
import org.cactuspulley.standins.trace.TraceIncident
import org.cactuspulley.standins.trace.WeightsChanged
import org.cactuspulley.standins.trace.ZoneCut
import java.util.Collections

/**
 * Carries out the incidents of a trace on a deployment and records the accepted operator changes.
 *
 * @property speed the factor by which the replay is faster than the trace; incidents are shortened by it.
 */
internal class IncidentRunner(private val fixture: DeploymentFixture, private val speed: Double) {
    private val standins = fixture.standins
    private val recordedChanges = Collections.synchronizedList(ArrayList<AcceptedChange>())
    private val recordedIncidents = Collections.synchronizedList(ArrayList<ExecutedIncident>())

    /** The changes that were accepted so far. */
    val acceptedChanges: List<AcceptedChange> get() = recordedChanges.toList()

    /** The incidents that have ended so far. */
    val executedIncidents: List<ExecutedIncident> get() = recordedIncidents.toList()

    /** Carries out [incident] and returns after it has ended. */
    suspend fun run(incident: TraceIncident) = withContext(Dispatchers.IO) {
        val start = System.nanoTime()
        val addresses = (incident as? InstanceCrash)?.let { crash -> crash.instances.map { fixture.instances[it].address }.toSet() }
        val failure = execute(incident)
        recordedIncidents.add(ExecutedIncident(incident, start, System.nanoTime(), addresses.orEmpty(), failure))
    }

    /**
     * Appends the record that [createRecord] returns as an operator and retries up to 20 times, every 500 ms, while that
     * fails. Once the record is read back, stores the change that [toAcceptedChange] makes of the time of acceptance.
     * Returns why the change failed, or null if it was accepted.
     */
    fun applyChange(createRecord: () -> OperatorRecord, toAcceptedChange: (Long) -> AcceptedChange?): String? {
        var result: Result<LogOffset, OperatorFailure> = standins.operator.change { createRecord() }
        repeat(CHANGE_RETRIES) {
            if (result.isErr) {
                Thread.sleep(RETRY_INTERVAL_MILLIS)
                result = standins.operator.change { createRecord() }
            }
        }
        return result.fold(
            success = {
                toAcceptedChange(System.nanoTime())?.let(recordedChanges::add)
                null
            },
            failure = { it.toString() },
        )
    }

    /** Carries out [incident]; returns why it could not be carried out, or null. */
    private suspend fun execute(incident: TraceIncident): String? {
        when (incident) {
            is TargetCrash -> standins.engines[incident.target]?.crash()

            is InstanceCrash -> crashInstances(incident)

            is InstancePause -> return "cannot pause an instance that runs in this process"

            is LogOutage -> executeFor(
                incident.untilMillis - incident.atMillis,
                { updateLogFaults { copy(down = true) } },
                { updateLogFaults { copy(down = false) } },
            )

            is LogSlow -> executeFor(
                incident.untilMillis - incident.atMillis,
                { updateLogFaults { copy(delayMillis = incident.delayMillis) } },
                { updateLogFaults { copy(delayMillis = 0) } },
            )

            is LostAppendAnswers -> updateLogFaults { copy(loseAppendAnswers = incident.count) }

            is LostCallAnswers -> standins.services[incident.target]?.let { it.faults = it.faults.copy(loseAnswers = incident.count) }

            is EventGaps -> executeFor(
                incident.untilMillis - incident.atMillis,
                { setEventLoss(incident.target, incident.share) },
                { setEventLoss(incident.target, 0.0) },
            )

            is ForeignAnswers -> standins.engines[incident.target]?.let { it.faults = it.faults.copy(foreignAnswers = incident.count) }

            is CutStreams -> standins.engines[incident.target]?.let { it.faults = it.faults.copy(cutStreams = incident.count) }

            is ZoneCut -> executeFor(
                incident.untilMillis - incident.atMillis,
                { setZoneDown(incident, true) },
                { setZoneDown(incident, false) },
            )

            is HotPrefixShift -> Unit

            is TargetLeaving, is KeyWithdrawn, is LimitRaised, is WeightsChanged -> return executeOperatorChange(incident)
        }
        return null
    }

    private fun executeOperatorChange(incident: TraceIncident): String? = when (incident) {
        is TargetLeaving -> applyChange(
            {
                standins.operator.configuration.targets.getValue(incident.target).let {
                    PutTarget(it.value.copy(leaving = true), it.version)
                }
            },
            { AcceptedChange.Leaving(it, incident.target) },
        )

        is KeyWithdrawn -> fixture.plan.oldKeyOf(incident.workspace).let { key ->
            applyChange({ WithdrawKey(keyDigestOf(key)) }, { AcceptedChange.KeyWithdrawal(it, incident.workspace, key) })
        }

        is LimitRaised -> applyChange(
            {
                val current = standins.operator.configuration.profiles.getValue(incident.profile)
                PutProfile(
                    current.value.copy(tokensPerSecond = incident.tokensPerSecond, burstTokens = incident.burstTokens),
                    current.version,
                )
            },
            { AcceptedChange.LimitChange(it, incident.profile, incident.tokensPerSecond, incident.burstTokens) },
        )

        is WeightsChanged -> applyChange(
            {
                val current = standins.operator.configuration.models.getValue(incident.model)
                PutModel(current.value.copy(weights = incident.weights), current.version)
            },
            { null },
        )

        else -> null
    }

    /** Crashes the instances and restarts them; waits up to 5 s until they are ready. */
    private suspend fun crashInstances(incident: InstanceCrash) {
        val crashed = incident.instances.map { fixture.instances[it] }
        crashed.forEach { it.crash() }
        delayScaled(incident.backMillis - incident.atMillis)
        crashed.forEach { it.start() }
        repeat(MAX_READY_POLLS) {
            if (crashed.all(fixture::isReady)) return
            delay(READY_POLL_INTERVAL_MILLIS)
        }
    }

    /** Calls [begin] and, after [traceMillis] of trace time, [end]. */
    private suspend fun executeFor(traceMillis: Long, begin: () -> Unit, end: () -> Unit) {
        begin()
        delayScaled(traceMillis)
        end()
    }

    /** Delays by [traceMillis] of trace time, divided by the speed of the replay. */
    private suspend fun delayScaled(traceMillis: Long) = delay((traceMillis / speed).toLong())

    private fun updateLogFaults(change: LogFaults.() -> LogFaults) {
        standins.log.faults = standins.log.faults.change()
    }

    private fun setEventLoss(target: TargetId, share: Double) {
        standins.engines[target]?.let { it.faults = it.faults.copy(eventLoss = share) }
    }

    private fun setZoneDown(incident: ZoneCut, down: Boolean) {
        val targets = (fixture.plan.engineTargets + fixture.plan.serviceTargets).filter { it.zone == incident.zone }
        targets.forEach { target ->
            standins.engines[target.id]?.let { it.faults = it.faults.copy(down = down) }
            standins.services[target.id]?.let { it.faults = it.faults.copy(down = down) }
        }
    }

    private companion object {
        const val CHANGE_RETRIES = 20
        const val RETRY_INTERVAL_MILLIS = 500L
        const val MAX_READY_POLLS = 100
        const val READY_POLL_INTERVAL_MILLIS = 50L
    }
}
