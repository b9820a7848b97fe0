package org.cactuspulley.runtime.edge

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.handler.codec.http.QueryStringEncoder
import org.cactuspulley.core.model.KeyDigest
import java.security.MessageDigest

/** A plaintext API key sent with a request. The plaintext never leaves this package; other code uses [digest]. */
internal class CallerKey(private val plainText: String) {
    /** The SHA-256 digest that identifies the key in the configuration. */
    val digest: KeyDigest
        get() = KeyDigest(MessageDigest.getInstance("SHA-256").digest(plainText.toByteArray()).joinToString("") { "%02x".format(it) })

    /** Whether [value] contains the plaintext key. */
    fun occursIn(value: String): Boolean = value.contains(plainText)

    /** Whether [body] contains the bytes of the plaintext key. */
    fun occursIn(body: ByteArray): Boolean = plainText.length <= body.size && containsBytes(body, plainText.toByteArray())

    private fun containsBytes(body: ByteArray, key: ByteArray): Boolean =
        (0..body.size - key.size).any { start -> body[start] == key[0] && key.indices.all { body[start + it] == key[it] } }

    override fun toString(): String = "CallerKey"

    companion object {
        private const val BEARER_PREFIX = "bearer "

        /** Returns the bearer token of the `Authorization` header, or null if there is none. */
        fun fromHeaders(headers: HttpHeaders): CallerKey? {
            val value = headers.get(HttpHeaderNames.AUTHORIZATION) ?: return null
            if (!value.startsWith(BEARER_PREFIX, ignoreCase = true)) return null
            return value.substring(BEARER_PREFIX.length).trim().takeIf { it.isNotEmpty() }?.let(::CallerKey)
        }
    }
}

private val CREDENTIAL_PARAMETERS = setOf("api_key", "apikey", "api-key", "access_token", "authorization")

/** Returns [uri] without query parameters that are named like a credential or whose value contains [key]. */
internal fun removeCredentialParameters(uri: String, key: CallerKey?): String {
    val decoded = QueryStringDecoder(uri)
    if (decoded.parameters().isEmpty()) return uri
    val encoder = QueryStringEncoder(decoded.rawPath())
    for ((name, values) in decoded.parameters()) {
        if (name.lowercase() in CREDENTIAL_PARAMETERS) continue
        values.filterNot { key?.occursIn(it) == true }.forEach { encoder.addParam(name, it) }
    }
    return encoder.toString()
}
