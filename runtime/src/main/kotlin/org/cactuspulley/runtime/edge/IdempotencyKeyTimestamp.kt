package org.cactuspulley.runtime.edge

import java.util.UUID

private const val UUID_VERSION_7 = 7
private const val TIMESTAMP_SHIFT_BITS = 16

/** Returns the creation time of [key] in milliseconds since the Unix epoch, or null if the key is not a version 7 UUID. */
internal fun idempotencyKeyTimestampMillis(key: String): Long? = try {
    UUID.fromString(key).takeIf { it.version() == UUID_VERSION_7 }?.let { it.mostSignificantBits ushr TIMESTAMP_SHIFT_BITS }
} catch (_: IllegalArgumentException) {
    null
}
