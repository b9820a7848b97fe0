package org.cactuspulley.runtime.instance

import io.github.oshai.kotlinlogging.KotlinLogging
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.cactuspulley.core.effect.AnswerWithdrawal
import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.ConfigurationEffect
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.effect.MembershipEffect
import org.cactuspulley.core.effect.Publish
import org.cactuspulley.core.effect.RecordOnTimeline
import org.cactuspulley.core.effect.RequestEffect
import org.cactuspulley.core.effect.SendToPeer
import org.cactuspulley.core.effect.StopCompleted
import org.cactuspulley.core.effect.TargetEffect
import org.cactuspulley.core.effect.UnfollowStream
import org.cactuspulley.core.effect.UpdatePeerAddresses
import org.cactuspulley.core.event.StopRequested
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.instance.CoreAssembly
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.timeline.ProcessStarted
import org.cactuspulley.core.timeline.ProcessStopRequested
import org.cactuspulley.core.timeline.ProcessStopped
import org.cactuspulley.core.timeline.TimelineEntry
import org.cactuspulley.core.timeline.TimelineEvent
import org.cactuspulley.runtime.control.ControlLoop
import org.cactuspulley.runtime.control.MonotonicClock
import org.cactuspulley.runtime.control.reportEndedLoops
import org.cactuspulley.runtime.edge.CallerServer
import org.cactuspulley.runtime.edge.CallerServerSettings
import org.cactuspulley.runtime.edge.TlsSettings
import org.cactuspulley.runtime.metrics.RouterMetrics
import org.cactuspulley.runtime.peer.PeerSecret
import org.cactuspulley.runtime.peer.PeerTransport
import org.cactuspulley.runtime.platform.HostAndPort
import org.cactuspulley.runtime.platform.InstanceListClient
import org.cactuspulley.runtime.platform.LogClient
import org.cactuspulley.runtime.settings.RouterSettings
import org.cactuspulley.runtime.targets.TargetControlClient
import org.cactuspulley.runtime.timeline.TimelineRecorder
import org.cactuspulley.runtime.upstream.TargetClient
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CompletionStage
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration.Companion.milliseconds

private val logger = KotlinLogging.logger {}

/**
 * One complete instance of the router. It connects the core with sockets, timers and the clients of the platform.
 *
 * The incarnation of the instance is the wall-clock time of its start, so that a later start at the
 * same address has a higher incarnation.
 */
public class Router(private val settings: RouterSettings, private val clock: MonotonicClock = MonotonicClock.SYSTEM) : AutoCloseable {
    private val id = InstanceId(settings.instance.id)
    private val zone = ZoneName(settings.instance.zone)
    private val incarnation = InstanceIncarnation(System.currentTimeMillis())
    private val timeline = TimelineRecorder(id.text)
    private val metrics = RouterMetrics()
    private val peerSecret = PeerSecret(settings.peers.secret)
    private val eventRelay = EventRelay()
    private val eventLoops = MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory())
    private val endpoints = RouterEndpoints(peerSecret, timeline, metrics)
    private val requestNumbers = AtomicLong()
    private val stopped = CompletableFuture<Unit>()
    private val closed = AtomicBoolean()

    private val callerServer = CallerServer(
        settings = callerSettings(),
        eventLoops = eventLoops,
        localEndpoints = endpoints,
        targetClient = TargetClient(clock = clock),
        submit = eventRelay::submit,
        nextRequestId = { RequestId("${id.text}-${incarnation.number}-${requestNumbers.incrementAndGet()}") },
        clock = clock,
    )
    private val peerTransport = PeerTransport(id, HostAndPort(settings.peers.host, settings.peers.port), peerSecret, eventRelay::submit)
    private val logClient = LogClient(parseAddresses(settings.platform.log), eventLoops, clock, submit = eventRelay::submit)
    private val instanceList = InstanceListClient(parseAddresses(settings.platform.list), eventLoops, clock, submit = eventRelay::submit)
    private val targetControl = TargetControlClient(eventLoops, clock, eventRelay::submit)
    private lateinit var assembly: CoreAssembly
    private lateinit var loop: ControlLoop

    /** The host and port that are advertised to callers; available once [start] has returned. */
    public lateinit var address: String
        private set

    /** Starts the instance; returns when the sockets are bound. */
    public fun start() {
        eventLoops.reportEndedLoops(closed::get)
        callerServer.start()
        address = settings.listen.advertised ?: "${settings.listen.host}:${callerServer.address.port}"
        val peerAddress = settings.peers.advertised ?: "${settings.peers.host}:${peerTransport.port}"
        val self = Instance(id, incarnation, address, peerAddress, zone)
        assembly = CoreAssembly(self, settings.toCoreSettings(), settings.peers.seeds.mapNotNull(::parseSeed))
        loop = ControlLoop(id.text, assembly.core, ::execute, clock)
        endpoints.connect(assembly, loop)
        eventRelay.connect(loop)
        loop.submit(TimerFired)
        record(ProcessStarted(address, zone.text))
        logger.info { "instance $id is serving callers at $address" }
    }

    /**
     * Starts a graceful stop. The result completes when the last request has ended or the stop deadline has passed;
     * no request is aborted before that.
     */
    public fun stop(): CompletionStage<Unit> {
        record(ProcessStopRequested)
        logger.info { "instance $id is stopping gracefully" }
        loop.submit(StopRequested(clock.now() + settings.stop.deadlineMillis.milliseconds))
        return stopped
    }

    /** Returns the most recent timeline entries of this instance, the oldest first. */
    public fun timelineEntries(): List<TimelineEntry> = timeline.snapshot()

    private fun execute(effect: CoreEffect) {
        when (effect) {
            is RecordOnTimeline -> record(effect.event)
            is RequestEffect -> executeRequestEffect(effect)
            is SendToPeer, is UpdatePeerAddresses -> peerTransport.execute(effect)
            is AppendRecord, is FollowStream, is UnfollowStream -> logClient.execute(effect)
            is MembershipEffect -> instanceList.execute(effect)
            is TargetEffect -> targetControl.execute(effect)
            is ConfigurationEffect -> executeConfigurationEffect(effect)
            is Publish -> Unit
        }
    }

    private fun executeRequestEffect(effect: RequestEffect) {
        callerServer.execute(effect)
        if (effect == StopCompleted) {
            record(ProcessStopped(requestsCut = assembly.requests.activeRequests))
            eventLoops.schedule({ stopped.complete(Unit) }, FINAL_RESPONSE_GRACE_MILLIS, TimeUnit.MILLISECONDS)
        }
    }

    private fun executeConfigurationEffect(effect: ConfigurationEffect) {
        when (effect) {
            is AnswerWithdrawal -> endpoints.completeWithdrawal(effect)
        }
    }

    private fun record(event: TimelineEvent) {
        timeline.record(event)
        metrics.count(event)
    }

    private fun callerSettings() = CallerServerSettings(
        host = settings.listen.host,
        port = settings.listen.port,
        maximumBodyBytes = settings.limits.bodyBytes,
        maximumHeaderBytes = settings.limits.headerBytes,
        maximumConnections = settings.limits.connections,
        tls = settings.tls?.let { TlsSettings(Path.of(it.certificate), Path.of(it.key)) },
    )

    /** Closes the instance immediately, as a crash would; active requests are aborted. */
    override fun close() {
        if (!closed.compareAndSet(false, true)) return
        if (::loop.isInitialized) loop.close()
        callerServer.close()
        peerTransport.close()
        logClient.close()
        instanceList.close()
        targetControl.close()
        eventLoops.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
    }

    private companion object {
        const val EVENT_LOOP_THREADS = 2
        const val SHUTDOWN_TIMEOUT_MILLIS = 1_000L

        /** How long the process waits after the last request for its response to be written. */
        const val FINAL_RESPONSE_GRACE_MILLIS = 50L

        fun parseAddresses(texts: List<String>): List<HostAndPort> = texts.mapNotNull(HostAndPort::parse)

        /**
         * Parses a seed of the form `id@zone=host:port`; returns null if [text] has another form. The incarnation
         * and the caller address of the instance are unknown until its first message arrives.
         */
        fun parseSeed(text: String): Instance? {
            val match = Regex("([^@]+)@([^=]+)=(.+)").matchEntire(text) ?: return null
            val (id, zone, address) = match.destructured
            return Instance(InstanceId(id), InstanceIncarnation(0), address = "", peerAddress = address, zone = ZoneName(zone))
        }
    }
}
