package org.cactuspulley.runtime.logging

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class LoggedDecisionSpec : DescribeSpec({
    fun line(at: Long, event: String, vararg details: Pair<String, String>) =
        """{"timestamp":$at,"level":"INFO","kvpList": [${details.joinToString(",") {
            "{\"${it.first}\":\"${it.second}\"}"
        }}],"message":"$event","throwable":null}"""

    describe("parseDecision") {
        it("returns the decision with its details and ignores text before the JSON object") {
            parseDecision("a", "  12.5 front " + line(5, "refused", "request" to "r-1", "cause" to "OVER_RATE")) shouldBe
                LoggedDecision("a", 5, "refused", mapOf("request" to "r-1", "cause" to "OVER_RATE"))
        }

        it("returns null for lines that are not decisions") {
            listOf("# SIGILL (0x4)", "", "{", "{}", "[1]", """{"message":"x"}""").forEach { parseDecision("a", it) shouldBe null }
        }
    }

    describe("requestHistory") {
        it("contains the decisions of all processes on the request and the preceding state changes of those processes") {
            val decisions = listOf(
                "a" to line(1_000, "configuration", "version" to "1"),
                "a" to line(8_000, "target_removed", "target" to "t-1"),
                "b" to line(8_500, "target_removed", "target" to "t-1"),
                "a" to line(9_000, "send_failed", "request" to "r-1"),
                "a" to line(9_100, "refused", "request" to "r-1"),
                "a" to line(9_050, "refused", "request" to "r-2"),
                "a" to line(9_200, "ready"),
                "c" to line(9_500, "delivered", "request" to "r-1"),
            ).mapNotNull { (process, text) -> parseDecision(process, text) }
            requestHistory("r-1", decisions).map { "${it.process} ${it.event}" } shouldBe
                listOf("a target_removed", "a send_failed", "a refused", "c delivered")
        }
    }
})
