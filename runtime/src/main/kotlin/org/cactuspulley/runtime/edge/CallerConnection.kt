package org.cactuspulley.runtime.edge

import com.github.michaelbull.result.fold
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import io.netty.util.ReferenceCountUtil
import org.cactuspulley.core.event.RequestAbandoned
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.core.requests.Refusal
import org.cactuspulley.core.requests.RefusalKind
import org.cactuspulley.runtime.http.BufferMemory
import org.cactuspulley.runtime.http.CallerRequestDecoder
import org.cactuspulley.runtime.http.ClientConnection
import org.cactuspulley.runtime.http.CollectedPart
import org.cactuspulley.runtime.http.CollectedRequest
import org.cactuspulley.runtime.http.ConnectionLimit
import org.cactuspulley.runtime.http.InvalidRequest
import org.cactuspulley.runtime.http.RequestCollector
import org.cactuspulley.runtime.http.writeContinueIfExpected
import java.util.concurrent.CompletionStage
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

/** The functions and state of the server that its connections use. */
internal interface CallerConnectionContext {
    val exchangeContext: ExchangeContext
    val endpoints: LocalEndpoints
    val requestParser: CallerRequestParser
    val settings: CallerServerSettings

    /** The memory of the requests of all connections, which are held until they have their responses. */
    val requestMemory: BufferMemory

    /** The limit of the open connections. */
    val connectionLimit: ConnectionLimit

    /** Returns the id of the next request. */
    fun nextRequestId(): RequestId

    /** Registers [exchange] and submits its request to the control thread. */
    fun startExchange(request: CallerRequest, exchange: CallerExchange)
}

/** Serves the requests of one connection sequentially. Pipelined requests wait for the preceding response. */
internal class CallerConnection(private val server: CallerConnectionContext) :
    ChannelInboundHandlerAdapter(),
    ClientConnection {
    private lateinit var connectionContext: ChannelHandlerContext
    private val memory = server.requestMemory.Share(this)
    private val collector = RequestCollector({ server.settings.maximumBodyBytes }, ::recordMemory)
    private val pipelinedRequests = ArrayDeque<CollectedRequest>()

    @Volatile
    private var activeExchange: CallerExchange? = null
    private var activeRequestId: RequestId? = null

    /** The size of the request whose response is outstanding. */
    private var activeBytes = 0L

    @Volatile
    private var respondingLocally = false

    @Volatile
    private var closing = false

    /** Why the request after the ones that are being served is refused; null if it is not. */
    @Volatile
    private var pendingRefusal: RefusalKind? = null

    /** Decodes the requests of this connection. */
    val decoder = CallerRequestDecoder(
        server.settings.maximumHeaderBytes,
        server.requestMemory.Share(this),
        server.settings.maximumRequestLineBytes,
    ) { lastActive = server.exchangeContext.clock.now() }

    @Volatile
    override var lastActive: MonotonicTime = server.exchangeContext.clock.now()
        private set
    override val isReading: Boolean get() = acceptsInput && (collector.isReading || decoder.isInHead)
    override val isIdle: Boolean get() = !isReading && !isServing && (closing || !hasUnreadResponse)
    override val heldBytes: Long get() = memory.bytes + decoder.heldBytes

    /** Whether the caller has not taken the last response yet. */
    private val hasUnreadResponse: Boolean
        get() = (connectionContext.channel().unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0) > 0
    private val acceptsInput: Boolean get() = !closing && pendingRefusal == null

    /** Whether a response is outstanding. */
    private val isResponding: Boolean get() = activeExchange != null || respondingLocally

    override val isServing: Boolean get() = isResponding || pipelinedRequests.isNotEmpty()

    override fun handlerAdded(context: ChannelHandlerContext) {
        connectionContext = context
    }

    override fun channelActive(context: ChannelHandlerContext) {
        server.requestMemory.register(this)
        if (!server.connectionLimit.opened(this)) refuseAndClose(context, RefusalKind.TOO_MANY_CONNECTIONS)
        context.fireChannelActive()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject && acceptsInput) read(context, message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(context: ChannelHandlerContext, message: HttpObject) {
        when (val part = collector.collect(message)) {
            CollectedPart.Incomplete -> context.writeContinueIfExpected(message)
            is CollectedPart.Complete -> enqueue(context, part.request)
            is CollectedPart.Invalid -> refuseAndClose(context, refusalKindOf(part.reason))
        }
    }

    private fun refusalKindOf(reason: InvalidRequest) = when (reason) {
        InvalidRequest.MALFORMED -> RefusalKind.MALFORMED_REQUEST
        InvalidRequest.HEAD_TOO_LARGE -> RefusalKind.HEADERS_TOO_LARGE
        InvalidRequest.BODY_TOO_LARGE -> RefusalKind.BODY_TOO_LARGE
        InvalidRequest.NO_MEMORY -> RefusalKind.MEMORY_SHORT
    }

    private fun enqueue(context: ChannelHandlerContext, request: CollectedRequest) {
        if (pipelinedRequests.size >= MAXIMUM_PIPELINED_REQUESTS) {
            context.close()
            return
        }
        pipelinedRequests.addLast(request)
        recordMemory()
        handleNext(context)
    }

    /** Handles the next request, unless one is being served, or the caller does not read its responses, which would accumulate. */
    private fun handleNext(context: ChannelHandlerContext) {
        if (closing || isResponding) return
        if (!context.channel().isWritable) return awaitCaller(context)
        val request = pipelinedRequests.removeFirstOrNull() ?: return
        activeBytes = request.heldBytes
        recordMemory()
        context.pipeline().get(RequestTimeoutHandler::class.java)?.onRequestReceived()
        if (!handleLocally(context, request)) forward(context, request)
    }

    /** Limits the time in which the caller takes none of a response while complete requests wait for that. */
    private fun awaitCaller(context: ChannelHandlerContext) {
        if (pipelinedRequests.isEmpty()) return
        context.pipeline().get(RequestTimeoutHandler::class.java)?.onResponseEnd(nextRequestPending = false)
    }

    /** Records what the requests of this connection hold; returns false if that is too much. */
    private fun recordMemory(): Boolean = memory.resize(collector.heldBytes + pipelinedRequests.sumOf { it.heldBytes } + activeBytes)

    /** Responds to a request that no target serves. Returns false if the request must be forwarded. */
    private fun handleLocally(context: ChannelHandlerContext, request: CollectedRequest): Boolean {
        val head = request.head
        val query = QueryStringDecoder(head.uri())
        val digest by lazy { CallerKey.fromHeaders(head.headers())?.digest }
        val endpoints = server.endpoints
        val endpoint: () -> CompletionStage<LocalResponse> = when (query.path()) {
            "/v1/entry" -> { -> endpoints.entry(EntryQuery(digest, query.parameters()["zone"]?.firstOrNull()?.let(::ZoneName))) }

            "/v1/models" -> { -> endpoints.models(digest) }

            "/healthz" -> endpoints::health

            "/readyz" -> endpoints::readiness

            "/metrics" -> endpoints::metrics

            in CallerRequestParser.MODEL_PATHS -> {
                if (head.method() == HttpMethod.POST) return false
                refuse(context, head, RefusalKind.METHOD_NOT_ALLOWED)
                return true
            }

            else -> {
                if (!query.path().startsWith(OPERATOR_PATH_PREFIX)) return false
                respondLocally(context, head, endpoints.operator(operatorRequest(query.path(), request)))
                return true
            }
        }
        if (head.method() != HttpMethod.GET) {
            refuse(context, head, RefusalKind.METHOD_NOT_ALLOWED)
        } else {
            respondLocally(context, head, endpoint())
        }
        return true
    }

    private fun operatorRequest(path: String, request: CollectedRequest) = OperatorRequest(
        method = request.head.method().name(),
        path = path.removePrefix(OPERATOR_PATH_PREFIX),
        secret = request.head.headers().get(HttpHeaderNames.AUTHORIZATION)?.removePrefix("Bearer "),
        body = request.body,
    )

    private fun respondLocally(context: ChannelHandlerContext, request: HttpRequest, response: CompletionStage<LocalResponse>) {
        respondingLocally = true
        response.whenComplete { result, failure ->
            context.executor().execute {
                val localResponse = if (failure == null) result else LocalResponse(SERVICE_UNAVAILABLE, ByteArray(0))
                writeResponse(context, request, fullResponse(localResponse.status, localResponse.body, localResponse.contentType))
            }
        }
    }

    private fun forward(context: ChannelHandlerContext, request: CollectedRequest) {
        val head = request.head
        val id = server.nextRequestId()
        val now = server.exchangeContext.clock.now()
        server.requestParser.parse(request, id, now).fold(
            success = { parsed ->
                val newExchange = CallerExchange(
                    request = parsed,
                    callerContext = context,
                    keepAlive = HttpUtil.isKeepAlive(head),
                    supportsChunkedEncoding = head.protocolVersion() == HttpVersion.HTTP_1_1,
                    context = server.exchangeContext,
                    onResponseEnd = { staysOpen -> onResponseEnd(context, staysOpen) },
                )
                activeExchange = newExchange
                activeRequestId = id
                server.startExchange(parsed, newExchange)
            },
            failure = { kind -> refuse(context, head, kind) },
        )
    }

    private fun refuse(context: ChannelHandlerContext, request: HttpRequest, kind: RefusalKind) {
        val refusal = Refusal(kind, notRun = kind != RefusalKind.IDEMPOTENCY_KEY_EXPIRED)
        writeResponse(context, request, refusalResponse(refusal, server.exchangeContext.clock.now()))
    }

    private fun writeResponse(context: ChannelHandlerContext, request: HttpRequest, response: FullHttpResponse) {
        val staysOpen = HttpUtil.isKeepAlive(request) && !server.exchangeContext.isDraining()
        request.headers().get(TargetHeaders.REQUEST_ID)?.let { response.headers().set(TargetHeaders.REQUEST_ID, it) }
        if (!staysOpen) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = context.writeAndFlush(response)
        if (!staysOpen) written.addListener(ChannelFutureListener.CLOSE)
        onResponseEnd(context, staysOpen)
    }

    /** Sends an error response, after those to earlier requests, and closes the connection. Further input is discarded. */
    fun refuseAndClose(context: ChannelHandlerContext, kind: RefusalKind) {
        if (closing) return
        collector.clear()
        decoder.release()
        recordMemory()
        if (isServing) {
            pendingRefusal = pendingRefusal ?: kind
            return
        }
        closing = true
        val now = server.exchangeContext.clock.now()
        val response = refusalResponse(Refusal(kind, notRun = true, retryAt = (now + RETRY_DELAY).takeIf { kind in PASSING }), now)
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        context.writeAndFlush(response).addListener { lingeringClose(context) }
    }

    /**
     * Closes the output at once and the connection after a delay. Closing a connection with unread input would reset it, and the
     * caller would lose the response.
     */
    private fun lingeringClose(context: ChannelHandlerContext) {
        (context.channel() as DuplexChannel).shutdownOutput()
        context.executor().schedule({ context.close() }, LINGER_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun onResponseEnd(context: ChannelHandlerContext, staysOpen: Boolean) {
        respondingLocally = false
        activeExchange = null
        activeRequestId = null
        activeBytes = 0
        recordMemory()
        lastActive = server.exchangeContext.clock.now()
        closing = closing || !staysOpen
        val hasNext = pipelinedRequests.isNotEmpty()
        val refusal = pendingRefusal
        if (!hasNext && refusal != null) return refuseAndClose(context, refusal)
        context.pipeline().get(RequestTimeoutHandler::class.java)?.onResponseEnd(nextRequestPending = hasNext)
        if (hasNext) context.executor().execute { handleNext(context) }
    }

    override fun evict() = runOnEventLoop { if (isReading) refuseAndClose(connectionContext, RefusalKind.MEMORY_SHORT) }

    override fun closeForRoom() = runOnEventLoop {
        if (isReading) {
            refuseAndClose(connectionContext, RefusalKind.TOO_MANY_CONNECTIONS)
        } else if (isIdle) {
            connectionContext.close()
        }
    }

    private fun runOnEventLoop(action: () -> Unit) {
        val loop = connectionContext.channel().eventLoop()
        if (loop.inEventLoop()) action() else loop.execute(action)
    }

    /** Closes the connection if it has no active or waiting request. */
    fun closeIfIdle(context: ChannelHandlerContext) {
        if (!isServing) context.close()
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            RequestTimeoutEvent.REQUEST_INCOMPLETE ->
                if (isServing && !isReading) awaitCaller(context) else refuseAndClose(context, RefusalKind.REQUEST_TIMEOUT)

            RequestTimeoutEvent.CONNECTION_IDLE -> if (!isResponding) context.close()

            else -> context.fireUserEventTriggered(event)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        activeExchange?.onWritabilityChanged()
        handleNext(context)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        closing = true
        server.requestMemory.unregister(this)
        server.connectionLimit.closed(this)
        decoder.release()
        collector.clear()
        pipelinedRequests.clear()
        memory.resize(0)
        activeExchange?.onCallerDisconnected()
        activeRequestId?.let { server.exchangeContext.submit(RequestAbandoned(it)) }
        activeExchange = null
    }

    @Deprecated("Netty deprecates this method in ChannelHandler but not in ChannelInboundHandler")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        context.close()
    }

    private companion object {
        const val MAXIMUM_PIPELINED_REQUESTS = 8
        const val OPERATOR_PATH_PREFIX = "/operator/"
        const val SERVICE_UNAVAILABLE = 503
        const val LINGER_MILLIS = 2_000L

        /** Refusals after which the same request may be served soon. */
        val PASSING = setOf(RefusalKind.MEMORY_SHORT, RefusalKind.TOO_MANY_CONNECTIONS)

        /** The least that `Retry-After`, which is in seconds, can say. */
        val RETRY_DELAY = 1.seconds
    }
}
