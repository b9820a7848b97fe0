package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.netty.channel.embedded.EmbeddedChannel
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.forwarding.OrderAnswer
import org.cactuspulley.core.forwarding.RolloutAction
import org.cactuspulley.core.forwarding.TargetEntry
import org.cactuspulley.core.forwarding.TargetReport
import org.cactuspulley.core.forwarding.WeightRollout
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.settings.FleetBounds
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private val MODEL = ModelName("model-a")
private const val TARGETS = 62

/** Grants each claim. */
private class GrantingStore : RecordStore {
    private var end = 0L

    override fun read(topic: StoreTopic, from: Long, wait: Duration, done: (Result<RecordBatch, StoreFailure>) -> Unit) = Unit

    override fun newest(topic: StoreTopic, done: (Result<RecordBatch, StoreFailure>) -> Unit) = done(Ok(RecordBatch(emptyList(), end)))

    override fun append(
        topic: StoreTopic,
        key: String,
        value: ByteArray,
        expectedEnd: Long?,
        done: (Result<AppendedRecord, StoreFailure>) -> Unit,
    ) = done(Ok(AppendedRecord(end++)))
}

/** Targets that accept each order; a test says when they have loaded their weights. */
private class AcceptingTargets : TargetControl {
    val ordered = ArrayDeque<TargetId>()

    override fun awaitCacheStore(address: String, done: (Boolean) -> Unit) = Unit

    override fun report(target: TargetEntry, done: (TargetReport?) -> Unit) =
        done(TargetReport(mapOf(MODEL to 1L), isBusy = false, ordersAccepted = 0, running = 0, waiting = 0))

    override fun order(target: TargetEntry, order: RolloutAction.Order, holder: InstanceId, done: (OrderAnswer) -> Unit) {
        ordered += target.id
        done(OrderAnswer.ACCEPTED)
    }
}

class RolloutDriverSpec : DescribeSpec({
    describe("the instance that orders weights") {
        // Guards against an instance whose link is filled by digests to the whole fleet while many targets load one after another.
        it("sends at most ten digests a second about loading targets") {
            val channel = EmbeddedChannel().apply { freezeTime() }
            var now = MonotonicTime.ZERO + 100.seconds
            val clock = MonotonicClock { now }
            val member = FleetMember(InstanceId("i-1"), InstanceIncarnation(1), ZoneName("zone-a"), "10.0.0.1:1", "10.0.0.1:2")
            val state = ForwardingState(member, FleetBounds(), now)
            var digests = 0
            val context = ForwardingContext(
                channel.eventLoop(),
                clock,
                state,
                NoTargets,
                TargetConnectionPool(channel.eventLoop(), clock) { _, _ -> error("no target is called") },
                DecisionLog(ForwardingMetrics()),
                LoopDelayMonitor(100.milliseconds, now),
                sendDigests = { digests++ },
            )
            val control = AcceptingTargets()
            val rollout = WeightRollout(member.id, state.directory, state.desiredWeights, state.fleet, state.serviceTimes)
            val driver = RolloutDriver(context, ClaimRecord("i-1", 1), rollout, GrantingStore(), control)
            repeat(TARGETS) {
                val zone = ZoneName("zone-a")
                state.directory.upsert(
                    TargetEntry(TargetId("t-$it"), PoolName("engines"), "10.1.0.1:1", zone, 8, false, 1, 1, mapOf(MODEL to 1L)),
                )
            }
            state.desiredWeights.record(MODEL, 2, now)
            driver.advance()
            val startedAt = now
            while (rollout.isNeeded) {
                now += 10.milliseconds
                channel.advanceTimeBy(10, TimeUnit.MILLISECONDS)
                channel.runScheduledPendingTasks()
                channel.runPendingTasks()
                val loaded = control.ordered.removeFirstOrNull() ?: continue
                state.directory[loaded]?.recordWeights(MODEL, 2)
                driver.advance()
            }
            control.ordered.isEmpty() shouldBe true
            digests shouldBeInRange 1..((now - startedAt) / 100.milliseconds).toInt()
            channel.finishAndReleaseAll()
        }
    }
})
