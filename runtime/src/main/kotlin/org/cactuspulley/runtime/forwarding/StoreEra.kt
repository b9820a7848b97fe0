package org.cactuspulley.runtime.forwarding

/**
 * The newest era of the store that this instance knows, from the store's answers or from peers. The store begins a new era when it is
 * restored from a copy, which lacks what was written to it last.
 */
internal class StoreEra(private val log: DecisionLog) {
    /** The newest known era. */
    var current = 0L
        private set

    /** Whether the store itself has told its era; until then, a peer's news does not mean that the store was restored meanwhile. */
    private var isTold = false
    private val listeners = mutableListOf<() -> Unit>()

    /** Calls [listener] when a later era becomes known. */
    fun onRise(listener: () -> Unit) {
        listeners += listener
    }

    /** Records that an answer of the store on [topic] named [era]. */
    fun recordAnswer(topic: StoreTopic, era: Long) {
        record(era, "topic" to topic.name)
        isTold = true
    }

    /** Records that [peer] knows [era]; a null [peer] stands for the one whose records are being applied. */
    fun recordPeer(peer: String?, era: Long) = record(era, "peer" to peer)

    private fun record(era: Long, source: Pair<String, String?>) {
        if (era <= current) return
        val previous = current
        current = era
        if (isTold) log.event("store_restored", "era" to era, "previous" to previous, source)
        listeners.forEach { it() }
    }
}
