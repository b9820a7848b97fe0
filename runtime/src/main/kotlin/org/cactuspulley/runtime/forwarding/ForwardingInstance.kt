package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.fold
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.cbor.Cbor
import org.cactuspulley.core.forwarding.DirectoryChange
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.forwarding.RolloutSettings
import org.cactuspulley.core.forwarding.WeightRollout
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.TargetId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.metrics.RouterMetrics
import org.cactuspulley.runtime.platform.HostAndPort
import org.cactuspulley.runtime.settings.ForwardingSettings
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What the platform provides, in the product's terms. */
public class PlatformPorts(
    public val callers: CallerProtocol,
    public val targets: TargetProtocol,
    public val store: RecordStore,
    public val records: RecordReader,
    public val control: TargetControl,
)

/**
 * One instance that forwards requests unchanged to the targets of a platform's registry.
 *
 * All its state is confined to one event loop thread, which also carries the traffic: the machines it is
 * made for have less than one core, where a hand-over between threads costs more than it gains.
 */
@OptIn(ExperimentalSerializationApi::class)
public class ForwardingInstance(
    private val settings: ForwardingSettings,
    group: EventLoopGroup,
    private val ports: PlatformPorts,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
) {
    private val loop: EventLoop = group.next()
    private val incarnation = System.currentTimeMillis()
    private val self = FleetMember(
        InstanceId(settings.instance.id),
        InstanceIncarnation(incarnation),
        ZoneName(settings.instance.zone),
        settings.listen.callers,
        settings.listen.peers,
    )
    private val metrics = ForwardingMetrics()
    private val state = ForwardingState(self, settings.bounds, clock.now())
    private val context = ForwardingContext(
        loop,
        clock,
        state,
        ports.targets,
        TargetConnections(loop, clock),
        DecisionLog(metrics),
        LoopDelay(TICK.milliseconds, clock.now()),
        onCrash = { notice -> digests.crashed(notice) },
        tellPeers = { digests.tellAll() },
    )
    private val log = context.log
    private val listener = CallerListener(context, ports.callers)
    private val rollout = WeightRollout(
        self.id,
        state.directory,
        state.weights,
        state.fleet,
        RolloutSettings(lease = settings.bounds.leaseMillis.milliseconds),
    )
    private val driver: RolloutDriver =
        RolloutDriver(context, ClaimRecord(self.id.text, incarnation), rollout, ports.store, ports.control) { digests.tellAll() }
    private val operations = StoreFollower(
        context,
        ports.store,
        StoreTopic.OPERATIONS,
        OperationsListener(),
        longRead = { LongReads.operations(state.fleet.isFirstStoreReader(clock.now())) },
    ) { digests.readsOperations(clock.now()) }
    private val registry = StoreFollower(context, ports.store, StoreTopic.REGISTRY, RegistryListener(), null) { false }
    private val instances = StoreFollower(context, ports.store, StoreTopic.INSTANCES, InstancesListener(), { LongReads.INSTANCES }) {
        state.fleet.isStoreReader(clock.now())
    }
    private val peers = PeerDatagrams(address(settings.listen.peers)) { message ->
        loop.execute { guarded("peer_message_failed") { digests.received(message) } }
    }
    private val digests: DigestExchange =
        DigestExchange(context, self, rollout, operations, registry, { driver.wake() }, peers::send)
    private val cacheStores = CacheStoreWatch(context, ports.control)
    private val channels = mutableListOf<Channel>()
    private val stopped = CompletableFuture<Unit>()

    /** Begins to serve; returns when the sockets are bound. */
    public fun start() {
        channels += listener.bind(address(settings.listen.callers))
        settings.listen.questions.distinct().forEach { channels += bindQuestions(context, address(it), ::answer) }
        registry.onRead = { from, changed -> digests.registryRead(from, changed) }
        operations.onRead = { from, changed -> if (changed.isNotEmpty()) digests.operationsRead(from, changed) }
        loop.execute {
            log.belief("started", "zone" to settings.instance.zone, "callers" to settings.listen.callers, "incarnation" to incarnation)
            listOf(operations, registry, instances).forEach { it.read() }
            announce()
        }
        loop.scheduleAtFixedRate(::tick, TICK, TICK, TimeUnit.MILLISECONDS)
        loop.scheduleAtFixedRate({ guarded { digests.tellAll() } }, DIGEST_PERIOD, DIGEST_PERIOD, TimeUnit.MILLISECONDS)
        loop.scheduleAtFixedRate({ guarded { digests.tellOtherZones() } }, BUNDLE_PERIOD, BUNDLE_PERIOD, TimeUnit.MILLISECONDS)
    }

    private fun announce() {
        val announcement = Announcement(self.id.text, incarnation, self.zone.text, self.callerAddress, self.peerAddress)
        val value = Cbor.encodeToByteArray(Announcement.serializer(), announcement)
        ports.store.append(StoreTopic.INSTANCES, self.id.text, value, null) { result ->
            result.fold(
                success = { offset -> log.belief("announced", "offset" to offset) },
                failure = { failure ->
                    log.belief("announcement_failed", "cause" to failure.toString())
                    context.schedule(ANNOUNCE_RETRY) { announce() }
                },
            )
        }
    }

    private fun tick() = guarded {
        val now = clock.now()
        noteDelay(context.loopDelay.ticked(now))
        listener.sweep()
        context.connections.sweep()
        for (id in state.directory.applyDeferredRemovals(now)) removed(id)
        if (isRegistryDue(now)) registry.read()
        operations.resume()
        instances.resume()
        updateReadiness()
        val since = context.stoppingSince
        if (since != null) stopIfDone(since, now)
    }

    private fun noteDelay(delay: Duration) {
        metrics.loopDelay(delay)
        if (delay > LoopDelay.NOTICEABLE) log.belief("loop_delayed", "millis" to delay.inWholeMilliseconds)
    }

    private fun guarded(event: String = "timer_failed", action: () -> Unit) = try {
        action()
    } catch (failure: Exception) {
        log.belief(event, "reason" to failure.toString())
    }

    /** Live instances read the registry in turn and tell the others; one that hears nothing reads by itself. */
    private fun isRegistryDue(now: MonotonicTime): Boolean {
        val knownAt = digests.registryKnownAt ?: return registry.replica.next != null
        val ids = (state.fleet.live(now).map { it.id.text } + self.id.text).sorted()
        val last = ids.indexOf(digests.lastReader?.text)
        val turn = if (last < 0) ids.indexOf(self.id.text) else Math.floorMod(ids.indexOf(self.id.text) - last - 1, ids.size)
        return now - knownAt >= REGISTRY_PERIOD + REGISTRY_STAGGER * turn
    }

    private fun updateReadiness() {
        val serves = context.stoppingSince == null && state.gate.configuration != null && registry.replica.next != null
        if (serves == state.fleet.selfServes) return
        state.fleet.selfServes = serves
        log.belief(if (serves) "ready" else "not_ready")
        digests.tellAll()
    }

    private fun answer(request: HttpRequest): FullHttpResponse {
        val now = clock.now()
        return when (val question = ports.callers.question(request)) {
            EntryQuestion.Readiness -> ports.callers.readiness(state.fleet.selfServes)
            is EntryQuestion.Addresses -> ports.callers.addresses(state.fleet.callerAddresses(question.zone, now), ADDRESS_LIFETIME)
            EntryQuestion.Metrics -> metricsAnswer()
            null -> DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND)
        }
    }

    private fun metricsAnswer(): FullHttpResponse {
        val answer = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(metrics.text()))
        answer.headers().set(HttpHeaderNames.CONTENT_TYPE, RouterMetrics.CONTENT_TYPE)
        return answer
    }

    /** Leaves: callers are told to go elsewhere, requests are served to their end; completes when the process may end. */
    public fun stop(): CompletionStage<Unit> {
        loop.execute {
            if (context.stoppingSince != null) return@execute
            context.stoppingSince = clock.now()
            log.belief("stopping", "exchanges" to context.exchanges.size)
            updateReadiness()
        }
        return stopped
    }

    private fun stopIfDone(since: MonotonicTime, now: MonotonicTime) {
        val leavingFor = now - since
        if (leavingFor < ADDRESS_LIFETIME * KEPT_LIFETIMES) return
        channels.forEach { it.close() }
        channels.clear()
        listener.closeIdle()
        if (context.exchanges.isNotEmpty() && leavingFor < settings.stop.deadlineMillis.milliseconds) return
        log.belief("stopped", "exchanges" to context.exchanges.size)
        peers.close()
        stopped.complete(Unit)
    }

    private fun removed(id: TargetId) {
        log.belief("target_removed", "target" to id.text)
        context.connections.drop(id)
    }

    private inner class OperationsListener : TopicListener {
        override fun changed(record: KeyedRecord): Boolean {
            val value = record.value ?: return false
            return ports.records.operation(record.key, value).fold(
                success = { change -> apply(change, record.offset) },
                failure = { failure ->
                    log.belief("operator_record_unreadable", "key" to failure.key, "reason" to failure.reason)
                    false
                },
            )
        }

        override fun returned() = Unit

        private fun apply(change: OperatorChange, offset: Long): Boolean {
            val now = clock.now()
            return when (change) {
                is OperatorChange.Configuration -> state.configure(change.configuration, now).also { applied ->
                    log.belief("configuration", "version" to change.configuration.version, "applied" to applied, "offset" to offset)
                    cacheStores.update()
                    updateReadiness()
                }

                is OperatorChange.Weights -> state.weights.record(change.model, change.version, now).also { newer ->
                    log.belief("weights_named", "model" to change.model.text, "version" to change.version, "newest" to newer)
                    driver.wake()
                }

                OperatorChange.Other -> false
            }
        }
    }

    private inner class RegistryListener : TopicListener {
        override fun changed(record: KeyedRecord): Boolean {
            val value = record.value
            val id = TargetId(record.key.removePrefix(ports.records.targetKeyPrefix))
            val change = if (value == null) state.directory.remove(id, clock.now()) else report(record.key, value)
            if (change in SILENT) return false
            log.belief("target_${change.name.lowercase()}", "target" to id.text, "offset" to record.offset)
            if (change == DirectoryChange.REMOVED || change == DirectoryChange.RESTARTED) context.connections.drop(id)
            driver.wake()
            return true
        }

        private fun report(key: String, value: ByteArray): DirectoryChange = ports.records.target(key, value).fold(
            success = { entry -> state.directory.upsert(entry) },
            failure = { failure ->
                log.belief("target_record_unreadable", "key" to failure.key, "reason" to failure.reason)
                DirectoryChange.STALE
            },
        )

        override fun returned() = state.directory.registryRecovered(clock.now())
    }

    private inner class InstancesListener : TopicListener {
        override fun changed(record: KeyedRecord): Boolean {
            val value = record.value ?: return false
            val announcement = try {
                Cbor.decodeFromByteArray(Announcement.serializer(), value)
            } catch (failure: SerializationException) {
                log.belief("announcement_unreadable", "key" to record.key, "reason" to failure.message)
                return false
            }
            state.fleet.recordAnnouncement(
                FleetMember(
                    InstanceId(announcement.id),
                    InstanceIncarnation(announcement.incarnation),
                    ZoneName(announcement.zone),
                    announcement.callerAddress,
                    announcement.peerAddress,
                ),
            )
            context.tellSoon()
            return true
        }

        override fun returned() = Unit
    }

    private companion object {
        /** Period of the timer for sweeps and turns, in milliseconds; a sixth of [REGISTRY_PERIOD]. */
        const val TICK = 100L

        /** Period of digests in milliseconds: a third of the time after which a silent instance is left out. */
        const val DIGEST_PERIOD = 400L

        /** Period in milliseconds at which the speakers of a large fleet's zones tell each other; two digests' time. */
        const val BUNDLE_PERIOD = 800L

        /** How old knowledge of the registry may get: leaving targets must be known within 2 s of their word, way and turn included. */
        val REGISTRY_PERIOD: Duration = 600.milliseconds

        /** Time for the instance whose turn it is to read and tell the others. */
        val REGISTRY_STAGGER: Duration = 150.milliseconds

        /** How long callers may keep an address; short, since a leaving instance waits for all that keep it three times as long. */
        val ADDRESS_LIFETIME: Duration = 1.seconds

        /** Some callers keep an address for three lifetimes. */
        const val KEPT_LIFETIMES = 3

        /** Pause before an announcement that failed is repeated. */
        val ANNOUNCE_RETRY: Duration = 500.milliseconds

        /** Changes that say nothing new. */
        val SILENT = setOf(DirectoryChange.UNCHANGED, DirectoryChange.STALE)

        fun address(text: String): HostAndPort = requireNotNull(HostAndPort.parse(text)) { "settings were not checked: $text" }
    }
}
