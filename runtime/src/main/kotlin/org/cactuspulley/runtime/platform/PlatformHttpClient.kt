package org.cactuspulley.runtime.platform

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.bootstrap.Bootstrap
import io.netty.buffer.ByteBufUtil
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.runtime.control.MonotonicClock
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * An HTTP request to a platform service or a target. [timeout] starts when the request is written.
 *
 * @property usesOwnConnection whether the request is sent on a new connection, which is closed after the response. A service that may
 *     repeat a response late, when the next one is due, needs it: responses name no request.
 * @property expiry when the request has to be sent and to arrive; null if that may happen at any time.
 */
public class PlatformRequest(
    public val method: HttpMethod,
    public val path: String,
    public val body: ByteArray = ByteArray(0),
    public val headers: Map<String, String> = emptyMap(),
    public val timeout: Duration = DEFAULT_TIMEOUT,
    public val usesOwnConnection: Boolean = false,
    public val expiry: RequestExpiry? = null,
) {
    private companion object {
        val DEFAULT_TIMEOUT = 2_000.milliseconds
    }
}

/**
 * The limits of a request that must not take effect late.
 *
 * @property sendDeadline the time from which on the request is not sent.
 * @property arrivalDeadline the time at which the connection is reset, so that what is still on its way does not arrive.
 */
public data class RequestExpiry(val sendDeadline: MonotonicTime, val arrivalDeadline: MonotonicTime)

/** A complete HTTP response. */
public class PlatformResponse(
    public val status: Int,
    public val body: ByteArray,
    public val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE,
)

/** Describes why a request has no response. */
public sealed interface PlatformRequestFailure {
    /** The request was not sent. */
    public data class NotSent(val reason: String) : PlatformRequestFailure

    /** The request was or may have been sent, so it may have taken effect. */
    public data class Unanswered(val reason: String) : PlatformRequestFailure
}

/**
 * A non-blocking HTTP/1.1 client for platform services. Idle connections are pooled and reused, except those of requests that use
 * their own. A request that times out closes its connection.
 *
 * @param maximumResponseBytes the maximum size of a response. A request whose response is larger fails.
 */
public class PlatformHttpClient(
    private val group: EventLoopGroup,
    private val connectTimeout: Duration = 500.milliseconds,
    private val maximumResponseBytes: Int = DEFAULT_MAX_RESPONSE_BYTES,
    private val clock: MonotonicClock = MonotonicClock.SYSTEM,
    private val wallClockMillis: () -> Long = System::currentTimeMillis,
) : AutoCloseable {
    private val idleChannels = ConcurrentHashMap<HostAndPort, ConcurrentLinkedDeque<Channel>>()
    private val isClosed = AtomicBoolean()

    /** Sends [request] to [address]. [onResult] is called once, on a thread of the event loop group unless the client is closed. */
    public fun send(address: HostAndPort, request: PlatformRequest, onResult: (Result<PlatformResponse, PlatformRequestFailure>) -> Unit) {
        if (isClosed.get()) return onResult(Err(PlatformRequestFailure.NotSent("closed")))
        val pending = PendingRequest(address, request, clock.now(), wallClockMillis(), onResult)
        val idleChannel = if (request.usesOwnConnection) null else takeIdleChannel(address)
        // The service, or bytes that belong to no request, may have closed a pooled connection before the request is written.
        if (idleChannel != null) write(idleChannel, pending, ifClosed = { connectAndWrite(pending) }) else connectAndWrite(pending)
    }

    private fun connectAndWrite(pending: PendingRequest) {
        val connection = try {
            connect(pending.address)
        } catch (failure: IllegalArgumentException) {
            return pending.finish(Err(PlatformRequestFailure.NotSent("${failure.message}")))
        }
        connection.addListener { future ->
            val channel = (future as ChannelFuture).channel()
            if (future.isSuccess) {
                write(channel, pending, ifClosed = { pending.finish(Err(PlatformRequestFailure.NotSent("connection closed"))) })
            } else {
                pending.finish(Err(PlatformRequestFailure.NotSent("${future.cause().message}")))
            }
        }
    }

    private fun takeIdleChannel(address: HostAndPort): Channel? {
        val channels = idleChannels[address] ?: return null
        while (true) {
            val channel = channels.pollFirst() ?: return null
            if (channel.isActive) return channel
        }
    }

    private fun connect(address: HostAndPort): ChannelFuture = Bootstrap()
        .group(group)
        .channel(NioSocketChannel::class.java)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeout.inWholeMilliseconds.toInt())
        .option(ChannelOption.TCP_NODELAY, true)
        .handler(PipelineInitializer(maximumResponseBytes))
        .connect(address.host, address.port)

    private fun write(channel: Channel, pending: PendingRequest, ifClosed: () -> Unit) {
        channel.eventLoop().execute {
            val handler = channel.pipeline().get(ResponseHandler::class.java)
            if (handler == null || !channel.isActive) return@execute ifClosed()
            val now = clock.now()
            val expiry = pending.request.expiry
            if (expiry != null && (now >= expiry.sendDeadline || pending.wasSuspended(now, wallClockMillis()))) {
                channel.close()
                return@execute pending.finish(Err(PlatformRequestFailure.NotSent("its deadline has passed")))
            }
            val timeout = expiry?.let { minOf(pending.request.timeout, it.arrivalDeadline - now) } ?: pending.request.timeout
            handler.pending = pending
            handler.release = { if (pending.request.usesOwnConnection) channel.close() else returnToPool(pending.address, channel) }
            val timer = channel.eventLoop().schedule(
                {
                    pending.finish(Err(PlatformRequestFailure.Unanswered("no answer in $timeout")))
                    // Closing without a reset would still deliver what a broken link has held up.
                    if (expiry != null) channel.config().setOption(ChannelOption.SO_LINGER, 0)
                    channel.close()
                },
                timeout.inWholeMilliseconds,
                TimeUnit.MILLISECONDS,
            )
            pending.onFinish = { timer.cancel(false) }
            channel.writeAndFlush(httpRequestOf(pending))
        }
    }

    private fun httpRequestOf(pending: PendingRequest): DefaultFullHttpRequest {
        val request = pending.request
        val httpRequest = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, request.method, request.path, Unpooled.wrappedBuffer(request.body))
        httpRequest.headers().set(HttpHeaderNames.HOST, pending.address.toString())
        request.headers.forEach { (name, value) -> httpRequest.headers().set(name, value) }
        HttpUtil.setContentLength(httpRequest, request.body.size.toLong())
        if (request.usesOwnConnection) HttpUtil.setKeepAlive(httpRequest, false)
        return httpRequest
    }

    private fun returnToPool(address: HostAndPort, channel: Channel) {
        val channels = idleChannels.computeIfAbsent(address) { ConcurrentLinkedDeque() }
        if (isClosed.get() || channels.size >= MAX_IDLE_CONNECTIONS_PER_ADDRESS) channel.close() else channels.addFirst(channel)
    }

    override fun close() {
        isClosed.set(true)
        idleChannels.values.forEach { channels -> channels.forEach { it.close() } }
    }

    private class PipelineInitializer(private val maximumResponseBytes: Int) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            val handler = ResponseHandler()
            val decoder = ExpectedResponseDecoder(config = untrailedDecoderConfig()) { handler.pending != null }
            channel.pipeline().addLast(HttpRequestEncoder(), decoder, HttpObjectAggregator(maximumResponseBytes), handler)
        }
    }

    private companion object {
        const val MAX_IDLE_CONNECTIONS_PER_ADDRESS = 8
        const val DEFAULT_MAX_RESPONSE_BYTES = 64 * 1024 * 1024
    }
}

/** A request that waits for its response. Only the first call of [finish] reports a result. */
private class PendingRequest(
    val address: HostAndPort,
    val request: PlatformRequest,
    private val createdAt: MonotonicTime,
    private val createdAtMillis: Long,
    private val onResult: (Result<PlatformResponse, PlatformRequestFailure>) -> Unit,
) {
    private val isFinished = AtomicBoolean()
    var onFinish: () -> Unit = {}

    /** Whether the wall clock has gone on without the monotonic clock, as while the machine is suspended, or was set. */
    fun wasSuspended(now: MonotonicTime, nowMillis: Long): Boolean {
        val difference = (nowMillis - createdAtMillis).milliseconds - (now - createdAt)
        return difference.absoluteValue > MAX_CLOCK_DIFFERENCE
    }

    fun finish(result: Result<PlatformResponse, PlatformRequestFailure>) {
        if (!isFinished.compareAndSet(false, true)) return
        onFinish()
        onResult(result)
    }

    private companion object {
        /** The clocks are read one after the other, and the wall clock is adjusted slightly. */
        val MAX_CLOCK_DIFFERENCE = 50.milliseconds
    }
}

/** Passes each response on one connection to [pending], the request that was written to the connection. */
private class ResponseHandler : SimpleChannelInboundHandler<FullHttpResponse>() {
    var pending: PendingRequest? = null
    var release: () -> Unit = {}

    /** The informational responses since the last final one. */
    private var informationalResponses = 0

    override fun channelRead0(context: ChannelHandlerContext, response: FullHttpResponse) {
        val completed = pending ?: return
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            if (++informationalResponses > MAX_INFORMATIONAL_RESPONSES) context.close()
            return
        }
        informationalResponses = 0
        pending = null
        val platformResponse = PlatformResponse(response.status().code(), ByteBufUtil.getBytes(response.content()), response.headers())
        if (HttpUtil.isKeepAlive(response)) release() else context.close()
        completed.finish(Ok(platformResponse))
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pending?.finish(Err(PlatformRequestFailure.Unanswered("connection closed")))
    }

    @Deprecated("Overrides a deprecated Netty method that has no replacement.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        pending?.finish(Err(PlatformRequestFailure.Unanswered("${cause.message}")))
        context.close()
    }

    private companion object {
        /** No request asks for informational responses, of which a response usually has one at most. */
        const val MAX_INFORMATIONAL_RESPONSES = 8
    }
}
