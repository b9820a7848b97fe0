package org.cactuspulley.core.limits

import kotlinx.serialization.Serializable
import org.cactuspulley.core.model.SlotIndex
import kotlin.jvm.JvmInline

/** The two kinds of parts of a slot, which differ in the duration of their leases. */
public enum class LeaseKind {
    /** Has a short lease, so that another instance can claim the part soon after its holder is gone. */
    BULK,

    /** Has a long lease, so that the part stays usable during an outage of the log. */
    RESERVE,
}

/**
 * The bulk or the reserve part of a slot.
 *
 * @property number twice the slot's index for the bulk part, and one more for the reserve part.
 */
@Serializable
@JvmInline
public value class SlotPart(public val number: Int) {
    /** The slot that this is a part of. */
    public val index: SlotIndex get() = SlotIndex(number / KINDS)

    /** Whether this is the bulk or the reserve part of the slot. */
    public val kind: LeaseKind get() = LeaseKind.entries[number % KINDS]

    public companion object {
        private const val KINDS = 2

        /** Returns the part of [kind] of the slot [index]. */
        public fun of(index: SlotIndex, kind: LeaseKind): SlotPart = SlotPart(index.number * KINDS + kind.ordinal)

        /** Returns both parts of every slot of a table of [slotCount] slots. */
        public fun all(slotCount: Int): List<SlotPart> = (0 until slotCount * KINDS).map(::SlotPart)
    }
}
