package org.cactuspulley.core.effect

import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation

/** An effect of the configuration part. */
public sealed interface ConfigurationEffect : CoreEffect

/** Answers the `WithdrawalRequested` event with the same [requestNumber]. */
public data class AnswerWithdrawal(val requestNumber: Long, val state: WithdrawalState) : ConfigurationEffect

/** The progress of a key withdrawal. The constants are written by name in answers to operators. */
public enum class WithdrawalState {
    /** The withdrawal is in the log: it was read back. */
    KEPT,

    /** Every serving instance refuses the key, but the withdrawal is not known to be in the log yet. */
    IN_FORCE_NOT_KEPT,

    /** This instance refuses the key but reaches neither the log nor a majority, so other instances may still accept it. */
    IN_FORCE_HERE_ONLY,
}

/** An effect of the membership part. */
public sealed interface MembershipEffect : CoreEffect

/** Registers [instance] in the platform's instance list for [timeToLiveMillis] milliseconds from now. */
public data class RegisterInstance(val instance: Instance, val timeToLiveMillis: Long) : MembershipEffect

/** Removes one incarnation of an instance from the platform's instance list. */
public data class DeregisterInstance(val id: InstanceId, val incarnation: InstanceIncarnation) : MembershipEffect

/** Reads the platform's instance list once; answered by `InstancesListed` or `InstanceListUnavailable`. */
public data object PollInstanceList : MembershipEffect

/** Gives the transport the peer address (`host:port`) of each other instance, by instance id. */
public data class UpdatePeerAddresses(val addresses: Map<InstanceId, String>) : MembershipEffect
