/*
 * What goes over a connection between two instances. Every frame is a length of four bytes and as
 * many bytes of CBOR; after the handshake, each frame begins with a code that authenticates it.
 */
package org.cactuspulley.runtime.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import org.cactuspulley.core.message.PeerMessage

/** The version of the protocol; instances of another version are turned away. */
internal const val PEER_PROTOCOL_VERSION: Int = 1

/** One message with the version of its protocol. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class PeerEnvelope(val version: Int, val message: PeerMessage)

/** The first frame, from the side that accepted the connection. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class Challenge(val version: Int, val instance: String, @ByteString val nonce: ByteArray)

/** The answer of the side that opened the connection, with the proof that it knows the secret. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class ChallengeResponse(val version: Int, val instance: String, @ByteString val nonce: ByteArray, @ByteString val proof: ByteArray)

/** The last frame of the handshake: the proof that the accepting side knows the secret too. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class Acceptance(@ByteString val proof: ByteArray)

@OptIn(ExperimentalSerializationApi::class)
private val format = Cbor { ignoreUnknownKeys = true }

@OptIn(ExperimentalSerializationApi::class)
internal fun <T> encodeFrame(serializer: KSerializer<T>, value: T): ByteArray = format.encodeToByteArray(serializer, value)

@OptIn(ExperimentalSerializationApi::class)
internal fun <T> decodeFrame(serializer: KSerializer<T>, bytes: ByteArray): T = format.decodeFromByteArray(serializer, bytes)
