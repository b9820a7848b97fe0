package org.cactuspulley.runtime.edge

import java.util.UUID

private const val UUID_VERSION_7 = 7
private const val TIMESTAMP_SHIFT_BITS = 16

/** The time in milliseconds of the wall clock at which a key was made, if it is a version 7 UUID; null for any other. */
internal fun idempotencyKeyTimestampMillis(key: String): Long? = try {
    UUID.fromString(key).takeIf { it.version() == UUID_VERSION_7 }?.let { it.mostSignificantBits ushr TIMESTAMP_SHIFT_BITS }
} catch (_: IllegalArgumentException) {
    null
}
