package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class LoadedWeightsSpec : DescribeSpec({
    describe("the weights of a target") {
        it("are the newest that its entry or a response shows") {
            val loaded = LoadedWeights()
            loaded.probable(registered = 1, START) shouldBe 1
            loaded.observe(3) shouldBe true
            loaded.observe(2) shouldBe false
            loaded.known(registered = 1) shouldBe 3
            loaded.known(registered = 4) shouldBe 4
        }

        // Guards against an assumed version that counts as known, so that peers and the rollout rely on it.
        it("that are assumed after a refusal are never known") {
            val loaded = LoadedWeights()
            loaded.refuse(version = 1, newest = 3, START)
            loaded.probable(registered = 1, START) shouldBe 2
            loaded.known(registered = 1) shouldBe 1
        }

        it("are assumed one version after the other, and then for a while none") {
            val loaded = LoadedWeights()
            loaded.refuse(version = 1, newest = 3, START)
            loaded.refuse(version = 2, newest = 3, START)
            loaded.probable(registered = 1, START) shouldBe 3
            loaded.refuse(version = 3, newest = 3, START)
            loaded.probable(registered = 1, START + 1.seconds) shouldBe null
        }

        // Guards against going back to a refused version when requests that expected it are refused late.
        it("are not assumed to be older because of requests that were sent earlier") {
            val loaded = LoadedWeights()
            loaded.refuse(version = 2, newest = 4, START)
            loaded.refuse(version = 1, newest = 4, START)
            loaded.probable(registered = 1, START) shouldBe 3
        }

        // Guards against an assumption that stays although the target reports its weights again.
        it("are the known ones again when the target shows newer ones") {
            val loaded = LoadedWeights()
            loaded.refuse(version = 1, newest = 5, START)
            loaded.probable(registered = 4, START) shouldBe 4
        }

        // Guards against slow requests that go back to a version which the target refused before.
        it("are not assumed anew because time passes, as long as versions are left") {
            val loaded = LoadedWeights()
            loaded.refuse(version = 1, newest = 3, START)
            loaded.probable(registered = 1, START + 60.seconds) shouldBe 2
            loaded.refuse(version = 2, newest = 3, START + 60.seconds)
            loaded.probable(registered = 1, START + 120.seconds) shouldBe 3
        }

        // Guards against a target that is left out although a version has been named that it may have.
        it("are assumed to be one that is named after all earlier ones were refused") {
            val loaded = LoadedWeights()
            loaded.refuse(version = 1, newest = 1, START)
            loaded.probable(registered = 1, START) shouldBe null
            loaded.named(2)
            loaded.probable(registered = 1, START) shouldBe 2
        }

        // Guards against a target that is left out for good after refusals for another reason.
        it("are tried again from the known one on, a while after all were refused") {
            val loaded = LoadedWeights()
            loaded.refuse(version = 1, newest = 2, START)
            loaded.refuse(version = 2, newest = 2, START)
            loaded.probable(registered = 1, START + 1_499.milliseconds) shouldBe null
            loaded.probable(registered = 1, START + 1_500.milliseconds) shouldBe 1
            loaded.refuse(version = 1, newest = 2, START + 1_500.milliseconds)
            loaded.probable(registered = 1, START + 1_500.milliseconds) shouldBe 2
        }
    }
})
