package org.cactuspulley.runtime.forwarding

/**
 * Limits the memory of messages that an instance holds; confined to the event loop.
 *
 * @property maxShareBytes the largest number of bytes for one message or connection.
 * @property maxHeldBytes the largest number of bytes for all together.
 */
internal class BufferMemory(private val maxShareBytes: Long, private val maxHeldBytes: Long) {
    private var heldBytes = 0L

    /** The bytes that one message or connection holds. */
    inner class Share {
        private var bytes = 0L

        /** Changes the bytes that are held to [newBytes]; returns false if the holder must give them up because of a limit. */
        fun resize(newBytes: Long): Boolean {
            heldBytes += newBytes - bytes
            bytes = newBytes
            return bytes <= maxShareBytes && heldBytes <= maxHeldBytes
        }
    }
}
