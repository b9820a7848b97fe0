package org.cactuspulley.runtime.peer

import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** The secret that all instances of a deployment share. [toString] does not reveal it. */
public class PeerSecret(text: String) {
    private val bytes = text.encodeToByteArray()

    /** Returns the HMAC-SHA256 of [parts] with this secret as the key. Each part is prefixed with its length. */
    internal fun hmacOf(vararg parts: ByteArray): ByteArray = hmac(bytes, parts)

    /** Returns whether [text] equals this secret. The comparison takes constant time. */
    public fun matches(text: String): Boolean = MessageDigest.isEqual(hmacOf(text.encodeToByteArray()), hmacOf(bytes))

    override fun toString(): String = "PeerSecret"
}

/**
 * Computes the authentication tags of the frames of one connection. A tag covers the sequence number of its frame, so
 * that reordered and replayed frames are rejected.
 */
internal class FrameAuthenticator(private val sessionKey: ByteArray) {
    private var frames = 0L

    /** Returns the tag of the next frame. */
    fun nextTag(payload: ByteArray): ByteArray {
        val number = ByteBuffer.allocate(Long.SIZE_BYTES).putLong(frames++).array()
        return hmac(sessionKey, arrayOf(number, payload)).copyOf(TAG_BYTES)
    }

    companion object {
        const val TAG_BYTES = 16
    }
}

private fun hmac(key: ByteArray, parts: Array<out ByteArray>): ByteArray {
    val mac = Mac.getInstance("HmacSHA256")
    mac.init(SecretKeySpec(key, "HmacSHA256"))
    parts.forEach { part ->
        mac.update(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(part.size).array())
        mac.update(part)
    }
    return mac.doFinal()
}
