package org.cactuspulley.core.journal

import org.cactuspulley.core.requests.RecordedAnswer

/** Bounds the answers in memory: the oldest are given up first. */
internal class KeptAnswers(private val maxBytes: Long) {
    private class Entry(val bytes: Long, val onEvict: () -> Unit)

    private val entries = ArrayDeque<Entry>()
    private var totalBytes = 0L

    /** Counts [answer] and calls [onEvict] when it is given up. */
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
