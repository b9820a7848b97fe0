package org.cactuspulley.core.configuration

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.IdempotencyKey
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.record.WithdrawKey
import org.cactuspulley.core.requests.RequestDescription

class RequestAuthorizationSpec : DescribeSpec({
    val records = deploymentRecords(keys = 2) + WithdrawKey(key(1).digest)
    val configuration = records.foldIndexed(Configuration()) { index, state, record ->
        state.applyRecord(StoredRecord(LogOffset(index.toLong()), RecordId("r$index"), record)).configuration
    }

    fun grant(request: RequestDescription): Grant = configuration.grantFor(request).getOrThrow { AssertionError("$it") }

    fun refusal(request: RequestDescription): AuthorizationFailure? = configuration.grantFor(request).getError()

    describe("a key") {
        it("authorizes a request for its workspace under the first profile") {
            grant(request()) shouldBe Grant(workspaceOne.id, deskProfile, PoolName("engines"), repeatable = true)
        }

        it("permits the other profiles of its workspace and refuses any other profile") {
            grant(request(profile = nightProfile.name)).profile shouldBe nightProfile
            refusal(request(profile = ProfileName("gold"))) shouldBe AuthorizationFailure.ProfileNotPermitted
        }

        it("that is missing, unknown or withdrawn is refused") {
            refusal(request(key = null)) shouldBe AuthorizationFailure.KeyMissing
            refusal(request(key = keyDigestOf("guess"))) shouldBe AuthorizationFailure.KeyUnknown
            refusal(request(key = key(1).digest)) shouldBe AuthorizationFailure.KeyWithdrawn
            configuration.permitsStart(key(1).digest) shouldBe false
        }
    }

    describe("a path") {
        fun onPath(path: String, key: Int? = 0) =
            request(key = key?.let { key(it).digest }, path = path, model = null)

        it("is matched to the route with the longest prefix") {
            grant(onPath("/permits/7")).pool shouldBe PoolName("member-desk")
            grant(onPath("/permits/forms/7?page=2", key = null)).pool shouldBe PoolName("forms")
        }

        it("is not matched to a prefix that ends within a path segment") {
            refusal(onPath("/permitsx")) shouldBe AuthorizationFailure.RouteUnknown
            refusal(onPath("/permits/formsx", key = null)) shouldBe AuthorizationFailure.KeyMissing
        }

        it("that is ambiguous does not reach an open route") {
            val ambiguousPaths =
                listOf("/permits/forms/../orders", "/permits/forms/%2e%2e/orders", "/permits/forms//x", "/permits/forms/%2Forders")
            for (path in ambiguousPaths) refusal(onPath(path, key = null)) shouldBe AuthorizationFailure.KeyMissing
        }
    }

    describe("a request") {
        it("for a model that is not configured is refused") {
            refusal(request(model = ModelName("other"))) shouldBe AuthorizationFailure.ModelUnknown
        }

        it("to a model is repeatable unless it has an idempotency key") {
            grant(request()).repeatable shouldBe true
            grant(request(idempotencyKey = IdempotencyKey("stamp-1"))).repeatable shouldBe false
        }

        it("to a service is repeatable if its method is safe or a pattern of the profile matches") {
            grant(request(method = "GET", path = "/permits/7", model = null)).repeatable shouldBe true
            grant(request(method = "POST", path = "/permits/7", model = null)).repeatable shouldBe false
            grant(request(path = "/plans/check", idempotencyKey = IdempotencyKey("c"))).repeatable shouldBe true
        }
    }
})
