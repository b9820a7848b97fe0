package org.cactuspulley.core.effect

import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation

/** What the configuration part asks for. */
public sealed interface ConfigurationEffect : CoreEffect

/** Answers the `WithdrawalRequested` of the same [requestNumber]. */
public data class AnswerWithdrawal(val requestNumber: Long, val state: WithdrawalState) : ConfigurationEffect

/** How far a withdrawal has come. */
public enum class WithdrawalState {
    /** The withdrawal was read back from the log. */
    KEPT,

    /** The key is refused by every instance that serves, but the log has not taken the withdrawal yet. */
    IN_FORCE_NOT_KEPT,

    /** This instance reaches neither the log nor a majority; instances out of its reach may still accept the key. */
    IN_FORCE_HERE_ONLY,
}

/** What the membership part asks for. */
public sealed interface MembershipEffect : CoreEffect

/** Puts [instance] in the platform's list for [timeToLiveMillis] from now. */
public data class RegisterInstance(val instance: Instance, val timeToLiveMillis: Long) : MembershipEffect

/** Takes one incarnation of an instance from the platform's list. */
public data class DeregisterInstance(val id: InstanceId, val incarnation: InstanceIncarnation) : MembershipEffect

/** Reads the platform's list once; answered by `InstancesListed` or `InstanceListUnavailable`. */
public data object PollInstanceList : MembershipEffect

/** Tells the transport where other instances listen for peers, host and port by id. */
public data class UpdatePeerAddresses(val addresses: Map<InstanceId, String>) : MembershipEffect
