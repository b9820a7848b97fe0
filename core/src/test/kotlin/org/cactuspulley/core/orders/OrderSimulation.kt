package org.cactuspulley.core.orders

import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.FleetPlan
import org.cactuspulley.core.configuration.Model
import org.cactuspulley.core.configuration.Target
import org.cactuspulley.core.configuration.TargetKind
import org.cactuspulley.core.configuration.Versioned
import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.ReadStatus
import org.cactuspulley.core.effect.SendOrder
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.OrderAnswered
import org.cactuspulley.core.event.OrderOutcome
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.StatusRead
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.instance.InstanceCore
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.ModelName
import org.cactuspulley.core.model.PoolName
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.WeightsVersion
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.platform.OrderAction
import org.cactuspulley.core.platform.ServedModel
import org.cactuspulley.core.platform.TargetOrder
import org.cactuspulley.core.platform.TargetState
import org.cactuspulley.core.platform.TargetStatus
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.routing.NANOSECONDS_PER_MILLISECOND
import org.cactuspulley.core.routing.VirtualClock
import org.cactuspulley.core.targets.TargetMonitor
import kotlin.random.Random

private val MODEL = ModelName("layout-llm")
private val POOL = PoolName("engines")
private val ZONE = ZoneName("a")
private const val SHORTEST_LOAD_MILLIS = 50L
private const val LONGEST_LOAD_MILLIS = 600L
private const val READ_INTERVAL_MILLIS = 100L
private const val TICK_MILLIS = 20L

/**
 * Simulates several instances that order weight loads at the same engines over one log.
 *
 * @property faultsUntilMillis the simulated time in milliseconds until which faults are injected.
 * @property weightLoadLimit the configured limit of concurrent weight loads.
 */
internal class OrderSimulation(seed: Long, private val faultsUntilMillis: Long, private val weightLoadLimit: Int = 2) {
    private val random = Random(seed)
    val clock = VirtualClock()
    private val log = mutableListOf<StoredRecord>()
    private var configuration = configuration(1)
    val engines = (0 until 5).map { SimulatedEngine(TargetId("engine-$it"), checksFencing = it % 2 == 0) }.associateBy { it.id }
    private val instances = List(3) { SimulatedInstance(InstanceId("instance-$it")) }

    /** Holds the largest number of weight loads that were in progress at the same time. */
    var maxConcurrentLoads = 0
        private set
    private val faultsActive: Boolean get() = clock.nanoseconds < faultsUntilMillis * NANOSECONDS_PER_MILLISECOND

    init {
        instances.forEach { it.start() }
        scheduleFault()
    }

    /** Configures [version] of the weights. Each instance learns of it at a different time. */
    fun changeWeights(version: Int) {
        configuration = configuration(version)
    }

    fun runUntilMillis(end: Long) = clock.runUntil(end * NANOSECONDS_PER_MILLISECOND)

    private fun after(millis: Long, action: () -> Unit) = clock.after(millis * NANOSECONDS_PER_MILLISECOND, action)

    private fun scheduleFault(): Unit = after(random.nextLong(400, 3000)) {
        if (!faultsActive) return@after
        val instance = instances.random(random)
        when (random.nextInt(4)) {
            0 -> instance.start()
            1 -> engines.values.random(random).restart()
            else -> instance.pausedUntil = clock.nanoseconds + random.nextLong(10_000) * NANOSECONDS_PER_MILLISECOND
        }
        scheduleFault()
    }

    private fun configuration(version: Int) = Configuration(
        next = LogOffset(version.toLong()),
        models = mapOf(MODEL to Versioned(Model(MODEL, POOL, WeightsVersion("$version")), LogOffset(0))),
        targets = (0 until 5).associate {
            val id = TargetId("engine-$it")
            id to Versioned(Target(id, TargetKind.ENGINE, POOL, "127.0.0.1", 1, ZONE, checksFencing = it % 2 == 0), LogOffset(1))
        },
        plan = Versioned(FleetPlan(concurrentWeightLoads = weightLoadLimit), LogOffset(2)),
    )

    private inner class SimulatedInstance(val id: InstanceId) {
        private var incarnation = 0L
        private lateinit var core: InstanceCore
        var pausedUntil = 0L

        fun start() {
            incarnation++
            val monitor = TargetMonitor(id)
            core = InstanceCore(listOf(monitor, OrderPart(id, InstanceIncarnation(incarnation), monitor)))
            deliver(MembershipChanged(membershipView()))
            deliver(ConfigurationChanged(configuration))
            readLog(incarnation, LogOffset.FIRST)
            scheduleTick(incarnation)
        }

        /** Returns a membership that is sometimes just the instance itself, so that several instances order the same target. */
        private fun membershipView(): Membership {
            val ids = if (faultsActive && random.nextInt(3) == 0) listOf(id) else List(3) { InstanceId("instance-$it") }
            return Membership(id, ids.associateWith { Instance(it, InstanceIncarnation(1), "", "", ZONE) })
        }

        fun deliver(event: CoreEvent): Unit = whenRunning(incarnation) { core.handle(event, clock.now).forEach(::scheduleExecution) }

        private fun whenRunning(expectedIncarnation: Long, action: () -> Unit) {
            if (incarnation != expectedIncarnation) return
            if (clock.nanoseconds >= pausedUntil) return action()
            clock.after(pausedUntil - clock.nanoseconds) { whenRunning(expectedIncarnation, action) }
        }

        private fun scheduleTick(expectedIncarnation: Long): Unit = after(TICK_MILLIS) {
            if (incarnation != expectedIncarnation) return@after
            if (core.nextDeadline.let { it != null && it <= clock.now }) deliver(TimerFired)
            scheduleTick(expectedIncarnation)
        }

        private fun readLog(expectedIncarnation: Long, from: LogOffset) {
            if (incarnation != expectedIncarnation) return
            val records = log.drop(from.number.toInt())
            val next = LogOffset(log.size.toLong())
            val requestedAt = clock.now
            if (random.nextInt(10) == 0) deliver(MembershipChanged(membershipView()))
            if (random.nextInt(10) == 0) deliver(ConfigurationChanged(configuration))
            after(randomDelayMillis()) {
                whenRunning(expectedIncarnation) {
                    deliver(RecordsRead(StreamName.ORDERS, records, next, LogOffset.FIRST, true, requestedAt))
                }
                after(READ_INTERVAL_MILLIS) { whenRunning(expectedIncarnation) { readLog(expectedIncarnation, next) } }
            }
        }

        /** Executes [effect] with a delay, which is long if the instance pauses in between. */
        private fun scheduleExecution(effect: CoreEffect) {
            val expectedIncarnation = incarnation
            clock.after(random.nextLong(5) * NANOSECONDS_PER_MILLISECOND) { whenRunning(expectedIncarnation) { execute(effect) } }
        }

        private fun execute(effect: CoreEffect) {
            when (effect) {
                is AppendRecord -> append(effect)
                is ReadStatus -> readStatus(effect)
                is SendOrder -> sendOrder(effect)
                else -> Unit
            }
        }

        private fun append(effect: AppendRecord) {
            if (faultsActive && random.nextInt(10) == 0) {
                return deliver(AppendUncertain(effect.stream, effect.recordId, certainlyNotAppended = true))
            }
            val lost = faultsActive && random.nextInt(4) == 0
            after(if (lost) random.nextLong(9000) else randomDelayMillis()) {
                val offset = LogOffset(log.size.toLong())
                log += StoredRecord(offset, effect.recordId, effect.record)
                if (!lost) after(randomDelayMillis()) { deliver(AppendAcknowledged(effect.stream, effect.recordId, offset)) }
            }
            if (lost) after(1000) { deliver(AppendUncertain(effect.stream, effect.recordId)) }
        }

        private fun readStatus(effect: ReadStatus) {
            val requestedAt = clock.now
            val engine = engines.getValue(effect.target.id)
            after(randomDelayMillis()) {
                val status = engine.status()
                after(randomDelayMillis()) { deliver(StatusRead(effect.target.id, status, requestedAt)) }
            }
        }

        private fun sendOrder(effect: SendOrder) {
            val fencing = LogOffset(effect.order.fencing)
            val id = effect.target.id
            if (clock.now >= effect.deadline) return deliver(OrderAnswered(id, fencing, OrderOutcome.REFUSED))
            val delayed = faultsActive && random.nextInt(4) == 0
            after(if (delayed) random.nextLong(900, 1990) else randomDelayMillis()) {
                val outcome = engines.getValue(id).accept(effect.order)
                if (!delayed) deliver(OrderAnswered(id, fencing, outcome))
            }
            if (delayed) {
                clock.after((effect.deadline - clock.now).inWholeNanoseconds) {
                    deliver(OrderAnswered(id, fencing, OrderOutcome.UNKNOWN))
                }
            }
        }

        private fun randomDelayMillis(): Long = random.nextLong(1, 40)
    }

    /** Simulates an engine that takes 50 to 600 ms to load weights and records the orders that it accepts. */
    inner class SimulatedEngine(val id: TargetId, private val checksFencing: Boolean) {
        private var incarnation = 1L
        var weights = WeightsVersion("0")
            private set
        private var loading: OrderAction.LoadWeights? = null
        val fencingNumbers = mutableListOf<Long>()
        val weightsVersions = mutableListOf<Int>()

        fun status(): TargetStatus {
            val state = if (loading == null) TargetState.SERVING else TargetState.LOADING
            return TargetStatus(incarnation, state, models = listOf(ServedModel(MODEL, weights)))
        }

        fun restart() {
            incarnation++
            loading = null
            weights = WeightsVersion("0")
        }

        fun accept(order: TargetOrder): OrderOutcome {
            if (checksFencing && order.fencing < (fencingNumbers.maxOrNull() ?: 0)) return OrderOutcome.STALE
            fencingNumbers += order.fencing
            val action = order.action as OrderAction.LoadWeights
            weightsVersions += action.weights.text.toInt()
            if (weights == action.weights || loading == action) return OrderOutcome.DONE
            loading = action
            maxConcurrentLoads = maxOf(maxConcurrentLoads, engines.values.count { it.loading != null })
            val expectedIncarnation = incarnation
            after(random.nextLong(SHORTEST_LOAD_MILLIS, LONGEST_LOAD_MILLIS)) {
                if (incarnation == expectedIncarnation && loading == action) {
                    weights = action.weights
                    loading = null
                }
            }
            return OrderOutcome.DONE
        }
    }
}
