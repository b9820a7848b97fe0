package org.cactuspulley.core.targets

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.TargetIncarnation
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.core.platform.TargetLoad
import org.cactuspulley.core.platform.TargetRole
import org.cactuspulley.core.platform.TargetState

/** Whether a target is assumed to answer. */
public enum class TargetHealth { UNKNOWN, HEALTHY, SUSPECTED, UNHEALTHY }

/**
 * What an instance knows about one target.
 *
 * @property incarnation the number of the target's start; null before the first status, and after a crash until the
 *    next status.
 * @property loadAt the time at which the status behind [load] was requested; null before the first one.
 */
public data class KnownTarget(
    val target: Target,
    val health: TargetHealth = TargetHealth.UNKNOWN,
    val incarnation: TargetIncarnation? = null,
    val state: TargetState? = null,
    val models: List<ServedModel> = emptyList(),
    val role: TargetRole = TargetRole.MIXED,
    val load: TargetLoad = TargetLoad(),
    val loadAt: MonotonicTime? = null,
) {
    /** Returns how the target serves [model], or null if it does not serve it. */
    public fun served(model: ModelName): ServedModel? = models.firstOrNull { it.model == model }
}

/** Provides what is currently known about the targets. */
public interface TargetDirectory {
    /** The current configuration. */
    public val configuration: Configuration

    /** All targets of the configuration. */
    public val targets: Collection<KnownTarget>

    /** Returns the targets of [pool]. */
    public fun inPool(pool: PoolName): List<KnownTarget>

    /** Returns what is known about [target], or null if it is not configured. */
    public fun find(target: TargetId): KnownTarget?
}

/** Returns the weights version that is configured for [model], or null if the model is not configured. */
public fun TargetDirectory.configuredWeights(model: ModelName): WeightsVersion? = configuration.models[model]?.value?.weights
