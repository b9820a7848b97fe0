/*
 * Tells callers which instances to use. First come the home instances of a workspace, which hold its shares of rate and
 * burst, then the other instances in rendezvous order. So all instances give nearly the same answer, and the traffic, cache
 * state and token buckets of a workspace stay on the same instances.
 */
package org.cactuspulley.core.entry

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.StopRequested
import org.cactuspulley.core.instance.CorePart
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.model.rendezvousRank
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * The settings of answers to callers.
 *
 * @property answerLifetime how long a caller may keep an answer.
 * @property leavePropagationTime the maximum time until every instance knows that one of them is leaving.
 * @property tokensPerSecondPerInstance the granted rate per named instance, in tokens per second; a higher rate adds instances.
 * @property minimumInstances the minimum number of instances in an answer, if there are as many.
 * @property requestTransitTime the maximum transit time of a request, which may be sent just before the answer expires.
 */
public data class EntrySettings(
    val answerLifetime: Duration = 15.seconds,
    val leavePropagationTime: Duration = 5.seconds,
    val tokensPerSecondPerInstance: Long = 100_000,
    val minimumInstances: Int = 2,
    val requestTransitTime: Duration = 2.seconds,
) {
    /** How long a leaving instance must keep serving, because unexpired answers name it. */
    val drainPeriod: Duration get() = leavePropagationTime + answerLifetime + requestTransitTime
}

/**
 * An instance that a caller may use.
 *
 * @property address the host and port that callers connect to.
 */
public data class EntryAddress(val instance: InstanceId, val address: String, val zone: ZoneName)

/**
 * An answer to a caller.
 *
 * @property addresses the instances in the order in which the caller should try them.
 * @property validUntil when the caller must discard the answer.
 */
public data class EntryAnswer(val addresses: List<EntryAddress>, val validUntil: MonotonicTime)

/** Looks up the instances that hold the shares of a workspace. */
public fun interface WorkspaceHomes {
    /** Returns the holders of the shares of [workspace], the preferred one first. */
    public fun homesOf(workspace: WorkspaceId): List<InstanceId>
}

/** Answers callers who ask which instances to use. */
public class EntryDirectory(
    private val self: InstanceId,
    private val settings: EntrySettings = EntrySettings(),
    private val homes: WorkspaceHomes = WorkspaceHomes { emptyList() },
) : CorePart {
    private var membership = Membership(self, emptyMap())
    private var configuration = Configuration()

    /**
     * When the last answers that name this instance have expired; null while it is not leaving. The process must keep
     * serving at least until then.
     */
    public var advertisedUntil: MonotonicTime? = null
        private set

    override val nextDeadline: MonotonicTime? get() = null

    override fun handle(event: CoreEvent, now: MonotonicTime): List<CoreEffect> {
        when (event) {
            is MembershipChanged -> membership = event.membership
            is ConfigurationChanged -> configuration = event.configuration
            is StopRequested -> startLeaving(now)
            else -> Unit
        }
        return emptyList()
    }

    /** Returns the instances for a caller of [workspace] in [callerZone]; both may be unknown. Instances in that zone come first. */
    public fun answer(workspace: WorkspaceId?, callerZone: ZoneName?, now: MonotonicTime): EntryAnswer {
        val candidates = membership.live.filter { it.id != self || advertisedUntil == null }
        val chosen = rankCandidates(workspace, candidates).take(instanceCount(workspace))
        val ordered = chosen.sortedBy { if (it.zone == callerZone) 0 else 1 }
        return EntryAnswer(ordered.map { EntryAddress(it.id, it.address, it.zone) }, now + settings.answerLifetime)
    }

    private fun rankCandidates(workspace: WorkspaceId?, candidates: List<Instance>): List<Instance> {
        val ranked = rendezvousRank(workspace?.text.orEmpty(), candidates) { it.id.text }
        if (workspace == null) return ranked
        val byId = candidates.associateBy { it.id }
        return (homes.homesOf(workspace).mapNotNull { byId[it] } + ranked).distinct()
    }

    private fun instanceCount(workspace: WorkspaceId?): Int {
        val profiles = workspace?.let { configuration.workspaces[it] }?.value?.profiles.orEmpty()
        val granted = profiles.sumOf { configuration.profiles[it]?.value?.tokensPerSecond ?: 0 }
        val needed = (granted + settings.tokensPerSecondPerInstance - 1) / settings.tokensPerSecondPerInstance
        return needed.coerceIn(settings.minimumInstances.toLong(), Int.MAX_VALUE.toLong()).toInt()
    }

    private fun startLeaving(now: MonotonicTime) {
        if (advertisedUntil == null) advertisedUntil = now + settings.drainPeriod
    }
}
