package org.cactuspulley.runtime.http

import java.io.File
import java.io.IOException

/**
 * How the descriptors of a process are divided. Half of them is for callers, because each request that is served takes a second connection,
 * to its target; an eighth is for queries. The rest is kept for what the instance itself needs: targets, platform, peers and files.
 *
 * @property callers the most connections of callers.
 * @property queries the most connections of clients that query the instance itself.
 */
internal data class DescriptorBudget(val callers: Int, val queries: Int) {
    companion object {
        /** The descriptors of the runtime's own files, at most. */
        private const val FILES = 200

        /** Assumed where the system doesn't tell its limit; the usual limit of a service. */
        private const val UNKNOWN_LIMIT = 4_096L
        private const val LIMITS_FILE = "/proc/self/limits"
        private const val LIMIT_LINE = "Max open files"

        /** Divides the descriptors that this process may open. */
        fun ofProcess(): DescriptorBudget = ofLimit(parseLimit(readLimits()) ?: UNKNOWN_LIMIT)

        /** Divides [limit] descriptors. */
        fun ofLimit(limit: Long): DescriptorBudget {
            val sockets = (limit - minOf(FILES.toLong(), limit / 4)).coerceIn(0, Int.MAX_VALUE.toLong()).toInt()
            return DescriptorBudget(callers = (sockets / 2).coerceAtLeast(1), queries = (sockets / 8).coerceAtLeast(1))
        }

        /** Returns the limit in [lines] of the form of `/proc/self/limits`; null if there is none. */
        fun parseLimit(lines: List<String>): Long? =
            lines.firstOrNull { it.startsWith(LIMIT_LINE) }?.removePrefix(LIMIT_LINE)?.trim()?.substringBefore(' ')?.toLongOrNull()

        private fun readLimits(): List<String> = try {
            File(LIMITS_FILE).readLines()
        } catch (_: IOException) {
            emptyList()
        }
    }
}
