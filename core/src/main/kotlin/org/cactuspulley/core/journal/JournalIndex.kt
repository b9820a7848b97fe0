package org.cactuspulley.core.journal

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset

/**
 * The state of one key according to its intent stream.
 *
 * @property intent the first intent for the key. No other intent may run.
 * @property fingerprint the hash of the body of the request of [intent].
 * @property writer the instance that wrote the intent.
 * @property writerIncarnation the incarnation of [writer] that wrote the intent.
 * @property outcome the recorded outcome, or null if there is none yet.
 * @property offset the offset of the latest record about the key. The key is removed when the log drops that record.
 */
internal data class KeyState(
    val intent: IntentId,
    val fingerprint: Long,
    val writer: InstanceId,
    val writerIncarnation: InstanceIncarnation,
    val outcome: JournalOutcome?,
    val offset: LogOffset,
)

/** Holds the state of each key of one intent stream, computed from the entries in log order alone. */
internal class JournalIndex {
    /** Holds the states in the order of their offsets, on which [dropBefore] relies. */
    private val states = LinkedHashMap<JournalKey, KeyState>()

    /** Returns the state of [key], or null if no intent holds it. */
    operator fun get(key: JournalKey): KeyState? = states[key]

    /** Applies the next entry of the log, which [incarnation] of [writer] wrote in the record at [offset]. */
    fun apply(entry: JournalEntry, writer: InstanceId, incarnation: InstanceIncarnation, offset: LogOffset) {
        val current = states[entry.key]
        when (entry) {
            is JournalEntry.Intent -> if (current == null) {
                states[entry.key] = KeyState(entry.intent, entry.fingerprint, writer, incarnation, null, offset)
            }

            is JournalEntry.Outcome -> if (current == null || current.intent == entry.intent) {
                applyOutcome(entry, KeyState(entry.intent, entry.fingerprint, writer, incarnation, entry.outcome, offset))
            }
        }
    }

    /** Moves the key to the end of the order, or frees it if its request was never sent. */
    private fun applyOutcome(entry: JournalEntry.Outcome, state: KeyState) {
        states.remove(entry.key)
        if (entry.outcome != JournalOutcome.NeverSent) states[entry.key] = state
    }

    /** Replaces the outcome of [key] without changing its offset. An unknown key is ignored. */
    fun replaceOutcome(key: JournalKey, outcome: JournalOutcome) {
        states.computeIfPresent(key) { _, state -> state.copy(outcome = outcome) }
    }

    /** Removes the keys whose latest record is older than [firstKept], the first offset that the log still holds. */
    fun dropBefore(firstKept: LogOffset) {
        val iterator = states.entries.iterator()
        while (iterator.hasNext() && iterator.next().value.offset < firstKept) iterator.remove()
    }
}
