package org.cactuspulley.core.limits

import kotlinx.serialization.Serializable
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.instance.CorePart
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.WorkspaceId

/** Identifies the token bucket of one workspace under one profile. */
@Serializable
public data class BucketId(val workspace: WorkspaceId, val profile: ProfileName)

/**
 * Enforces the rate and burst of every workspace across all instances of the fleet.
 *
 * A request is charged its estimated tokens when it is admitted; the charge is corrected to the tokens that it
 * really used when it is settled.
 */
public interface AdmissionControl : CorePart {
    /**
     * Charges [tokens] to [bucket] for [request]. If this instance holds too few, it tries to borrow them from other
     * instances or refuses the request.
     */
    public fun admit(request: RequestId, bucket: BucketId, tokens: Long, now: MonotonicTime): AdmissionDecision

    /** Corrects the charge of [request] to [usedTokens], the tokens that it really used, and closes the charge. */
    public fun settle(request: RequestId, usedTokens: Long, now: MonotonicTime): List<CoreEffect>

    /** Refunds the whole charge of a [request] that did not run, or cancels its pending admission. */
    public fun release(request: RequestId, now: MonotonicTime): List<CoreEffect>
}

/** The outcome of [AdmissionControl.admit]. */
public sealed interface AdmissionDecision {
    /** The tokens are charged. */
    public data object Admitted : AdmissionDecision

    /**
     * The request waits for tokens; `AdmissionResolved` is published when it is admitted or refused.
     *
     * @property effects the messages to send to other instances.
     */
    public data class Pending(val effects: List<CoreEffect>) : AdmissionDecision

    /**
     * The request is not admitted.
     *
     * @property reason why the request is refused.
     * @property retryAt when the bucket is expected to hold enough tokens, or null if it is not expected to.
     */
    public data class Refused(val reason: RefusalReason, val retryAt: MonotonicTime?) : AdmissionDecision
}

/** Why admission was refused. */
public enum class RefusalReason {
    /** The bucket holds too few tokens now. */
    OVER_RATE,

    /** The request needs more tokens than the burst, so it can never be admitted. */
    LARGER_THAN_BURST,

    /** The workspace is not granted the profile. */
    NO_GRANT,
}
