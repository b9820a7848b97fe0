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

/** Measures the admission of requests of 2,400 workspaces on a single instance, which holds every rate-limit slot. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public open class AdmissionBenchmark {
    private val instanceId = InstanceId("i1")
    private val admissionControl = SlotAdmissionControl(instanceId, InstanceIncarnation(1))
    private val profile = ProfileName("standard")
    private val workspaces = (0 until WORKSPACE_COUNT).map { WorkspaceId("workspace-$it") }
    private val slotRecords = mutableListOf<StoredRecord>()
    private var now = MonotonicTime(1_000_000_000)
    private var requestCount = 0L

    /** Runs the instance for 5 simulated seconds, within which it claims every slot. */
    @Setup
    public open fun claimSlots() {
        val versionedWorkspaces = workspaces.associateWith { Versioned(Workspace(it, listOf(profile)), LogOffset.FIRST) }
        val versionedProfile = Versioned(Profile(profile, 10_000_000, 10_000_000), LogOffset.FIRST)
        val versionedPlan = Versioned(FleetPlan(), LogOffset.FIRST)
        val configuration =
            Configuration(profiles = mapOf(profile to versionedProfile), workspaces = versionedWorkspaces, plan = versionedPlan)
        val instance = Instance(instanceId, InstanceIncarnation(1), "", "", ZoneName("a"))
        applyEffects(admissionControl.handle(ConfigurationChanged(configuration), now))
        applyEffects(admissionControl.handle(MembershipChanged(Membership(instanceId, mapOf(instanceId to instance))), now))
        repeat(SETUP_STEPS) {
            now += SETUP_STEP
            applyEffects(admissionControl.handle(TimerFired, now))
            deliverSlotRecords()
        }
        check(admitOneRequest() == AdmissionDecision.Admitted) { "the first request was not admitted: the instance does not hold its slot" }
    }

    /** Stores appended records and delivers the stored records when a stream is followed; ignores all other effects. */
    private fun applyEffects(effects: List<CoreEffect>) = effects.forEach { effect ->
        if (effect is AppendRecord) slotRecords.add(StoredRecord(LogOffset(slotRecords.size.toLong()), effect.recordId, effect.record))
        if (effect is FollowStream) deliverSlotRecords()
    }

    /** Delivers all stored slot records to the instance, as a read of the log does. */
    private fun deliverSlotRecords() {
        val recordsRead =
            RecordsRead(StreamName.SLOTS, slotRecords.toList(), LogOffset(slotRecords.size.toLong()), LogOffset.FIRST, true, now)
        admissionControl.handle(recordsRead, now).let { effects -> applyEffects(effects.filterIsInstance<AppendRecord>()) }
    }

    private fun admitOneRequest(): AdmissionDecision {
        val number = requestCount++
        now = MonotonicTime(now.nanoseconds + NANOSECONDS_BETWEEN_REQUESTS)
        val request = RequestId(number.toString())
        val bucket = BucketId(workspaces[(number % WORKSPACE_COUNT).toInt()], profile)
        val decision = admissionControl.admit(request, bucket, TOKENS_PER_REQUEST, now)
        admissionControl.settle(request, TOKENS_PER_REQUEST, now)
        if (number % REQUESTS_PER_DELIVERY == 0L) deliverSlotRecords()
        return decision
    }

    /** Admits one request and settles it with the tokens that it was charged. */
    @Benchmark
    public open fun admitAndSettle(): AdmissionDecision = admitOneRequest()

    private companion object {
        const val WORKSPACE_COUNT = 2_400
        const val TOKENS_PER_REQUEST = 10L
        const val SETUP_STEPS = 100
        const val NANOSECONDS_BETWEEN_REQUESTS = 1_000L

        /** The number of requests between two deliveries of slot records, which renew the leases: 1 s of simulated time. */
        const val REQUESTS_PER_DELIVERY = 1_000_000L
        val SETUP_STEP = 50.milliseconds
    }
}
