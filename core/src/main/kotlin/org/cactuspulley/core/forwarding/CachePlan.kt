package org.cactuspulley.core.forwarding

/**
 * Where a request's cached pieces are looked for and kept.
 *
 * @property scope the salt under which the target keeps the pieces: its weights, and the workspace where that is isolated.
 * @property expectedWeights the version that [scope] stands for; the target must refuse the request if it has another.
 * @property store the store from which missing pieces are fetched and to which new ones are saved; null for none.
 */
public data class CachePlan(val scope: String, val expectedWeights: Long, val store: String?)

/**
 * Plans the use of cached pieces.
 *
 * A store keeps what older weights made, and checks neither workspace nor version. So the scope names both,
 * and the target is told which version it must have: pieces never cross a change of weights or an isolated
 * workspace's border.
 */
public class CachePlanner {
    private val unreachable = HashSet<String>()

    /** Takes note whether the store at [address] answers; whether that is new. */
    public fun storeAnswers(
        address: String,
        answers: Boolean,
    ): Boolean = if (answers) unreachable.remove(address) else unreachable.add(address)

    /** The addresses of the stores in [configuration]. */
    public fun stores(
        configuration: ForwardingConfiguration,
    ): List<String> = configuration.pools.values.mapNotNull { it.cacheStore?.address }

    /** How a request with [prompt] uses cached pieces at [target]; null if the target does not tell its weights. */
    public fun plan(configuration: ForwardingConfiguration, grant: ForwardingGrant, prompt: PromptDescription, target: Target): CachePlan? {
        val weights = target.weights(prompt.model) ?: return null
        val wall = grant.workspace?.takeIf { it.isIsolated }?.name?.text.orEmpty()
        val near = configuration.pools.values.mapNotNull { it.cacheStore }.filter { it.address !in unreachable }
            .sortedBy { it.zone != target.entry.zone }.firstOrNull()
        return CachePlan("${prompt.model.text}@$weights/$wall", weights, near?.address)
    }
}
