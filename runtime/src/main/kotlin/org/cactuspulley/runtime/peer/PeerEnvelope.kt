/*
 * The wire format between two instances. A frame is a length of four bytes followed by that many bytes. During the
 * handshake these are CBOR; after it they are an authentication tag followed by CBOR.
 */
package org.cactuspulley.runtime.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray
import org.cactuspulley.core.message.PeerMessage

/** The version of the protocol. Connections of instances with another version are rejected. */
internal const val PEER_PROTOCOL_VERSION: Int = 1

/** A message and the version of the protocol that it was encoded with. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@CborArray
internal data class PeerEnvelope(val version: Int, val message: PeerMessage)

/** The first frame of the handshake, which the accepting side sends. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class Challenge(val version: Int, val instance: String, @ByteString val nonce: ByteArray)

/** The response to [Challenge]. It proves that the connecting side knows the secret. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class ChallengeResponse(val version: Int, val instance: String, @ByteString val nonce: ByteArray, @ByteString val proof: ByteArray)

/** The last frame of the handshake. It proves that the accepting side knows the secret. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal class Acceptance(@ByteString val proof: ByteArray)

@OptIn(ExperimentalSerializationApi::class)
private val cbor = Cbor { ignoreUnknownKeys = true }

@OptIn(ExperimentalSerializationApi::class)
internal fun <T> encodeFrame(serializer: KSerializer<T>, value: T): ByteArray = cbor.encodeToByteArray(serializer, value)

@OptIn(ExperimentalSerializationApi::class)
internal fun <T> decodeFrame(serializer: KSerializer<T>, bytes: ByteArray): T = cbor.decodeFromByteArray(serializer, bytes)
