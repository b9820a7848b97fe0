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
import org.cactuspulley.core.forwarding.FleetMember
import org.cactuspulley.core.forwarding.OrderLease
import org.cactuspulley.core.forwarding.RolloutSettings
import org.cactuspulley.core.forwarding.WeightRollout
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.rollout.ReleaseController
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.http.DescriptorBudget
import org.cactuspulley.runtime.metrics.RouterMetrics
import org.cactuspulley.runtime.platform.HostAndPort
import org.cactuspulley.runtime.settings.ForwardingSettings
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * The ports through which an instance uses the platform; an adapter for the platform implements them.
 *
 * @property callers the HTTP messages of callers.
 * @property targets the HTTP messages to and from targets.
 * @property store the platform's log.
 * @property records the format of operators' and targets' records in the log.
 * @property control the calls to targets that are not requests of callers.
 */
public class PlatformPorts(
    public val callers: CallerProtocol,
    public val targets: TargetProtocol,
    public val store: RecordStore,
    public val records: RecordDecoder,
    public val control: TargetControl,
)

/**
 * An instance that forwards requests unchanged to the targets in a platform's registry.
 *
 * [requestMemoryBytes] bounds the memory of all requests that it holds; requests beyond it are refused as not run.
 *
 * All its state is confined to one event loop thread, which also handles the traffic: instances run on less than one processor
 * core, where a handover between threads costs more than it gains.
 */
@OptIn(ExperimentalSerializationApi::class)
public class ForwardingInstance(
    private val settings: ForwardingSettings,
    group: EventLoopGroup,
    private val ports: PlatformPorts,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    requestMemoryBytes: Long = Runtime.getRuntime().maxMemory() / REQUEST_MEMORY_DIVISOR,
) {
    private val loop: EventLoop = group.next()
    private val incarnation = System.currentTimeMillis()
    private val self = FleetMember(
        InstanceId(settings.instance.id),
        InstanceIncarnation(incarnation),
        ZoneName(settings.instance.zone),
        settings.listen.callers,
        settings.listen.peers,
        settings.link.megabitsPerSecond,
    )
    private val metrics = ForwardingMetrics()
    private val log = DecisionLog(metrics)
    private val state = ForwardingState(self, settings.bounds, clock.now(), routing = settings.routing)
    private val context: ForwardingContext = ForwardingContext(
        loop,
        clock,
        state,
        ports.targets,
        TargetConnectionPool(loop, clock, TcpTargetConnector(loop, log::unexpectedBytes) { context.responseMemory.Share() }),
        log,
        LoopDelayMonitor(TICK_MILLIS.milliseconds, clock.now()),
        sendDigests = { digests.sendDigests() },
        sendToAll = { digests.sendToAll() },
        requestMemoryBytes = requestMemoryBytes,
    )
    private val descriptors = DescriptorBudget.ofProcess()
    private val listener = CallerListener(context, ports.callers, descriptors.callers)
    private val rolloutSettings = RolloutSettings(
        lease = settings.bounds.leaseMillis.milliseconds,
        startLimit = settings.bounds.startLimitMillis.milliseconds,
    )

    /** The right to issue orders to targets and to decide on releases. */
    private val lease = OrderLease(self.id, state.fleet, rolloutSettings)
    private val queries = QueryListener(context, descriptors.queries, ::respondToQuery)
    private val rollout = WeightRollout(
        self.id,
        state.directory,
        state.desiredWeights,
        state.fleet,
        state.serviceTimes,
        rolloutSettings,
        lease,
    )
    private val rolloutDriver: RolloutDriver =
        RolloutDriver(context, ClaimRecord(self.id.text, incarnation, address = self.peerAddress), rollout, ports.store, ports.control)
    private val operations = StoreFollower(
        context,
        ports.store,
        StoreTopic.OPERATIONS,
        OperationsListener(),
        longReadWait = { LongReadWaits.operations(state.fleet.isFirstStoreReader(clock.now())) },
    ) { digests.shouldReadOperations(clock.now()) }
    private val releaseDriver = ReleaseDriver(
        context,
        ReleaseController(state.releases, state.serviceTimes, state.releaseSettings),
        lease,
        rolloutDriver,
        ports.store,
        operations,
    )
    private val registry: TargetRegistry = TargetRegistry(context, ports.store, ports.records) { rolloutDriver.advance() }
    private val instances = StoreFollower(
        context,
        ports.store,
        StoreTopic.INSTANCES,
        InstancesListener(),
        longReadWait = { LongReadWaits.INSTANCES },
        pause = LongReadWaits.INSTANCES_PAUSE,
    ) { state.fleet.isStoreReader(clock.now()) }
    private val digests: DigestExchange =
        DigestExchange(context, self, rollout, operations, registry, { rolloutDriver.advance() }) { message, recipients ->
            peers.send(message, recipients)
        }
    private val cacheStores = CacheStoreMonitor(context, ports.control)
    private val channels = mutableListOf<Channel>()

    /** The era of the store in which this instance was last announced; null while its announcement is being written. */
    private var announcedEra: Long? = null
    private val stopped = CompletableFuture<Unit>()

    // The last property, because messages may arrive as soon as it is set.
    private val peers: DigestTransport = DigestTransport(parseAddress(settings.listen.peers), loop) { message ->
        runSafely("peer_message_failed") { digests.receive(message) }
    }

    /** Starts the instance; returns when the sockets are bound. */
    public fun start() {
        channels += listener.bind(parseAddress(settings.listen.callers))
        digests.onStorePosition = releaseDriver::recordPeerPosition
        registry.onRead = { from, changed ->
            digests.registryWasRead(from, changed)
            releaseDriver.advance()
        }
        operations.onRead = { from, changed ->
            if (changed.isNotEmpty()) digests.operationsWereRead(from, changed)
            releaseDriver.advance()
        }
        settings.listen.questions.distinct().forEach { channels += queries.bind(parseAddress(it)) }
        context.storeEra.onRise(::announceIfLost)
        ports.store.observeEras(context.storeEra::recordAnswer)
        instances.onRead = { _, _ -> announcementsWereRead() }
        loop.execute {
            context.quarantine.awaitPeers(clock.now() + START_TIMEOUT)
            log.event("started", "zone" to settings.instance.zone, "callers" to settings.listen.callers, "incarnation" to incarnation)
            log.event("connections_limited", "callers" to descriptors.callers, "queries" to descriptors.queries)
            registry.read()
            operations.read()
            announce()
        }
        loop.scheduleAtFixedRate(::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS)
        loop.scheduleAtFixedRate({ runSafely { digests.sendDigests() } }, DIGEST_PERIOD_MILLIS, DIGEST_PERIOD_MILLIS, TimeUnit.MILLISECONDS)
        loop.scheduleAtFixedRate(
            { runSafely { digests.sendZoneBundle() } },
            BUNDLE_PERIOD_MILLIS,
            BUNDLE_PERIOD_MILLIS,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Announces this instance again if the store was restored from a copy, which may lack its announcement. */
    private fun announceIfLost() {
        val writtenIn = announcedEra ?: return
        if (writtenIn < context.storeEra.current) announce()
    }

    /**
     * Announces this instance and then reads the announcements of others: of two instances that start together, at least one then
     * learns of the other from the store.
     */
    private fun announce() {
        announcedEra = null
        val announcement = Announcement(self.id.text, incarnation, self.zone.text, self.callerAddress, self.peerAddress, self.linkMegabits)
        val value = Cbor.encodeToByteArray(Announcement.serializer(), announcement)
        ports.store.append(StoreTopic.INSTANCES, self.id.text, value, null) { result ->
            result.fold(
                success = { appended ->
                    log.event("announced", "offset" to appended.offset, "era" to appended.era)
                    context.storeEra.recordAnswer(StoreTopic.INSTANCES, appended.era)
                    announcedEra = appended.era
                    announceIfLost()
                },
                failure = { failure ->
                    log.event("announcement_failed", "cause" to failure.toString())
                    context.schedule(ANNOUNCE_RETRY_DELAY) { announce() }
                },
            )
            instances.read()
        }
    }

    /** Asks the peers, whose addresses are known now, what the fleet holds back. */
    private fun announcementsWereRead() {
        val now = clock.now()
        if (!context.quarantine.isAwaitingPeers(now)) return
        context.quarantine.peersKnown(isAlone = state.fleet.known.isEmpty(), now)
        digests.sendDigests()
        updateReadiness()
    }

    private fun tick() = runSafely {
        val now = clock.now()
        if (context.quarantine.isAwaitingPeers(now)) digests.sendDigests()
        recordDelay(context.loopDelay.recordTick(now))
        listener.sweep()
        queries.sweep()
        context.connections.sweep()
        context.quarantine.expire(now)
        registry.advance(now)
        operations.resume()
        instances.resume()
        releaseDriver.advance()
        updateReadiness()
        state.zoneBalance?.drainShareChanges()?.forEach(log::zoneShare)
        if (state.targetSpeeds != null) reportSpeeds(now)
        if (context.loopDelay.isDelayed(now)) {
            context.afterNextRead { runSafely { withdrawOutdatedAttempts() } }
        } else {
            withdrawOutdatedAttempts()
        }
        context.plannedStop?.let { stopIfDone(it, now) }
    }

    private fun reportSpeeds(now: MonotonicTime) {
        state.directory.all.forEach { target ->
            target.speed.drainChange(now)?.let { log.event("target_speed", "target" to target.id.text, "slowdown" to it) }
        }
        state.directory.all.groupBy { it.entry.pool }.forEach { (pool, targets) ->
            metrics.slowTargets(pool.text, targets.count { it.speed.isSlow(now) })
        }
    }

    /** Withdraws the requests that wait at targets whose weights are too old to begin on. */
    private fun withdrawOutdatedAttempts() {
        val now = clock.now()
        for (desired in state.desiredWeights.all) {
            val minimum = state.desiredWeights.minimum(desired.model, state.weightsLimits.withdrawalLimit, now) ?: continue
            context.exchanges.toList().forEach { it.withdrawIfOutdated(desired.model, minimum) }
        }
    }

    private fun recordDelay(delay: Duration) {
        metrics.loopDelay(delay)
        if (delay > LoopDelayMonitor.THRESHOLD) log.event("loop_delayed", "millis" to delay.inWholeMilliseconds)
    }

    private fun runSafely(event: String = "timer_failed", action: () -> Unit) = try {
        action()
    } catch (failure: Exception) {
        log.event(event, "reason" to failure.toString())
    } catch (failure: StackOverflowError) {
        // An error that a periodic task throws would end all its later runs.
        log.event(event, "reason" to failure.toString())
    }

    private fun updateReadiness() {
        val knowsFleet = !context.quarantine.isAwaitingPeers(clock.now())
        val serves = context.plannedStop == null && state.authorizer.configuration != null && registry.replica.wasRead && knowsFleet
        if (serves == state.fleet.selfServes) return
        state.fleet.selfServes = serves
        log.event(if (serves) "ready" else "not_ready")
        digests.sendDigests()
    }

    private fun respondToQuery(request: HttpRequest): FullHttpResponse {
        val now = clock.now()
        return when (val query = ports.callers.query(request)) {
            InstanceQuery.Readiness -> ports.callers.readiness(state.fleet.selfServes)
            is InstanceQuery.Addresses -> ports.callers.addresses(callerAddresses(query, now), ADDRESS_LIFETIME)
            InstanceQuery.Metrics -> metricsResponse()
            null -> DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.NOT_FOUND)
        }
    }

    /** Returns the addresses for callers; this instance knows only of its own zone whether it is short of capacity. */
    private fun callerAddresses(query: InstanceQuery.Addresses, now: MonotonicTime): List<String> {
        val zoneSuffices = state.zoneBalance?.let { query.zone != self.zone || it.hasCapacity(now) } ?: false
        return state.fleet.callerAddresses(query.zone, now, zoneSuffices)
    }

    private fun metricsResponse(): FullHttpResponse {
        val now = clock.now()
        metrics.waiting(context.waiting.size)
        if (state.capacity.isEnabled) state.selector.occupancy(now).forEach { (pool, occupancy) -> metrics.occupied(pool.text, occupancy) }
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK, Unpooled.wrappedBuffer(metrics.text()))
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, RouterMetrics.CONTENT_TYPE)
        return response
    }

    /** Shuts down gracefully: redirects callers to other instances and serves pending requests; completes when the process may exit. */
    public fun stop(): CompletionStage<Unit> {
        loop.execute {
            if (context.plannedStop != null) return@execute
            val now = clock.now()
            context.plannedStop = PlannedStop(now, now + settings.stop.deadlineMillis.milliseconds)
            log.event("stopping", "exchanges" to context.exchanges.size)
            updateReadiness()
        }
        return stopped
    }

    private fun stopIfDone(stop: PlannedStop, now: MonotonicTime) {
        if (now - stop.startedAt < ADDRESS_LIFETIME * MAX_KEPT_LIFETIMES) return
        channels.forEach { it.close() }
        channels.clear()
        listener.closeIdle()
        if (now >= stop.endsAt) endExchanges()
        // A connection is closed when its caller has received the response.
        if (!listener.hasNoConnections && now < stop.exitAt) return
        log.event("stopped")
        peers.close()
        stopped.complete(Unit)
    }

    private fun endExchanges() {
        if (context.exchanges.isNotEmpty()) log.event("exchanges_ended", "exchanges" to context.exchanges.size)
        context.exchanges.toList().forEach { it.endForShutdown() }
    }

    private inner class OperationsListener : TopicListener {
        override fun recordChanged(record: KeyedRecord): Boolean {
            val value = record.value ?: return false
            return ports.records.operation(record.key, value).fold(
                success = { change -> apply(change, record.offset) },
                failure = { failure ->
                    log.event("operator_record_unreadable", "key" to failure.key, "reason" to failure.reason)
                    false
                },
            )
        }

        private fun apply(change: OperatorChange, offset: Long): Boolean {
            val now = clock.now()
            return when (change) {
                is OperatorChange.Configuration -> state.configure(change.configuration, now).also { applied ->
                    state.authorizer.configuration?.let { metrics.configured(it.version) }
                    log.event("configuration", "version" to change.configuration.version, "applied" to applied, "offset" to offset)
                    cacheStores.update()
                    updateReadiness()
                }

                is OperatorChange.Weights -> recordWeights(change, now)

                is OperatorChange.Release -> {
                    releaseDriver.recordOrder(change, operations.replica.era, offset)
                    true
                }

                OperatorChange.Other -> false
            }
        }

        /**
         * Records named weights. A version in the first read of the topic may have been named long before, and one that is read after a
         * pause of this process at any time during the pause.
         */
        private fun recordWeights(change: OperatorChange.Weights, now: MonotonicTime): Boolean {
            val isFirstRead = !operations.replica.wasRead
            val earliest = context.loopDelay.earliestOrigin(now)
            val isAgeKnown = !isFirstRead && earliest == now
            val namedAt = if (isFirstRead) minOf(earliest, now - state.weightsLimits.assumedAge) else earliest
            val isNewest = state.desiredWeights.record(change.model, change.version, namedAt, isAgeKnown)
            state.directory.weightsNamed(change.model, change.version)
            log.event(
                "weights_named",
                "model" to change.model.text,
                "version" to change.version,
                "newest" to isNewest,
                "ageKnown" to isAgeKnown,
            )
            rolloutDriver.advance()
            return isNewest
        }
    }

    private inner class InstancesListener : TopicListener {
        override fun recordChanged(record: KeyedRecord): Boolean {
            val value = record.value ?: return false
            val announcement = try {
                Cbor.decodeUntrusted(Announcement.serializer(), value)
            } catch (failure: SerializationException) {
                log.event("announcement_unreadable", "key" to record.key, "reason" to failure.message)
                return false
            }
            state.fleet.recordAnnouncement(
                FleetMember(
                    InstanceId(announcement.id),
                    InstanceIncarnation(announcement.incarnation),
                    ZoneName(announcement.zone),
                    announcement.callerAddress,
                    announcement.peerAddress,
                    announcement.linkMegabits,
                ),
            )
            if (state.fleet.isAnnounced) metrics.fleetKnown(state.fleet.size)
            context.scheduleDigest()
            return true
        }
    }

    private companion object {
        /** The part of the heap that requests may hold; the rest is for the state of the instance and for copies of a request. */
        const val REQUEST_MEMORY_DIVISOR = 4

        /** The period in milliseconds of the timer for timeouts and registry reads. */
        const val TICK_MILLIS = 100L

        /** The period of digests in milliseconds; a third of the time after which an instance that sends none is considered down. */
        const val DIGEST_PERIOD_MILLIS = 400L

        /** The period in milliseconds at which the relays of a large fleet exchange bundles; two digest periods. */
        const val BUNDLE_PERIOD_MILLIS = 800L

        /** How long callers may cache an address. It is short, because an instance that shuts down waits for [MAX_KEPT_LIFETIMES] of it. */
        val ADDRESS_LIFETIME: Duration = 1.seconds

        /** The number of lifetimes for which some callers cache an address. */
        const val MAX_KEPT_LIFETIMES = 3

        /** The time after its start in which an instance reads the announcements, unless the store fails. */
        val START_TIMEOUT: Duration = 2.seconds

        /** The delay before a failed announcement is retried. */
        val ANNOUNCE_RETRY_DELAY: Duration = 500.milliseconds

        fun parseAddress(text: String): HostAndPort = requireNotNull(HostAndPort.parse(text)) { "Invalid address in the settings: $text" }
    }
}
