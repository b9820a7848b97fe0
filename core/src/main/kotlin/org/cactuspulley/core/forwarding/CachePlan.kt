package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.rendezvousRank
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Where a request's cached pieces are looked for and kept.
 *
 * @property scope the salt under which the target keeps the pieces: its weights, and the workspace where that is isolated.
 * @property expectedWeights the version that [scope] stands for; the target must refuse the request if it has another.
 * @property store the store from which missing pieces are fetched; null for none.
 * @property saves whether the target also sends the pieces that it reads to the store.
 */
public data class CachePlan(val scope: String, val expectedWeights: Long, val store: String?, val saves: Boolean)

/** The shared pieces of a prompt up to [piece], kept under [scope]. */
public data class CachedPrefix(val scope: String, val lastPiece: Long)

/** Says that a target reads [pieces] and sends them to a store, where they will be in [availableIn]. */
public data class SaveNotice(val prefix: CachedPrefix, val availableIn: Duration)

/**
 * Plans the use of cached pieces.
 *
 * A store keeps what older weights made, and checks neither workspace nor version. So the scope names both,
 * and the target is told which version it must have: pieces never cross a change of weights or an isolated
 * workspace's border. A save sends a request's own piece along with the shared ones, so each subject is
 * saved by one request, once its target has read it: the store would else forget shared pieces for ones that nobody asks for again.
 *
 * A first piece that nobody has read under a scope, as after new weights, is cold until its first reader has saved it.
 */
public class CachePlanner {
    private class SaveState(val availableAt: MonotonicTime, val expiresAt: MonotonicTime)

    private val unreachable = HashSet<String>()
    private val unreachableByPeerUntil = HashMap<String, MonotonicTime>()
    private val saved = LinkedHashMap<CachedPrefix, SaveState>()
    private val pendingNotices = LinkedHashSet<CachedPrefix>()

    /** The stores that this instance has found not to answer, for its peers. */
    public val unreachableStores: Set<String> get() = unreachable

    /** Takes note whether the store at [address] answers this instance; whether that is new. */
    public fun recordStoreState(address: String, answers: Boolean): Boolean {
        if (!answers) saved.clear()
        return if (answers) unreachable.remove(address) else unreachable.add(address)
    }

    /** Takes a peer's word that the store at [address] does not answer, which holds until [expiresAt]. */
    public fun recordPeerStoreFailure(address: String, expiresAt: MonotonicTime, now: MonotonicTime) {
        if (isReachable(address, now)) saved.clear()
        unreachableByPeerUntil[address] = maxOf(expiresAt, unreachableByPeerUntil[address] ?: expiresAt)
    }

    private fun isReachable(address: String, now: MonotonicTime): Boolean =
        address !in unreachable && unreachableByPeerUntil[address]?.let { now < it } != true

    /** Whether peers should hear soon of a first piece: that this instance was the first to have it read, or that it was read. */
    public var hasUrgentNotices: Boolean = false
        private set

    /** What this instance had saved since the last call, for its peers. */
    public fun drainSaveNotices(now: MonotonicTime): List<SaveNotice> =
        pendingNotices.mapNotNull { prefix -> saved[prefix]?.let { SaveNotice(prefix, (it.availableAt - now).coerceAtLeast(Duration.ZERO)) } }.also {
            pendingNotices.clear()
            hasUrgentNotices = false
        }

    /** Takes note of a peer's word about what a target sends to the store. */
    public fun recordPeerSave(notice: SaveNotice, now: MonotonicTime) {
        val availableAt = now + notice.availableIn
        putSave(notice.prefix, saved[notice.prefix]?.availableAt?.let { minOf(it, availableAt) } ?: availableAt, now)
    }

    /** Takes note that a target has read [prompt] by [plan]: what it was to save is on its way to the store. */
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

    /** How many tokens of [prompt]'s shared pieces need not be read on [weights], as they are kept or being read already. */
    public fun reusableTokens(grant: ForwardingGrant, prompt: PromptDescription, weights: Long?, now: MonotonicTime): Int {
        val scope = scope(grant, prompt, weights ?: return 0)
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
     * What the choice of a target for [prompt] on [weights] should go by: its last shared piece, or, while its first
     * piece is cold, that one. Requests that share it then meet at its first reader instead of each reading it anew.
     */
    public fun affinity(grant: ForwardingGrant, prompt: PromptDescription, weights: Long?, now: MonotonicTime): Long? {
        val rootPiece = prompt.rootPiece
        if (weights == null || rootPiece == null) return prompt.affinity
        val save = saved[CachedPrefix(scope(grant, prompt, weights), rootPiece)]
        return if (save != null && save.availableAt <= now && now < save.expiresAt) prompt.affinity else rootPiece
    }

    private fun scope(grant: ForwardingGrant, prompt: PromptDescription, weights: Long): String {
        val isolation = grant.workspace?.takeIf { it.isIsolated }?.name?.text.orEmpty()
        return "${prompt.model.text}@$weights/$isolation"
    }

    /** The addresses of the stores in [configuration]. */
    public fun stores(
        configuration: ForwardingConfiguration,
    ): List<String> = configuration.pools.values.mapNotNull { it.cacheStore }

    /** How a request with [prompt] uses cached pieces at [target]; null if the target does not tell its weights. */
    public fun plan(
        configuration: ForwardingConfiguration,
        grant: ForwardingGrant,
        prompt: PromptDescription,
        target: Target,
        now: MonotonicTime,
    ): CachePlan? {
        val weights = target.weights(prompt.model) ?: return null
        val scope = scope(grant, prompt, weights)
        val store = selectStore(configuration, prompt, now)
        val saves = store != null && startSave(scope, prompt, now)
        prompt.rootPiece?.let { recordRootUse(CachedPrefix(scope, it), now) }
        return CachePlan(scope, weights, store, saves)
    }

    /** One store for all that share a first piece, so that a piece is looked for where it was saved; all instances agree. */
    private fun selectStore(configuration: ForwardingConfiguration, prompt: PromptDescription, now: MonotonicTime): String? {
        val reachable = stores(configuration).filter { isReachable(it, now) }
        return rendezvousRank((prompt.rootPiece ?: prompt.affinity).toString(), reachable) { it }.firstOrNull()
    }

    private fun startSave(scope: String, prompt: PromptDescription, now: MonotonicTime): Boolean {
        val prefix = CachedPrefix(scope, prompt.affinity ?: return false)
        if (prompt.pieces.size < 2 || isSaved(prefix, now)) return false
        putSave(prefix, now, now, PREFILL_TIMEOUT)
        return true
    }

    private fun isSaved(prefix: CachedPrefix, now: MonotonicTime): Boolean = saved[prefix]?.let { now < it.expiresAt } ?: false

    /** Each use keeps a first piece in the store. */
    private fun recordRootUse(prefix: CachedPrefix, now: MonotonicTime) {
        val isNew = !isSaved(prefix, now)
        putSave(prefix, if (isNew) now + ROOT_SAVE_TIME else saved.getValue(prefix).availableAt, now)
        if (!isNew) return
        pendingNotices += prefix
        hasUrgentNotices = true
    }

    private companion object {
        /** After this the store may have forgotten the pieces for newer ones; they are saved again with their next use. */
        val SAVED_LIFETIME = 15.seconds

        /** Time for a first piece of some thousand tokens to be read, behind another prompt, and sent to the store. */
        val ROOT_SAVE_TIME = 400.milliseconds

        /** A save whose request has no first token by then was refused or waits for long; another request may save instead. */
        val PREFILL_TIMEOUT = 1.seconds

        /** Bounds memory to about a megabyte. */
        const val MAX_SAVED = 10_000
    }
}
