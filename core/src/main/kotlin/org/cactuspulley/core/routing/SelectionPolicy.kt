package org.cactuspulley.core.routing

import org.cactuspulley.core.targets.TargetDirectory
import kotlin.random.Random

/** The policies of target selection. All but [PREFIX_AWARE] are baselines for comparison. */
public enum class SelectionPolicy { PREFIX_AWARE, ROUND_ROBIN, LEAST_LOADED, PREFIX_HASH }

/** Creates a selection that applies [policy] to the targets of [directory]. */
public fun targetSelection(
    policy: SelectionPolicy,
    directory: TargetDirectory,
    random: Random,
    settings: SelectionSettings = SelectionSettings(),
): TargetSelection = when (policy) {
    SelectionPolicy.PREFIX_AWARE -> PrefixAwareSelection(directory, random, settings)
    SelectionPolicy.ROUND_ROBIN -> BaselineSelection(RoundRobin(), directory, settings)
    SelectionPolicy.LEAST_LOADED -> BaselineSelection(LeastLoaded(random), directory, settings)
    SelectionPolicy.PREFIX_HASH -> BaselineSelection(PrefixHash, directory, settings)
}
