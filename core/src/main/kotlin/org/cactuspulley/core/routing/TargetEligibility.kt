package org.cactuspulley.core.routing

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.platform.TargetRole
import org.cactuspulley.core.platform.TargetState
import org.cactuspulley.core.targets.KnownTarget
import org.cactuspulley.core.targets.TargetDirectory
import org.cactuspulley.core.targets.TargetHealth
import org.cactuspulley.core.targets.configuredWeights

/**
 * A target that can serve a request.
 *
 * @property weights the version of the weights that the target serves; null for a plain service.
 */
internal data class Candidate(val known: KnownTarget, val weights: WeightsVersion?)

/** Finds the targets that can serve a request. Every policy selects among these targets only. */
internal class TargetEligibility(private val directory: TargetDirectory) {
    /**
     * Returns the candidates for [request], or why there are none. The list is never empty. Suspected targets are
     * included only if no other target can serve the request.
     */
    fun candidates(request: SelectionRequest): Result<List<Candidate>, NoTargetReason> {
        val kind = if (request.model == null) TargetKind.SERVICE else TargetKind.ENGINE
        val members = directory.inPool(request.pool).filter { it.target.kind == kind && !it.target.leaving }
        if (members.isEmpty()) return Err(NoTargetReason.POOL_EMPTY)
        val allowed = members.filter { it.target.id !in request.excluded }
        if (allowed.isEmpty()) return Err(NoTargetReason.ALL_EXCLUDED)
        val available = allowed.filter { it.health != TargetHealth.UNHEALTHY && it.acceptsRequests() }
        if (available.isEmpty()) return Err(NoTargetReason.ALL_UNHEALTHY)
        val serving = available.mapNotNull { candidate(it, request) }
        if (serving.isEmpty()) return Err(NoTargetReason.MODEL_UNKNOWN)
        val unsuspected = serving.filter { it.known.health != TargetHealth.SUSPECTED }
        return Ok(unsuspected.ifEmpty { serving })
    }

    private fun candidate(known: KnownTarget, request: SelectionRequest): Candidate? {
        val model = request.model ?: return Candidate(known, null)
        if (known.loadAt == null) return directory.configuredWeights(model)?.let { Candidate(known, it) }
        val served = known.served(model) ?: return null
        val adapter = request.adapter
        return if (adapter == null || adapter in served.adapters) Candidate(known, served.weights) else null
    }
}

private fun KnownTarget.acceptsRequests(): Boolean = (state == null || state == TargetState.SERVING) && role != TargetRole.PREFILL
