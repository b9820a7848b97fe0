package org.cactuspulley.core.journal

import org.cactuspulley.core.requests.RecordedAnswer

/**
 * Limits the memory that recorded answers take up, and evicts the oldest answers first. The answers themselves are held
 * elsewhere and released by the callbacks that are passed to [add].
 *
 * @property maxBytes the limit on the total size of the answer bodies, in bytes.
 */
internal class KeptAnswers(private val maxBytes: Long) {
    private class Entry(val bytes: Long, val onEvict: () -> Unit)

    private val entries = ArrayDeque<Entry>()
    private var totalBytes = 0L

    /** Adds the body of [answer] to the total. Calls [onEvict] when the answer has to be evicted, which may be at once. */
    fun add(answer: RecordedAnswer, onEvict: () -> Unit) {
        entries.addLast(Entry(answer.body.bytes.size.toLong(), onEvict))
        totalBytes += entries.last().bytes
        while (totalBytes > maxBytes) {
            val oldest = entries.removeFirst()
            totalBytes -= oldest.bytes
            oldest.onEvict()
        }
    }
}
