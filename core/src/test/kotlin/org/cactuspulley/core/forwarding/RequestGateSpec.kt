package org.cactuspulley.core.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.get
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.WorkspaceId

class RequestGateSpec : DescribeSpec({
    describe("the gate") {
        fun gate(configuration: ForwardingConfiguration = configuration()) = RequestGate().apply { replace(configuration) }

        it("refuses everything as not configured before the first configuration") {
            RequestGate().authorize(request()) shouldBe Err(ForwardingRefusal.NOT_CONFIGURED)
        }

        it("takes the route with the longest prefix") {
            val gate = gate(configuration(routes = listOf(route(prefix = "/"), route(prefix = "/ask/deep/"), route(prefix = "/ask/"))))
            gate.authorize(request("/ask/deep/1")).get()?.route?.name shouldBe RouteName("route/ask/deep/")
            gate.authorize(request("/ask/1")).get()?.route?.name shouldBe RouteName("route/ask/")
        }

        it("knows no route at another host") {
            gate().authorize(request().copy(host = "other.example")) shouldBe Err(ForwardingRefusal.NO_ROUTE)
        }

        it("refuses unknown and missing keys, but not on an anonymous route") {
            gate().authorize(request(key = "key-forged")) shouldBe Err(ForwardingRefusal.UNKNOWN_KEY)
            gate().authorize(request(key = null)) shouldBe Err(ForwardingRefusal.UNKNOWN_KEY)
            gate(configuration(routes = listOf(route(anonymous = true)))).authorize(request(key = null)).get()?.workspace shouldBe null
        }

        it("never goes back to an older version") {
            val gate = gate(configuration(version = 5, workspaces = listOf(workspace("tenant-a"), workspace("tenant-b"))))
            gate.replace(configuration(version = 4, workspaces = listOf(workspace("tenant-c")))) shouldBe false
            gate.authorize(request(key = "key-tenant-b")).get()?.workspace?.name shouldBe WorkspaceId("tenant-b")
        }

        it("counts a request without token counts as the plain figure") {
            gate().authorize(request(prompt = null)).get()?.cost shouldBe 200.0
            gate().authorize(request()).get()?.cost shouldBe 1_150.0
        }
    }
})
