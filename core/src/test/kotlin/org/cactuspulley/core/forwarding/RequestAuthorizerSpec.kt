package org.cactuspulley.core.forwarding

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.get
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.RouteName
import org.cactuspulley.core.model.WorkspaceId

class RequestAuthorizerSpec : DescribeSpec({
    describe("the request authorizer") {
        fun authorizer(configuration: ForwardingConfiguration = configuration()) = RequestAuthorizer().apply { replace(configuration) }

        it("refuses every request as not configured before the first configuration") {
            RequestAuthorizer().authorize(request()) shouldBe Err(ForwardingRefusal.NOT_CONFIGURED)
        }

        it("selects the route with the longest prefix") {
            val authorizer =
                authorizer(configuration(routes = listOf(route(prefix = "/"), route(prefix = "/ask/deep/"), route(prefix = "/ask/"))))
            authorizer.authorize(request("/ask/deep/1")).get()?.route?.name shouldBe RouteName("route/ask/deep/")
            authorizer.authorize(request("/ask/1")).get()?.route?.name shouldBe RouteName("route/ask/")
        }

        it("finds no route for another host") {
            authorizer().authorize(request().copy(host = "other.example")) shouldBe Err(ForwardingRefusal.NO_ROUTE)
        }

        it("refuses unknown and missing keys except on an anonymous route") {
            authorizer().authorize(request(key = "key-forged")) shouldBe Err(ForwardingRefusal.UNKNOWN_KEY)
            authorizer().authorize(request(key = null)) shouldBe Err(ForwardingRefusal.UNKNOWN_KEY)
            authorizer(configuration(routes = listOf(route(anonymous = true))))
                .authorize(request(key = null)).get()?.workspace shouldBe null
        }

        it("rejects an older version of the configuration") {
            val authorizer = authorizer(configuration(version = 5, workspaces = listOf(workspace("tenant-a"), workspace("tenant-b"))))
            authorizer.replace(configuration(version = 4, workspaces = listOf(workspace("tenant-c")))) shouldBe false
            authorizer.authorize(request(key = "key-tenant-b")).get()?.workspace?.name shouldBe WorkspaceId("tenant-b")
        }

        it("charges the default cost for a request without token counts") {
            authorizer().authorize(request(prompt = null)).get()?.cost shouldBe 200.0
            authorizer().authorize(request()).get()?.cost shouldBe 1_150.0
        }
    }
})
