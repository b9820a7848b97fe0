package org.cactuspulley.runtime.forwarding

/** Limits the memory of the incomplete responses that an instance holds; confined to the event loop. */
internal class ResponseMemory {
    private var heldBytes = 0L

    /** The bytes that one response holds. */
    inner class Share {
        private var bytes = 0

        /** Changes the bytes that this response holds to [newBytes]; returns false if it must be given up because of a limit. */
        fun resize(newBytes: Int): Boolean {
            heldBytes += newBytes - bytes
            bytes = newBytes
            return bytes <= MAX_RESPONSE_BYTES && heldBytes <= MAX_HELD_BYTES
        }
    }

    private companion object {
        /** Plain responses and events of targets have a few kilobytes at most. */
        const val MAX_RESPONSE_BYTES = 1024 * 1024

        /** A sixth of the buffer memory of an instance, for all its responses together. */
        const val MAX_HELD_BYTES = 16L * 1024 * 1024
    }
}
