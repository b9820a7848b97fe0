package org.cactuspulley.runtime.peer

import java.nio.ByteBuffer
import java.security.MessageDigest
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** The secret that all instances of a deployment share. Never printed. */
public class PeerSecret(text: String) {
    private val bytes = text.encodeToByteArray()

    /** The HMAC-SHA256 of [parts], each with its length before it, under this secret. */
    internal fun hmacOf(vararg parts: ByteArray): ByteArray = hmac(bytes, parts)

    /** Whether [text] is this secret; the time that it takes does not depend on where they differ. */
    public fun matches(text: String): Boolean = MessageDigest.isEqual(hmacOf(text.encodeToByteArray()), hmacOf(bytes))

    override fun toString(): String = "PeerSecret"
}

/** Authenticates the frames of one connection in the order in which they are sent. */
internal class FrameAuthenticator(private val sessionKey: ByteArray) {
    private var frames = 0L

    /** The code of the next frame. */
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
