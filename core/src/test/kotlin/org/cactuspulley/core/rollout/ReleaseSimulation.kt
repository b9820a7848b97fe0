package org.cactuspulley.core.rollout

import org.cactuspulley.core.forwarding.FleetView
import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.POOL
import org.cactuspulley.core.forwarding.START
import org.cactuspulley.core.forwarding.SelectionCriteria
import org.cactuspulley.core.forwarding.ServiceTimesRegistry
import org.cactuspulley.core.forwarding.TargetDirectory
import org.cactuspulley.core.forwarding.TargetRateLimits
import org.cactuspulley.core.forwarding.TargetSelector
import org.cactuspulley.core.forwarding.entry
import org.cactuspulley.core.forwarding.fleetMember
import org.cactuspulley.core.forwarding.grant
import org.cactuspulley.core.forwarding.route
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ZoneName
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** A request on its way; [load] is the number of requests that its target got within the last half second. */
internal class Sent(val version: String, val target: String, val route: String, val at: Duration, val load: Int, val chance: Double)

/** How a target responds: it fails, or takes [factor] times as long as usual. */
internal class Response(val fails: Boolean = false, val factor: Double = 1.0)

/** A fleet in virtual time whose first live instance holds the lease; its targets respond as [behavior] says. */
internal class ReleaseSimulation(
    seed: Int = 1,
    private val perSecond: Int = 200,
    instances: Int = 4,
    private val behavior: (Sent) -> Response = { Response() },
) {
    private class Pending(val endsAt: MonotonicTime, val record: () -> Unit)

    inner class Instance(index: Int, random: Random) {
        val id = InstanceId("i-$index")
        val releases = ReleaseDirectory()
        val controller = ReleaseController(releases, ServiceTimesRegistry())
        val versions = VersionSelector(releases, directory, random = random)
        val selector =
            TargetSelector(directory, ZoneName("zone-a"), TargetRateLimits(FleetView(fleetMember(id.text))), random, versions = versions)
        val totals = EvidenceTotals()
        var recorder: EvidenceRecorder? = null
        var isLive = true
    }

    private val random = Random(seed)
    val directory = TargetDirectory()
    val instances = (1..instances).map { Instance(it, Random(seed * 100 + it)) }
    private val grants: List<ForwardingGrant> = listOf("/a/", "/a/", "/a/", "/b/").map { grant(route(prefix = it)) }
    private val pending = mutableListOf<Pending>()
    private val recentSends = HashMap<String, ArrayDeque<MonotonicTime>>()
    private val badResponses = mutableListOf<MonotonicTime>()
    private var target = ""
    private var orderedAt = START
    var now = START

    /** What the store shows: the newest state, all statuses since the start, and whether it answers. */
    var stored: ReleaseState? = null
    val statuses = mutableListOf<ReleaseStage>()
    var isStoreUp = true
    var hasHolder = true
    var isPeerContact = true

    /** Called before an action is performed; may end its instance. */
    var onAction: (Instance, ReleaseAction) -> Unit = { _, _ -> }
    var total = 0
    var toNew = 0
    var lastToNew: MonotonicTime? = null

    /** Whether no request reached the new version later than the bound on rollbacks permits. */
    val stoppedInTime: Boolean get() = badResponses.getOrNull(49)?.let { checkNotNull(lastToNew) <= it + 5.seconds } ?: true
    val stages: Set<ReleaseStage?> get() = instances.filter { it.isLive }.map { it.releases[POOL]?.stage }.toSet()

    init {
        addTargets("v1")
        this.instances.forEach { it.releases.recordOperatorsRead(START) }
    }

    fun addTargets(version: String, count: Int = 8) = (1..count).forEach { number ->
        directory.upsert(entry("$version-$number").copy(softwareVersion = version))
        instances.forEach { it.releases.recordEntry(POOL, version, START) }
    }

    fun removeTargets(version: String) =
        directory.all.filter { it.entry.softwareVersion == version }.forEach { directory.remove(it.id, now) }

    fun order(version: String, offset: Long = 5, era: Long = 0, duration: Duration = 12.seconds) {
        target = version
        orderedAt = now
        total = 0
        toNew = 0
        badResponses.clear()
        instances.forEach { instance ->
            instance.controller.recordOrder(ReleaseOrder.seen(POOL, version, ReleaseOrderId(era, offset), duration, now), now)
            instance.recorder = EvidenceRecorder(POOL, ReleaseOrderId(era, offset))
            instance.releases.recordOperatorsRead(now)
        }
    }

    /** Runs for [duration] in ticks of 5 ms; messages are exchanged in every twentieth. */
    fun run(duration: Duration) {
        val until = now + duration
        while (now < until) {
            repeat(perSecond / TICKS_PER_SECOND) { send(instances.filter { it.isLive }.random(random)) }
            pending.filter { it.endsAt <= now }.forEach { it.record() }
            pending.removeAll { it.endsAt <= now }
            if ((now - START).inWholeMilliseconds % 100 == 0L) exchange()
            now += 5.milliseconds
        }
    }

    private fun send(instance: Instance) {
        val grant = grants.random(random)
        total++
        val chosen = instance.selector.select(SelectionCriteria(grant, null, emptySet(), null, null), now) ?: return
        val version = chosen.entry.softwareVersion
        instance.versions.recordSent(POOL, grant.route.name, version)
        if (version == target) {
            toNew++
            lastToNew = now
        }
        val sends = recentSends.getOrPut(chosen.id.text) { ArrayDeque() }
        sends.addLast(now)
        while (sends.first() < now - 500.milliseconds) sends.removeFirst()
        val sent = Sent(version, chosen.id.text, grant.route.pathPrefix, now - orderedAt, sends.size, random.nextDouble())
        val response = behavior(sent)
        val latency = 20.milliseconds * response.factor * (0.7 + random.nextDouble())
        pending += Pending(now + latency) {
            if (version == target && (response.fails || response.factor > 2)) badResponses += now
            if (response.fails) {
                instance.recorder?.recordFailure(grant.route.name, version, chosen.id, hasStarted = false)
            } else {
                instance.recorder?.recordStart(grant.route.name, version, chosen.id, latency)
            }
        }
    }

    private fun exchange() {
        val live = instances.filter { it.isLive }
        for (receiver in live) {
            for (sender in live.filter { isPeerContact || it === receiver }) {
                sender.recorder?.let { receiver.totals.record(sender.id, InstanceIncarnation(1), listOf(it.evidence)) }
                if (sender !== receiver) sender.releases.states.forEach { receiver.releases.recordState(it.state, it.heardAt) }
            }
        }
        live.forEach { instance -> perform(instance, isHolder = hasHolder && instance === live.first()) }
    }

    /** Performs the actions of [instance] until it has no more, as its results arrive at once. */
    private fun perform(instance: Instance, isHolder: Boolean) {
        repeat(4) {
            instance.controller.step(now, instance.totals.all, isHolder).forEach { action ->
                onAction(instance, action)
                val success = isStoreUp && instance.isLive
                if (success) write(action)
                if (instance.isLive) instance.controller.onWritten(action, success, now)
            }
        }
    }

    private fun write(action: ReleaseAction) = when (action) {
        is ReleaseAction.WriteState -> stored = action.state
        is ReleaseAction.WriteStatus -> statuses += action.stage
    }

    private companion object {
        const val TICKS_PER_SECOND = 200
    }
}
