/*
 * What targets can still take. A target is full when its slots or its token memory are, whichever is first: a dozen long prompts fill the
 * memory of an engine while half of its slots are free.
 */
package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.WorkspaceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** The [requests] that one instance has in flight at a target, and the [tokens] of token memory that they take together. */
public data class Occupancy(val requests: Int, val tokens: Long)

/**
 * One request in flight at a target, as [TargetCapacity.recordStart] counted it.
 *
 * @property ownTokens the tokens that no other request shares: the last piece of the prompt and the output.
 */
public class OccupiedCapacity internal constructor(internal val ownTokens: Long, internal val pieces: List<PieceKey>)

/** A piece of prompts that running requests of the same model share; [workspace] is null unless it is isolated. */
internal data class PieceKey(val model: ModelName, val workspace: WorkspaceId?, val contentHash: Long)

/** What all instances have in flight at one target. */
public class TargetOccupancy {
    private class PeerOccupancy(val occupancy: Occupancy, val expiresAt: MonotonicTime)

    private class PieceUse(val tokens: Long, var requests: Int)

    private val peers = HashMap<InstanceId, PeerOccupancy>()
    private val pieces = HashMap<PieceKey, PieceUse>()

    /** When requests of this instance ended that the target's last report may still count. */
    private val recentEnds = ArrayDeque<MonotonicTime>()
    private var localRequests = 0
    private var localTokens = 0L

    /** What this instance has in flight. */
    public val local: Occupancy get() = Occupancy(localRequests, localTokens)

    /** Records what [peer] has in flight, which counts until [expiresAt] or until the peer reports anew. */
    public fun recordPeer(peer: InstanceId, occupancy: Occupancy, expiresAt: MonotonicTime) {
        if (occupancy.requests > 0) peers[peer] = PeerOccupancy(occupancy, expiresAt) else peers.remove(peer)
    }

    /** Returns what all instances have in flight at [now], as far as it is known; [report] is the target's own, if it is recent. */
    internal fun total(report: ReportedLoad?, now: MonotonicTime): Occupancy {
        peers.values.removeIf { it.expiresAt <= now }
        val counted = localRequests + peers.values.sumOf { it.occupancy.requests }
        val reported = report?.let { it.running + it.waiting - recentEnds.count { end -> end > it.at } } ?: 0
        return Occupancy(maxOf(counted, reported), localTokens + peers.values.sumOf { it.occupancy.tokens })
    }

    /** Returns the tokens by which the occupied memory grows if [prompt] is sent. */
    internal fun additionalTokens(prompt: PromptDescription, workspace: WorkspaceId?): Long = ownTokens(prompt) +
        prompt.pieces.dropLast(1).distinctBy { it.contentHash }
            .filterNot { PieceKey(prompt.model, workspace, it.contentHash) in pieces }
            .sumOf { it.tokens.toLong() }

    internal fun start(prompt: PromptDescription?, workspace: WorkspaceId?): OccupiedCapacity {
        localRequests++
        if (prompt == null) return OccupiedCapacity(0, emptyList())
        val shared = prompt.pieces.dropLast(1).associateBy { PieceKey(prompt.model, workspace, it.contentHash) }
        shared.forEach { (key, piece) ->
            val use = pieces.getOrPut(key) { PieceUse(piece.tokens.toLong(), 0).also { localTokens += it.tokens } }
            use.requests++
        }
        val ownTokens = ownTokens(prompt)
        localTokens += ownTokens
        return OccupiedCapacity(ownTokens, shared.keys.toList())
    }

    internal fun end(occupied: OccupiedCapacity, now: MonotonicTime) {
        localRequests--
        localTokens -= occupied.ownTokens
        occupied.pieces.forEach { key ->
            val use = pieces[key] ?: return@forEach
            use.requests--
            if (use.requests > 0) return@forEach
            localTokens -= use.tokens
            pieces.remove(key)
        }
        recentEnds.addLast(now)
        while (recentEnds.size > MAX_RECENT_ENDS) recentEnds.removeFirst()
    }

    internal companion object {
        /** The tokens of [prompt] that no other request shares; at least its output. The sizes of pieces are what the caller states. */
        fun ownTokens(prompt: PromptDescription): Long =
            (prompt.promptTokens - prompt.pieces.dropLast(1).sumOf { it.tokens.toLong() }).coerceAtLeast(0) + prompt.outputTokens

        /** More requests than this do not end within the 400 ms for which a report counts. */
        const val MAX_RECENT_ENDS = 256
    }
}

/** What [TargetCapacity] needs to know about pools and instances. */
public interface CapacityKnowledge {
    /** When this instance started. */
    public val startedAt: MonotonicTime

    /** The number of instances of the fleet; null while this instance does not know the others. */
    public val fleetSize: Int?

    /** Returns the tokens that fit into the memory of each target of [pool]; null if the configuration names no limit. */
    public fun tokenCapacity(pool: PoolName): Long?

    /** Returns the time that a request to [pool] occupies a target; null if it is not known yet. */
    public fun usualTime(pool: PoolName, now: MonotonicTime): Duration?
}

/**
 * Decides whether targets have a slot and memory for a request. Without [knowledge], every target always has.
 *
 * Instances that start know nothing of what is in flight. Until the digests of all others must have arrived, each uses no more than its
 * equal part of a target, so that a fleet that restarts together does not fill each target several times.
 */
public class TargetCapacity(private val knowledge: CapacityKnowledge?) {
    /** Whether capacity is taken into account. */
    public val isEnabled: Boolean get() = knowledge != null

    /** Returns whether [target] has a slot and memory for [prompt] at [now]; [workspace] is null unless its pieces are isolated. */
    public fun fits(target: Target, prompt: PromptDescription?, now: MonotonicTime, workspace: WorkspaceId? = null): Boolean {
        val known = knowledge ?: return true
        return shortage(known, target, prompt, now, workspace) == null
    }

    /** Returns whether [target] has memory for [prompt] when it is empty. */
    public fun canHold(target: Target, prompt: PromptDescription?): Boolean {
        val capacity = knowledge?.tokenCapacity(target.entry.pool) ?: return true
        return prompt == null || prompt.promptTokens.toLong() + prompt.outputTokens <= capacity
    }

    /**
     * Estimates from what is in flight and from the usual time of a request when [target] will have room for [prompt]: [now] if it has
     * room or nothing is known, null if it never has.
     */
    public fun availableFrom(
        target: Target,
        prompt: PromptDescription?,
        now: MonotonicTime,
        workspace: WorkspaceId? = null,
    ): MonotonicTime? {
        val known = knowledge ?: return now
        if (!canHold(target, prompt)) return null
        val shortage = shortage(known, target, prompt, now, workspace) ?: return now
        return if (shortage.isOwnShare) {
            known.startedAt + STARTUP_TIME
        } else {
            known.usualTime(target.entry.pool, now)?.let { now + it * shortage.fraction } ?: now
        }
    }

    /**
     * Returns the mean time between two ends of requests at [targets] together; null if nothing is in flight there or the usual time of
     * a request is not known.
     */
    public fun endInterval(targets: List<Target>, now: MonotonicTime): Duration? {
        val known = knowledge ?: return null
        val pool = targets.firstOrNull()?.entry?.pool ?: return null
        val requests = occupancy(targets, now).requests
        return if (requests == 0) null else known.usualTime(pool, now)?.div(requests)
    }

    /** Returns what all instances have in flight at [targets] together. */
    public fun occupancy(targets: List<Target>, now: MonotonicTime): Occupancy =
        targets.map { it.occupancy.total(it.health.load(now), now) }
            .fold(Occupancy(0, 0)) { sum, next -> Occupancy(sum.requests + next.requests, sum.tokens + next.tokens) }

    /** Records that a request is sent to [target]; returns what it occupies, or null if capacity is not taken into account. */
    public fun recordStart(target: Target, prompt: PromptDescription?, workspace: WorkspaceId? = null): OccupiedCapacity? =
        if (isEnabled) target.occupancy.start(prompt, workspace) else null

    /** Records that a request has ended; returns whether the target had no room before, so that peers should learn of it soon. */
    public fun recordEnd(target: Target, occupied: OccupiedCapacity?, now: MonotonicTime): Boolean {
        if (occupied == null) return false
        val before = target.occupancy.total(target.health.load(now), now)
        target.occupancy.end(occupied, now)
        val capacity = knowledge?.tokenCapacity(target.entry.pool) ?: Long.MAX_VALUE
        return before.requests >= target.entry.slots || before.tokens > capacity - capacity * NEARLY_FULL_MARGIN
    }

    /**
     * Why a target has no room: [fraction] is the part of what is in flight that must end first; [isOwnShare] says that only the part
     * that this instance may use after its start is full.
     */
    private class Shortage(val fraction: Double, val isOwnShare: Boolean = false)

    private fun shortage(
        known: CapacityKnowledge,
        target: Target,
        prompt: PromptDescription?,
        now: MonotonicTime,
        workspace: WorkspaceId?,
    ): Shortage? {
        val occupancy = target.occupancy
        val total = occupancy.total(target.health.load(now), now)
        val slots = target.entry.slots
        val missingSlots = total.requests + 1 - slots
        val capacity = known.tokenCapacity(target.entry.pool).takeIf { prompt != null }
        val additional = if (capacity == null || prompt == null) 0 else occupancy.additionalTokens(prompt, workspace)
        val missingTokens = if (capacity == null) 0 else total.tokens + additional - capacity
        if (missingSlots > 0 || missingTokens > 0) {
            val slotFraction = missingSlots.toDouble() / total.requests.coerceAtLeast(1)
            val tokenFraction = missingTokens.toDouble() / total.tokens.coerceAtLeast(1)
            return Shortage(maxOf(slotFraction, tokenFraction).coerceAtMost(1.0))
        }
        val local = occupancy.local
        if (now - known.startedAt >= STARTUP_TIME || local.requests == 0) return null
        val instances = known.fleetSize ?: return Shortage(0.0, isOwnShare = true)
        val exceedsShare = local.requests >= slots / instances || (capacity != null && local.tokens + additional > capacity / instances)
        return if (instances > 1 && exceedsShare) Shortage(0.0, isOwnShare = true) else null
    }

    /** Constants, and the capacity of deployments that do not enable it. */
    public companion object {
        /** Allows everything. */
        public val UNLIMITED: TargetCapacity = TargetCapacity(null)

        /** Within this time after the start, the digests of all peers arrive: two periods of 400 ms, because one may be lost. */
        private val STARTUP_TIME = 1.seconds

        /** A tenth of the memory is about one long prompt; with less left, the next one may have to wait for an end. */
        private const val NEARLY_FULL_MARGIN = 0.1
    }
}
