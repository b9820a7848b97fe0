/*
 * A challenge-response handshake in which both sides of a connection prove that they know the shared secret without
 * sending it. Each proof covers the role of its sender and the nonces and IDs of both sides, which prevents replay and
 * reflection attacks.
 */
package org.cactuspulley.runtime.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import org.cactuspulley.core.model.InstanceId
import java.io.IOException
import java.security.MessageDigest
import java.security.SecureRandom

private const val NONCE_BYTES = 32
private const val MAX_HANDSHAKE_FRAME_BYTES = 1024
private val random = SecureRandom()

/** Thrown when a peer fails the handshake or sends a frame that fails authentication. */
internal class PeerRejectedException(message: String) : IOException(message)

/** An authenticated connection to [peer]; [authenticator] computes the tags of its frames. */
internal class PeerSession(val peer: InstanceId, val authenticator: FrameAuthenticator)

/** Performs the handshake on a connection from [self] to the address of [peer]. */
internal suspend fun openSession(
    self: InstanceId,
    peer: InstanceId,
    secret: PeerSecret,
    input: ByteReadChannel,
    output: ByteWriteChannel,
): PeerSession {
    val challenge = decodeFrame(Challenge.serializer(), readFrame(input, MAX_HANDSHAKE_FRAME_BYTES))
    requireValidPeer(challenge.version == PEER_PROTOCOL_VERSION, "unsupported protocol version ${challenge.version}")
    requireValidPeer(challenge.instance == peer.text, "expected $peer, but ${challenge.instance} responded at its address")
    val transcript = Transcript(self.text, challenge.instance, newNonce(), challenge.nonce)
    val response = ChallengeResponse(PEER_PROTOCOL_VERSION, self.text, transcript.callerNonce, transcript.proof(secret, CALLER))
    writeFrame(output, encodeFrame(ChallengeResponse.serializer(), response))
    val acceptance = decodeFrame(Acceptance.serializer(), readFrame(input, MAX_HANDSHAKE_FRAME_BYTES))
    requireValidPeer(MessageDigest.isEqual(acceptance.proof, transcript.proof(secret, ACCEPTOR)), "invalid proof of the accepting side")
    return PeerSession(peer, FrameAuthenticator(transcript.proof(secret, SESSION)))
}

/** Performs the handshake on a connection that [self] accepted. */
internal suspend fun acceptSession(
    self: InstanceId,
    secret: PeerSecret,
    input: ByteReadChannel,
    output: ByteWriteChannel,
): PeerSession {
    val nonce = newNonce()
    writeFrame(output, encodeFrame(Challenge.serializer(), Challenge(PEER_PROTOCOL_VERSION, self.text, nonce)))
    val response = decodeFrame(ChallengeResponse.serializer(), readFrame(input, MAX_HANDSHAKE_FRAME_BYTES))
    requireValidPeer(response.version == PEER_PROTOCOL_VERSION, "unsupported protocol version ${response.version}")
    val transcript = Transcript(response.instance, self.text, response.nonce, nonce)
    requireValidPeer(MessageDigest.isEqual(response.proof, transcript.proof(secret, CALLER)), "invalid proof of the connecting side")
    writeFrame(output, encodeFrame(Acceptance.serializer(), Acceptance(transcript.proof(secret, ACCEPTOR))))
    return PeerSession(InstanceId(response.instance), FrameAuthenticator(transcript.proof(secret, SESSION)))
}

/** Reads one frame of at most [maxBytes] bytes. */
internal suspend fun readFrame(input: ByteReadChannel, maxBytes: Int): ByteArray {
    val size = input.readInt()
    if (size !in 0..maxBytes) throw IOException("frame of $size bytes exceeds the limit of $maxBytes bytes")
    return input.readByteArray(size)
}

/** Writes and flushes one frame. */
internal suspend fun writeFrame(output: ByteWriteChannel, payload: ByteArray) {
    output.writeInt(payload.size)
    output.writeByteArray(payload)
    output.flush()
}

private const val CALLER = "caller"
private const val ACCEPTOR = "acceptor"
private const val SESSION = "session"

private fun newNonce(): ByteArray = ByteArray(NONCE_BYTES).also(random::nextBytes)

private fun requireValidPeer(isValid: Boolean, reason: String) {
    if (!isValid) throw PeerRejectedException("peer rejected: $reason")
}

/** The values that both sides of a handshake have exchanged, which the proofs cover. */
private class Transcript(val caller: String, val acceptor: String, val callerNonce: ByteArray, val acceptorNonce: ByteArray) {
    fun proof(secret: PeerSecret, purpose: String): ByteArray = secret.hmacOf(
        purpose.encodeToByteArray(),
        caller.encodeToByteArray(),
        acceptor.encodeToByteArray(),
        callerNonce,
        acceptorNonce,
    )
}
