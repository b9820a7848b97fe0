package org.cactuspulley.core.orders

import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.platform.OrderAction
import org.cactuspulley.core.platform.TargetState
import org.cactuspulley.core.targets.KnownTarget
import org.cactuspulley.core.targets.TargetDirectory
import org.cactuspulley.core.targets.TargetHealth

/**
 * Returns the next order that brings [known] closer to the configuration, or null if no order is needed or the target is
 * not in a state to get one.
 */
internal fun TargetDirectory.nextOrder(known: KnownTarget): OrderAction? {
    if (known.target.kind != TargetKind.ENGINE || known.target.leaving) return null
    if (known.health != TargetHealth.HEALTHY || known.state != TargetState.SERVING) return null
    for (model in configuration.models.values.map { it.value }.filter { it.pool == known.target.pool }) {
        val served = known.served(model.name)
        if (served?.weights != model.weights) return OrderAction.LoadWeights(model.name, model.weights)
        val adapter = model.adapters.firstOrNull { it !in served.adapters }
        if (adapter != null) return OrderAction.LoadAdapter(model.name, adapter)
    }
    return null
}

/** Tells whether the target is serving and [action] would change nothing. */
internal fun KnownTarget.satisfies(action: OrderAction): Boolean = state == TargetState.SERVING && when (action) {
    is OrderAction.LoadWeights -> served(action.model)?.weights == action.weights
    is OrderAction.LoadAdapter -> served(action.model)?.adapters.orEmpty().contains(action.adapter)
    is OrderAction.ChangeRole -> role == action.role
}
