package org.cactuspulley.core.timeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.cactuspulley.core.membership.InstanceState
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset

/** A change of this instance's view of the configuration or the membership. */
@Serializable
public sealed interface ConfigurationTimelineEvent : TimelineEvent

/**
 * The configuration took effect on this instance.
 *
 * @property next the offset after the last record that the configuration includes.
 * @property fromPeer the instance that sent the configuration, or null if it was read from the log.
 */
@Serializable
@SerialName("configuration_applied")
public data class ConfigurationApplied(val next: LogOffset, val fromPeer: InstanceId? = null) : ConfigurationTimelineEvent

/** The withdrawal of the key with [digest] took effect on this instance before it was read from the log. */
@Serializable
@SerialName("withdrawal_in_force")
public data class WithdrawalInForce(val digest: KeyDigest) : ConfigurationTimelineEvent

/** This instance appended a snapshot of the configuration before offset [next]. */
@Serializable
@SerialName("snapshot_appended")
public data class SnapshotAppended(val next: LogOffset) : ConfigurationTimelineEvent

/** The freshness of the configuration, which decides whether this instance may serve, changed to [standing]. */
@Serializable
@SerialName("freshness_changed")
public data class FreshnessChanged(val standing: String) : ConfigurationTimelineEvent

/** An instance joined, changed its state or was removed; [state] is null if it was removed. */
@Serializable
@SerialName("instance_changed")
public data class InstanceChanged(val instance: InstanceId, val state: InstanceState?) : ConfigurationTimelineEvent
