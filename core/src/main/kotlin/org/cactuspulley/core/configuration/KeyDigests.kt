package org.cactuspulley.core.configuration

import org.cactuspulley.core.model.KeyDigest
import java.security.MessageDigest
import java.util.HexFormat

/** Returns the SHA-256 digest that identifies the caller's key [plainKey]. The key itself is never stored. */
public fun keyDigestOf(plainKey: String): KeyDigest =
    KeyDigest(HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(plainKey.encodeToByteArray())))
