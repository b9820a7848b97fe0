package org.cactuspulley.benchmarks

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.FleetPlan
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.configuration.Versioned
import org.cactuspulley.core.configuration.Workspace
import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.limits.AdmissionDecision
import org.cactuspulley.core.limits.BucketId
import org.cactuspulley.core.limits.SlotAdmissionControl
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.record.StoredRecord
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Measurement
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import org.openjdk.jmh.annotations.Warmup
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

/** Admits and settles requests of 2,400 workspaces at an instance that holds every slot. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public open class AdmissionBenchmark {
    private val self = InstanceId("i1")
    private val admission = SlotAdmissionControl(self, InstanceIncarnation(1))
    private val profile = ProfileName("standard")
    private val workspaces = (0 until WORKSPACES).map { WorkspaceId("workspace-$it") }
    private val records = mutableListOf<StoredRecord>()
    private var now = MonotonicTime(1_000_000_000)
    private var requests = 0L

    /** Lets the instance claim every slot. */
    @Setup
    public open fun claimSlots() {
        val grants = workspaces.associateWith { Versioned(Workspace(it, listOf(profile)), LogOffset.FIRST) }
        val standard = Versioned(Profile(profile, 10_000_000, 10_000_000), LogOffset.FIRST)
        val plan = Versioned(FleetPlan(), LogOffset.FIRST)
        val configuration = Configuration(profiles = mapOf(profile to standard), workspaces = grants, plan = plan)
        val instance = Instance(self, InstanceIncarnation(1), "", "", ZoneName("a"))
        perform(admission.handle(ConfigurationChanged(configuration), now))
        perform(admission.handle(MembershipChanged(Membership(self, mapOf(self to instance))), now))
        repeat(SETUP_STEPS) {
            now += STEP
            perform(admission.handle(TimerFired, now))
            readLog()
        }
        check(admitOne() == AdmissionDecision.Admitted) { "the instance holds no slots" }
    }

    private fun perform(effects: List<CoreEffect>) = effects.forEach { effect ->
        if (effect is AppendRecord) records.add(StoredRecord(LogOffset(records.size.toLong()), effect.recordId, effect.record))
        if (effect is FollowStream) readLog()
    }

    private fun readLog() {
        val read = RecordsRead(StreamName.SLOTS, records.toList(), LogOffset(records.size.toLong()), LogOffset.FIRST, true, now)
        admission.handle(read, now).let { effects -> perform(effects.filterIsInstance<AppendRecord>()) }
    }

    private fun admitOne(): AdmissionDecision {
        val number = requests++
        now = MonotonicTime(now.nanoseconds + NANOSECONDS_BETWEEN_REQUESTS)
        val request = RequestId(number.toString())
        val bucket = BucketId(workspaces[(number % WORKSPACES).toInt()], profile)
        val decision = admission.admit(request, bucket, TOKENS, now)
        admission.settle(request, TOKENS, now)
        if (number % REQUESTS_PER_RENEWAL == 0L) readLog()
        return decision
    }

    /** Admits one request and settles it. */
    @Benchmark
    public open fun admitAndSettle(): AdmissionDecision = admitOne()

    private companion object {
        const val WORKSPACES = 2_400
        const val TOKENS = 10L
        const val SETUP_STEPS = 100
        const val NANOSECONDS_BETWEEN_REQUESTS = 1_000L
        const val REQUESTS_PER_RENEWAL = 1_000_000L
        val STEP = 50.milliseconds
    }
}
