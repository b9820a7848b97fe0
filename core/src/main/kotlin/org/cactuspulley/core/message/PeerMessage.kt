/*
 * Messages between instances. Each part of the core has a sealed subinterface of [PeerMessage] in its own
 * file of this package. A message contains remaining times and never deadlines, because the monotonic clocks
 * of two processes are not comparable.
 */
package org.cactuspulley.core.message

import kotlinx.serialization.Serializable

/** The content of a message from one instance to another. */
@Serializable
public sealed interface PeerMessage
