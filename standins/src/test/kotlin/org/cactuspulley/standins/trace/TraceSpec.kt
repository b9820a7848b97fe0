package org.cactuspulley.standins.trace

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cactuspulley.core.routing.splitPrompt
import org.cactuspulley.standins.deployment.DeploymentPlan

class TraceSpec : DescribeSpec({
    val plans = DeploymentPlan.all

    fun formattedTrace(plan: DeploymentPlan, seed: Long, faults: FaultSet) = TraceFile.format(
        TraceGenerator(plan, seed, 10).generate(faults),
    )

    describe("a generated trace") {
        it("is identical for the same seed and differs for another seed") {
            for (plan in plans) {
                formattedTrace(plan, 3, FaultSet.LISTED) shouldBe formattedTrace(plan, 3, FaultSet.LISTED)
                formattedTrace(plan, 3, FaultSet.LISTED) shouldNotBe formattedTrace(plan, 4, FaultSet.LISTED)
            }
        }

        it("is equal after being formatted and parsed") {
            for (plan in plans) {
                val trace = TraceGenerator(plan, 5, 10).generate(FaultSet.LISTED)
                TraceFile.parse(TraceFile.format(trace).lines()).get() shouldBe trace
            }
        }

        it("has incidents only with the listed fault set") {
            TraceGenerator(plans[0], 1, 10).generate(FaultSet.NONE).incidents.shouldBeEmpty()
            val kinds = TraceGenerator(plans[0], 1, 10).generate(FaultSet.LISTED).incidents.map { it::class }
            kinds shouldContainAll listOf(TargetCrash::class, InstanceCrash::class, LogOutage::class, KeyWithdrawn::class, ZoneCut::class)
        }
    }

    describe("a trace file") {
        val start = """{"type":"start","at_ms":0,"deployment":"cascadia","seed":1,"seconds":1,"faults":"none"}"""

        it("is rejected with the number of a line that is not an event") {
            val error = TraceFile.parse(listOf(start, """{"type":"target_crash","at_ms":5}""")).getError()
            error.shouldBeInstanceOf<TraceError.LineUnreadable>().line shouldBe 2
        }

        it("is rejected if the first event is not a start") {
            TraceFile.parse(listOf("""{"type":"hot_prefix_shift","at_ms":5}""")).getError() shouldBe TraceError.StartMissing
        }

        it("is rejected if its events are not in the order of their times") {
            val lines = listOf(start, """{"type":"hot_prefix_shift","at_ms":5}""", """{"type":"hot_prefix_shift","at_ms":4}""")
            TraceFile.parse(lines).getError() shouldBe TraceError.OutOfOrder(3)
        }

        it("is rejected if a resend refers to a request that does not precede it") {
            val call = """{"type":"call","at_ms":5,"id":"b","workspace":"w","profile":"p","path":"/x","resend_of":"a"}"""
            TraceFile.parse(listOf(start, call)).getError() shouldBe TraceError.ResendUnknown(2, "a")
        }
    }

    describe("prompt texts") {
        it("have equal pieces for equal levels and different pieces for different levels") {
            val texts = PromptTextGenerator()
            val prefix = listOf(PromptLevel("spec", 3072))
            fun pieces(vararg more: PromptLevel) = splitPrompt(texts.generate(prefix + more).joinToString("\n"))
            val first = pieces(PromptLevel("question-1", 100))
            val second = pieces(PromptLevel("question-2", 100))
            first.take(3) shouldBe second.take(3)
            first[3] shouldNotBe second[3]
        }
    }
})
