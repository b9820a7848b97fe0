package org.cactuspulley.core.event

import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.MonotonicTime

/** An event for the configuration part. */
public sealed interface ConfigurationEvent : CoreEvent

/** An operator requested the withdrawal of a key; answered by `AnswerWithdrawal` with the same [requestNumber]. */
public data class WithdrawalRequested(val requestNumber: Long, val digest: KeyDigest) : ConfigurationEvent

/** An event about the known instances. */
public sealed interface MembershipEvent : CoreEvent

/**
 * The platform's instance list was read. The list may be out of date.
 *
 * @property asOfMillis the time of the list on the platform's wall clock, in milliseconds.
 * @property askedAt the time at which the read was sent.
 */
public data class InstancesListed(val instances: List<Instance>, val asOfMillis: Long, val askedAt: MonotonicTime) : MembershipEvent

/** The platform's instance list could not be read. */
public data object InstanceListUnavailable : MembershipEvent

/** The set of instances with which this one exchanges heartbeats changed. Published by the membership part. */
public data class NeighboursChanged(val neighbours: List<Instance>) : MembershipEvent
