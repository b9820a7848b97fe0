package org.cactuspulley.runtime.forwarding

import org.cactuspulley.core.forwarding.ForwardingGrant
import org.cactuspulley.core.forwarding.Target
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.rollout.EvidenceRecorder
import org.cactuspulley.core.rollout.EvidenceTotals
import org.cactuspulley.core.rollout.Release
import org.cactuspulley.core.rollout.ReleaseEvidence
import kotlin.time.Duration

/** How one attempt contributes to the evidence on a release. */
internal interface ReleaseObservation {
    /** Records that a response that is no failure so far began [latency] after the request was sent. Only the first call counts. */
    fun started(latency: Duration)

    /** Records that the attempt has failed at its target. Only the first call counts. */
    fun failed()

    /** Whether [started] was called. */
    val hasStarted: Boolean

    /** The attempt of a request that belongs to no release. */
    object None : ReleaseObservation {
        override val hasStarted = false

        override fun started(latency: Duration) = Unit

        override fun failed() = Unit
    }
}

/**
 * Collects the evidence on the active releases from the attempts of this instance, and exchanges it and the states of the releases with
 * the peers. Confined to the event loop.
 */
internal class ReleaseExchange(private val context: ForwardingContext) {
    /** The evidence since the order of [release], whose id changes if the store is restored. */
    private class OwnEvidence(val release: Release) {
        val recorder = EvidenceRecorder(release.service, release.id)
        val evidence: ReleaseEvidence get() = recorder.evidence.copy(orderId = release.id)
    }

    private val releases = context.state.releases
    private val own = HashMap<PoolName, OwnEvidence>()
    private val totals = EvidenceTotals()

    /** Called when a message of a peer has changed the stage of a release. */
    var onStateChange: () -> Unit = {}

    /** Returns the evidence of all instances on the active releases. */
    fun allEvidence(): List<ReleaseEvidence> {
        val active = releases.all.filter { it.isActive }
        own.values.removeIf { it.release !in active }
        totals.retain(active.map { it.id }.toSet())
        return if (active.isEmpty()) emptyList() else totals.all + own.values.map { it.evidence }
    }

    /** Counts a request with [grant] that is being sent to [target]; returns what to tell of its attempt. */
    fun sent(target: Target, grant: ForwardingGrant): ReleaseObservation {
        val version = target.entry.softwareVersion
        context.state.versions.recordSent(grant.pool, grant.route.name, version)
        val release = releases[grant.pool]?.takeIf { it.isActive } ?: return ReleaseObservation.None
        val known = own[grant.pool]?.takeIf { it.release === release } ?: OwnEvidence(release).also { own[grant.pool] = it }
        return Observation(known.recorder, target, grant, version)
    }

    private inner class Observation(
        private val recorder: EvidenceRecorder,
        private val target: Target,
        private val grant: ForwardingGrant,
        private val version: String,
    ) : ReleaseObservation {
        private var hasFailed = false
        override var hasStarted = false
            private set

        override fun started(latency: Duration) {
            if (hasStarted || hasFailed) return
            hasStarted = true
            recorder.recordStart(grant.route.name, version, target.id, latency)
            context.log.releaseAnswer(grant.pool, version)
        }

        override fun failed() {
            if (hasFailed) return
            hasFailed = true
            recorder.recordFailure(grant.route.name, version, target.id, hasStarted)
            if (!hasStarted) context.log.releaseAnswer(grant.pool, version)
            context.log.releaseFailure(grant.pool, version)
        }
    }

    /** Returns the states that this instance's digests tell at [now]. */
    fun notices(now: MonotonicTime): List<ReleaseNotice> = releases.states.map { ReleaseNotice.of(it, now) }

    /** Returns the evidence that this instance's digests tell. */
    fun evidenceNotices(): List<EvidenceNotice> =
        own.values.filter { it.release.isActive && releases[it.release.service] === it.release }.map { EvidenceNotice.of(it.evidence) }

    /** Records what the digest that [peer] sent at [at] says. */
    fun receive(peer: InstanceId, digest: FleetDigest, at: MonotonicTime) {
        totals.record(peer, InstanceIncarnation(digest.incarnation), digest.releaseEvidence.map { it.decode() })
        val isNews = digest.releases.map { receive(peer, it, at) }.any { it }
        if (isNews) onStateChange()
    }

    private fun receive(peer: InstanceId, notice: ReleaseNotice, at: MonotonicTime): Boolean {
        val heard = notice.decode(at)
        if (heard != null) return releases.recordState(heard.state, heard.heardAt)
        context.log.event("release_unreadable", "peer" to peer.text, "service" to notice.service, "stage" to notice.stage)
        return false
    }
}
