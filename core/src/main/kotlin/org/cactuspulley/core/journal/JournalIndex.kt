package org.cactuspulley.core.journal

import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset

/**
 * What one intent stream says of one key.
 *
 * @property intent the first intent for the key; no other may run.
 * @property writer the instance that wrote it.
 * @property outcome null as long as none is recorded.
 * @property offset the latest record about the key; the key is forgotten when the log drops it.
 */
internal data class KeyState(
    val intent: IntentId,
    val fingerprint: Long,
    val writer: InstanceId,
    val writerIncarnation: InstanceIncarnation,
    val outcome: JournalOutcome?,
    val offset: LogOffset,
)

/** The pure fold of one intent stream, in log order. */
internal class JournalIndex {
    private val states = LinkedHashMap<JournalKey, KeyState>()

    operator fun get(key: JournalKey): KeyState? = states[key]

    /** Takes the next entry of the log, written by [writer]. */
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

    private fun applyOutcome(entry: JournalEntry.Outcome, state: KeyState) {
        states.remove(entry.key)
        if (entry.outcome != JournalOutcome.NeverSent) states[entry.key] = state
    }

    /** Replaces the state of [key], which must be known, without changing its place in the log. */
    fun replaceOutcome(key: JournalKey, outcome: JournalOutcome) {
        states.computeIfPresent(key) { _, state -> state.copy(outcome = outcome) }
    }

    /** Forgets the keys whose records the log no longer holds. */
    fun dropBefore(firstKept: LogOffset) {
        val iterator = states.entries.iterator()
        while (iterator.hasNext() && iterator.next().value.offset < firstKept) iterator.remove()
    }
}
