package org.cactuspulley.runtime.peer

import java.util.concurrent.atomic.LongAdder

/**
 * Counts the traffic of a [PeerTransport] since its start.
 *
 * @property sent the number of messages that were sent.
 * @property sentBytes the bytes of the sent messages with their tags.
 * @property received the number of messages that were received.
 * @property receivedBytes the bytes of the received messages with their tags.
 * @property dropped the number of messages that were dropped because the peer was unknown, unreachable or too slow.
 * @property rejectedConnections the number of accepted connections that failed the handshake or exceeded the limit of
 * pending handshakes.
 * @property unreadable the number of messages that this version cannot decode.
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
