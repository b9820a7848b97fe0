package org.cactuspulley.core.forwarding

import org.cactuspulley.core.model.MonotonicTime
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

/** Says that the shared pieces that [affinity] names were sent to a store under [scope]. */
public data class SavedPieces(val scope: String, val affinity: Long)

/**
 * Plans the use of cached pieces.
 *
 * A store keeps what older weights made, and checks neither workspace nor version. So the scope names both,
 * and the target is told which version it must have: pieces never cross a change of weights or an isolated
 * workspace's border. A save sends a request's own piece along with the shared ones, so each subject is
 * saved once: the store would else forget shared pieces for ones that nobody asks for again.
 */
public class CachePlanner {
    private val unreachable = HashSet<String>()
    private val saved = LinkedHashMap<SavedPieces, MonotonicTime>()
    private val untold = ArrayList<SavedPieces>()

    /** Takes note whether the store at [address] answers; whether that is new. */
    public fun storeAnswers(address: String, answers: Boolean): Boolean {
        if (!answers) saved.clear()
        return if (answers) unreachable.remove(address) else unreachable.add(address)
    }

    /** What this instance had saved since the last call, for its peers. */
    public fun takeUntold(): List<SavedPieces> = untold.toList().also { untold.clear() }

    /** Takes note that a target sends [pieces] to the store. */
    public fun saved(pieces: SavedPieces, now: MonotonicTime) {
        saved.remove(pieces)
        saved[pieces] = now + SAVED_LIFETIME
        while (saved.size > MOST_SAVED) saved.remove(saved.keys.first())
    }

    /** The addresses of the stores in [configuration]. */
    public fun stores(
        configuration: ForwardingConfiguration,
    ): List<String> = configuration.pools.values.mapNotNull { it.cacheStore?.address }

    /** How a request with [prompt] uses cached pieces at [target]; null if the target does not tell its weights. */
    public fun plan(
        configuration: ForwardingConfiguration,
        grant: ForwardingGrant,
        prompt: PromptDescription,
        target: Target,
        now: MonotonicTime,
    ): CachePlan? {
        val weights = target.weights(prompt.model) ?: return null
        val wall = grant.workspace?.takeIf { it.isIsolated }?.name?.text.orEmpty()
        val near = configuration.pools.values.mapNotNull { it.cacheStore }.filter { it.address !in unreachable }
            .sortedBy { it.zone != target.entry.zone }.firstOrNull()
        val scope = "${prompt.model.text}@$weights/$wall"
        val saves = near != null && savesNow(scope, prompt, now)
        return CachePlan(scope, weights, near?.address, saves)
    }

    private fun savesNow(scope: String, prompt: PromptDescription, now: MonotonicTime): Boolean {
        val pieces = SavedPieces(scope, prompt.affinity ?: return false)
        if (prompt.pieces.size < 2 || saved[pieces]?.let { now < it } == true) return false
        saved(pieces, now)
        untold += pieces
        return true
    }

    private companion object {
        /** After this the store may have forgotten the pieces for newer ones; they are saved again with their next use. */
        val SAVED_LIFETIME = 15.seconds

        /** Bounds memory to about a megabyte. */
        const val MOST_SAVED = 10_000
    }
}
