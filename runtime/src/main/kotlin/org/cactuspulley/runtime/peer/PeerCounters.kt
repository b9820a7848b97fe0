package org.cactuspulley.runtime.peer

import java.util.concurrent.atomic.LongAdder

/**
 * Counts what a transport did since its start.
 *
 * @property dropped messages to peers that were unknown, unreachable or too slow.
 * @property rejectedConnections connections that did not prove that they belong here.
 * @property unreadable messages that this version does not know.
 */
public class PeerCounters {
    public val sent: LongAdder = LongAdder()
    public val sentBytes: LongAdder = LongAdder()
    public val received: LongAdder = LongAdder()
    public val receivedBytes: LongAdder = LongAdder()
    public val dropped: LongAdder = LongAdder()
    public val rejectedConnections: LongAdder = LongAdder()
    public val unreadable: LongAdder = LongAdder()
}
