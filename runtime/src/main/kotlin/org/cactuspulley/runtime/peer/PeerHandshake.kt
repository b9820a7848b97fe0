/*
 * The challenge and response by which both sides of a connection prove that they know the shared
 * secret, without sending it. Each side's proof covers both nonces and both names, so that neither
 * can be replayed or turned back at its sender.
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

/** The other side did not prove that it belongs to this deployment. */
internal class PeerRejectedException(message: String) : IOException(message)

/** Who is at the other end, and how the frames of the connection are authenticated. */
internal class PeerSession(val peer: InstanceId, val authenticator: FrameAuthenticator)

/** Opens a session on a connection that [self] made and expects [peer] at. */
internal suspend fun openSession(
    self: InstanceId,
    peer: InstanceId,
    secret: PeerSecret,
    input: ByteReadChannel,
    output: ByteWriteChannel,
): PeerSession {
    val challenge = decodeFrame(Challenge.serializer(), readFrame(input, MAX_HANDSHAKE_FRAME_BYTES))
    requireValidPeer(challenge.version == PEER_PROTOCOL_VERSION, "protocol version ${challenge.version}")
    requireValidPeer(challenge.instance == peer.text, "another instance answers at the address of $peer")
    val transcript = Transcript(self.text, challenge.instance, newNonce(), challenge.nonce)
    val response = ChallengeResponse(PEER_PROTOCOL_VERSION, self.text, transcript.callerNonce, transcript.proof(secret, CALLER))
    writeFrame(output, encodeFrame(ChallengeResponse.serializer(), response))
    val acceptance = decodeFrame(Acceptance.serializer(), readFrame(input, MAX_HANDSHAKE_FRAME_BYTES))
    requireValidPeer(MessageDigest.isEqual(acceptance.proof, transcript.proof(secret, ACCEPTOR)), "proof of the accepting side")
    return PeerSession(peer, FrameAuthenticator(transcript.proof(secret, SESSION)))
}

/** Accepts a session on a connection that somebody made to [self]. */
internal suspend fun acceptSession(
    self: InstanceId,
    secret: PeerSecret,
    input: ByteReadChannel,
    output: ByteWriteChannel,
): PeerSession {
    val nonce = newNonce()
    writeFrame(output, encodeFrame(Challenge.serializer(), Challenge(PEER_PROTOCOL_VERSION, self.text, nonce)))
    val response = decodeFrame(ChallengeResponse.serializer(), readFrame(input, MAX_HANDSHAKE_FRAME_BYTES))
    requireValidPeer(response.version == PEER_PROTOCOL_VERSION, "protocol version ${response.version}")
    val transcript = Transcript(response.instance, self.text, response.nonce, nonce)
    requireValidPeer(MessageDigest.isEqual(response.proof, transcript.proof(secret, CALLER)), "proof of the calling side")
    writeFrame(output, encodeFrame(Acceptance.serializer(), Acceptance(transcript.proof(secret, ACCEPTOR))))
    return PeerSession(InstanceId(response.instance), FrameAuthenticator(transcript.proof(secret, SESSION)))
}

/** Reads one frame of at most [maxBytes] bytes. */
internal suspend fun readFrame(input: ByteReadChannel, maxBytes: Int): ByteArray {
    val size = input.readInt()
    if (size !in 0..maxBytes) throw IOException("frame of $size bytes; allowed are $maxBytes")
    return input.readByteArray(size)
}

/** Writes one frame and sends it. */
internal suspend fun writeFrame(output: ByteWriteChannel, payload: ByteArray) {
    output.writeInt(payload.size)
    output.writeByteArray(payload)
    output.flush()
}

private const val CALLER = "caller"
private const val ACCEPTOR = "acceptor"
private const val SESSION = "session"

private fun newNonce(): ByteArray = ByteArray(NONCE_BYTES).also(random::nextBytes)

private fun requireValidPeer(isValid: Boolean, check: String) {
    if (!isValid) throw PeerRejectedException("turned away: $check")
}

/** What both sides of a handshake have seen. */
private class Transcript(val caller: String, val acceptor: String, val callerNonce: ByteArray, val acceptorNonce: ByteArray) {
    fun proof(secret: PeerSecret, purpose: String): ByteArray = secret.hmacOf(
        purpose.encodeToByteArray(),
        caller.encodeToByteArray(),
        acceptor.encodeToByteArray(),
        callerNonce,
        acceptorNonce,
    )
}
