package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.rendezvousRank
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Where the cached pieces of a request's prompt are looked up and stored.
 *
 * @property scope the salt under which the target caches the pieces; it consists of the model, the weights version and the workspace,
 *    if it is isolated, or otherwise the isolated workspaces from which the pieces are kept apart.
 * @property expectedWeights the weights version that [scope] stands for; a target with another version must refuse
 *    the request.
 * @property store the host and port of the cache store from which missing pieces are fetched; null for none.
 * @property saves whether the target also sends the pieces that it prefills to the store.
 */
public data class CachePlan(val scope: String, val expectedWeights: Long, val store: String?, val saves: Boolean)

/** The shared pieces of a prompt up to and including [lastPiece], cached under [scope]. */
public data class CachedPrefix(val scope: String, val lastPiece: Long)

/** Announces that a target prefills [prefix] and sends it to a store, where it will be available in [availableIn]. */
public data class SaveNotice(val prefix: CachedPrefix, val availableIn: Duration)

/**
 * Plans the use of cached prompt pieces.
 *
 * A cache store keeps pieces that older weights produced, and checks neither workspace nor version. The scope
 * therefore names both, and the target is told which version it must have, so that pieces are never reused across a
 * weights change or outside an isolated workspace. Pieces do not tell either who made them, and outlast changes of the configuration.
 * The scope that workspaces share therefore depends on which ones are isolated: those have never used it.
 *
 * A save sends a request's own piece together with the shared ones. Each prefix is therefore saved by one request
 * only, after its target has prefilled it; otherwise the store would evict shared pieces in favor of pieces that no
 * other request needs.
 *
 * A root piece that has not been prefilled under a scope, for example after a weights change, is cold until the first
 * request with it has saved it.
 */
public class CachePlanner {
    private class SaveState(val availableAt: MonotonicTime, val expiresAt: MonotonicTime)

    private val unresponsive = HashSet<String>()
    private val unresponsiveByPeerUntil = HashMap<String, MonotonicTime>()
    private val saved = LinkedHashMap<CachedPrefix, SaveState>()
    private val pendingNotices = LinkedHashSet<CachedPrefix>()

    /** The addresses of the stores that this instance found to be unresponsive, to report to its peers. */
    public val unresponsiveStores: Set<String> get() = unresponsive

    /** Records whether the store at [address] responds to this instance; returns whether that is a change. */
    public fun recordStoreState(address: String, responds: Boolean): Boolean {
        if (!responds) saved.clear()
        return if (responds) unresponsive.remove(address) else unresponsive.add(address)
    }

    /** Records a report of a peer, valid until [expiresAt], that the store at [address] is unresponsive. */
    public fun recordPeerStoreFailure(address: String, expiresAt: MonotonicTime, now: MonotonicTime) {
        if (isResponsive(address, now)) saved.clear()
        unresponsiveByPeerUntil[address] = maxOf(expiresAt, unresponsiveByPeerUntil[address] ?: expiresAt)
    }

    private fun isResponsive(address: String, now: MonotonicTime): Boolean =
        address !in unresponsive && unresponsiveByPeerUntil[address]?.let { now < it } != true

    /**
     * Whether peers should learn about a root piece before the next regular digest, because this instance sent the
     * first request with it or because it was prefilled.
     */
    public var hasUrgentNotices: Boolean = false
        private set

    /** Returns the saves that this instance started or completed since the last call, to report to its peers. */
    public fun drainSaveNotices(now: MonotonicTime): List<SaveNotice> =
        pendingNotices.mapNotNull { prefix ->
            saved[prefix]?.let { SaveNotice(prefix, (it.availableAt - now).coerceAtLeast(Duration.ZERO)) }
        }.also {
            pendingNotices.clear()
            hasUrgentNotices = false
        }

    /** Records the report of a peer about a prefix that a target sends to the store. */
    public fun recordPeerSave(notice: SaveNotice, now: MonotonicTime) {
        val availableAt = now + notice.availableIn
        putSave(notice.prefix, saved[notice.prefix]?.availableAt?.let { minOf(it, availableAt) } ?: availableAt, now)
    }

    /**
     * Records that a target has prefilled [prompt] according to [plan], so that the pieces to save are on their way
     * to the store.
     */
    public fun recordPrefill(plan: CachePlan, prompt: PromptDescription, now: MonotonicTime) {
        if (!plan.saves) return
        val prefix = CachedPrefix(plan.scope, prompt.affinity ?: return)
        putSave(prefix, now, now)
        pendingNotices += prefix
        val root = CachedPrefix(plan.scope, prompt.rootPiece ?: return)
        if (saved[root]?.let { now < it.availableAt } != true) return
        putSave(root, now, now)
        pendingNotices += root
        hasUrgentNotices = true
    }

    /**
     * Returns how many tokens of [prompt]'s shared pieces need no prefill on [weights], because they are cached or
     * already being prefilled.
     */
    public fun reusableTokens(
        configuration: ForwardingConfiguration,
        grant: ForwardingGrant,
        prompt: PromptDescription,
        weights: Long?,
        now: MonotonicTime,
    ): Int {
        val scope = scope(configuration, grant, prompt, weights ?: return 0)
        val rootPiece = prompt.rootPiece ?: return 0
        return when {
            prompt.affinity?.let { isSaved(CachedPrefix(scope, it), now) } == true -> prompt.sharedTokens
            isSaved(CachedPrefix(scope, rootPiece), now) -> prompt.pieces.first().tokens
            else -> 0
        }
    }

    private fun putSave(prefix: CachedPrefix, availableAt: MonotonicTime, now: MonotonicTime, lifetime: Duration = SAVED_LIFETIME) {
        saved.remove(prefix)
        saved[prefix] = SaveState(availableAt, now + lifetime)
        while (saved.size > MAX_SAVED) saved.remove(saved.keys.first())
    }

    /**
     * Returns the affinity by which to select a target for [prompt] on [weights]: the last shared piece or, while the
     * root piece is cold, the root piece. Requests with a cold root piece then go to the target that prefills it
     * first, instead of each prefilling it again.
     */
    public fun affinity(
        configuration: ForwardingConfiguration,
        grant: ForwardingGrant,
        prompt: PromptDescription,
        weights: Long?,
        now: MonotonicTime,
    ): Long? {
        val rootPiece = prompt.rootPiece
        if (weights == null || rootPiece == null) return prompt.affinity
        val save = saved[CachedPrefix(scope(configuration, grant, prompt, weights), rootPiece)]
        return if (save != null && save.availableAt <= now && now < save.expiresAt) prompt.affinity else rootPiece
    }

    /**
     * Returns the scope by [configuration], the newest one: a request may have waited since the configuration of its [grant]. A workspace
     * that was removed meanwhile shares nothing.
     */
    private fun scope(configuration: ForwardingConfiguration, grant: ForwardingGrant, prompt: PromptDescription, weights: Long): String {
        val workspace = grant.workspace?.name
        val isShared = workspace == null || configuration.workspaces[workspace]?.isIsolated == false
        val base = "${prompt.model.text}@$weights"
        return if (isShared) "$base${configuration.isolationMark}/" else "$base/${workspace?.text}"
    }

    /** Returns the addresses of the cache stores in [configuration]. */
    public fun stores(
        configuration: ForwardingConfiguration,
    ): List<String> = configuration.pools.values.mapNotNull { it.cacheStore }

    /** Returns how a request with [prompt] uses cached pieces at [target]; null if the weights of the target are unknown. */
    public fun plan(
        configuration: ForwardingConfiguration,
        grant: ForwardingGrant,
        prompt: PromptDescription,
        target: Target,
        now: MonotonicTime,
    ): CachePlan? {
        val weights = target.probableWeights(prompt.model, now) ?: return null
        val scope = scope(configuration, grant, prompt, weights)
        val store = selectStore(configuration, prompt, now)
        val saves = store != null && startSave(scope, prompt, now)
        prompt.rootPiece?.let { recordRootUse(CachedPrefix(scope, it), now) }
        return CachePlan(scope, weights, store, saves)
    }

    /**
     * Selects one store for all prompts with the same root piece, so that pieces are looked up where they were saved;
     * all instances agree on it.
     */
    private fun selectStore(configuration: ForwardingConfiguration, prompt: PromptDescription, now: MonotonicTime): String? {
        val responsive = stores(configuration).filter { isResponsive(it, now) }
        return rendezvousRank((prompt.rootPiece ?: prompt.affinity).toString(), responsive) { it }.firstOrNull()
    }

    private fun startSave(scope: String, prompt: PromptDescription, now: MonotonicTime): Boolean {
        val prefix = CachedPrefix(scope, prompt.affinity ?: return false)
        if (prompt.pieces.size < 2 || isSaved(prefix, now)) return false
        putSave(prefix, now, now, PREFILL_TIMEOUT)
        return true
    }

    private fun isSaved(prefix: CachedPrefix, now: MonotonicTime): Boolean = saved[prefix]?.let { now < it.expiresAt } ?: false

    /** Records a use of a root piece, which also keeps it in the store for longer. */
    private fun recordRootUse(prefix: CachedPrefix, now: MonotonicTime) {
        val isNew = !isSaved(prefix, now)
        putSave(prefix, if (isNew) now + ROOT_SAVE_TIME else saved.getValue(prefix).availableAt, now)
        if (!isNew) return
        pendingNotices += prefix
        hasUrgentNotices = true
    }

    private companion object {
        /**
         * After this time the store may have evicted the pieces for newer ones; the next request that uses them saves
         * them again.
         */
        val SAVED_LIFETIME = 15.seconds

        /** The time in which a root piece of a few thousand tokens is prefilled, behind another prompt, and sent to the store. */
        val ROOT_SAVE_TIME = 400.milliseconds

        /**
         * If the saving request has no first token by then, it was refused or is queued for long; another request may
         * save instead.
         */
        val PREFILL_TIMEOUT = 1.seconds

        /** Bounds the memory use to about 1 MB. */
        const val MAX_SAVED = 10_000
    }
}
