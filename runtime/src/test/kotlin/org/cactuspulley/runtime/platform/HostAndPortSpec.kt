package org.cactuspulley.runtime.platform

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class HostAndPortSpec : DescribeSpec({
    describe("an address") {
        it("is parsed with a name, an IPv4 address or an IPv6 address in brackets") {
            HostAndPort.parse("store.example:80") shouldBe HostAndPort("store.example", 80)
            HostAndPort.parse("10.0.0.1:65535") shouldBe HostAndPort("10.0.0.1", 65_535)
            HostAndPort.parse("[::1]:9") shouldBe HostAndPort("::1", 9)
            HostAndPort.parse("[::1]:9").toString() shouldBe "[::1]:9"
        }

        // Guards against an address that throws when it is connected to, which leaves the call without a result.
        it("is not parsed with a port out of range or a host that no connection can have") {
            val ports = listOf("", "0", "-1", "+9", "65536", "99999", "99999999999", "1e3", "\u0669", " 9", "9 ")
            val hosts = listOf("", "[]", "[::1", "::1]", "::1", "[10.0.0.1", "10.0.0.1:9", "no host", "host\n", "\u0000")
            val texts = ports.map { "10.0.0.1:$it" } + hosts.map { "$it:9" } + listOf("", ":", "10.0.0.1")
            texts.forEach { text -> withClue(text) { HostAndPort.parse(text) shouldBe null } }
        }
    }
})
