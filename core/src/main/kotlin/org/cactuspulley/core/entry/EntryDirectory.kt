/*
 * Tells callers which instances to use. The homes of a workspace come first: the instances that hold
 * its shares of rate and burst, then the next ones in rendezvous order, so that every instance gives
 * nearly the same answer and a workspace's traffic, cache knowledge and token buckets stay together.
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
 * How callers are steered.
 *
 * @property answerLifetime how long a caller may keep an answer.
 * @property leavePropagationTime how long it takes at most until every instance knows that one is leaving.
 * @property tokensPerSecondPerInstance the granted rate that one more instance is named for, in tokens a second.
 * @property minimumInstances the fewest instances that an answer names, as far as there are any.
 * @property requestTransitTime how long a request may take to arrive that was sent just before its answer ran out.
 */
public data class EntrySettings(
    val answerLifetime: Duration = 15.seconds,
    val leavePropagationTime: Duration = 5.seconds,
    val tokensPerSecondPerInstance: Long = 100_000,
    val minimumInstances: Int = 2,
    val requestTransitTime: Duration = 2.seconds,
) {
    /** How long an instance that starts to leave must serve on for the sake of answers that name it. */
    val drainPeriod: Duration get() = leavePropagationTime + answerLifetime + requestTransitTime
}

/** An instance that a caller may use. */
public data class EntryAddress(val instance: InstanceId, val address: String, val zone: ZoneName)

/** Instances in the order in which a caller should try them. The caller drops the answer at [validUntil]. */
public data class EntryAnswer(val addresses: List<EntryAddress>, val validUntil: MonotonicTime)

/** Names the instances that hold a workspace's shares. */
public fun interface WorkspaceHomes {
    /** The holders of the shares of [workspace], the preferred first. */
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
     * The time until which answers that name this instance may be in use; null while it is not leaving.
     * The process must serve at least until then.
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

    /** The instances for a caller of [workspace] who sits in [callerZone]; both may be unknown. */
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
