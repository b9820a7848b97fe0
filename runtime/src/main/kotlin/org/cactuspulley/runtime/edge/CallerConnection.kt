package org.cactuspulley.runtime.edge

import com.github.michaelbull.result.fold
import io.netty.buffer.ByteBufUtil
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DuplexChannel
import io.netty.handler.codec.TooLongFrameException
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.QueryStringDecoder
import org.cactuspulley.core.event.RequestAbandoned
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.platform.TargetHeaders
import org.cactuspulley.core.requests.Refusal
import org.cactuspulley.core.requests.RefusalKind
import java.util.concurrent.CompletionStage
import java.util.concurrent.TimeUnit

/** The functions and state of the server that its connections use. */
internal interface CallerConnectionContext {
    val exchangeContext: ExchangeContext
    val endpoints: LocalEndpoints
    val requestParser: CallerRequestParser

    /** Returns the id of the next request. */
    fun nextRequestId(): RequestId

    /** Registers [exchange] and submits its request to the control thread. */
    fun startExchange(request: CallerRequest, exchange: CallerExchange)
}

/** Serves the requests of one connection sequentially. Pipelined requests wait for the preceding response. */
internal class CallerConnection(private val server: CallerConnectionContext) : SimpleChannelInboundHandler<FullHttpRequest>(false) {
    private val pipelinedRequests = ArrayDeque<FullHttpRequest>()
    private var activeExchange: CallerExchange? = null
    private var activeRequestId: RequestId? = null
    private var respondingLocally = false
    private var closing = false

    override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
        when {
            closing -> request.release()

            activeExchange == null && !respondingLocally -> handle(context, request)

            pipelinedRequests.size < MAXIMUM_PIPELINED_REQUESTS -> pipelinedRequests.addLast(request)

            else -> {
                request.release()
                context.close()
            }
        }
    }

    private fun handle(context: ChannelHandlerContext, request: FullHttpRequest) {
        context.pipeline().get(RequestTimeoutHandler::class.java)?.onRequestReceived()
        try {
            if (!request.decoderResult().isSuccess) return refuseAndClose(context, decoderRefusalKind(request.decoderResult().cause()))
            if (!handleLocally(context, request)) forward(context, request)
        } finally {
            request.release()
        }
    }

    private fun decoderRefusalKind(cause: Throwable): RefusalKind =
        if (cause is TooLongFrameException) RefusalKind.HEADERS_TOO_LARGE else RefusalKind.MALFORMED_REQUEST

    /** Responds to a request that no target serves. Returns false if the request must be forwarded. */
    private fun handleLocally(context: ChannelHandlerContext, request: FullHttpRequest): Boolean {
        val query = QueryStringDecoder(request.uri())
        val digest by lazy { CallerKey.fromHeaders(request.headers())?.digest }
        val endpoints = server.endpoints
        val endpoint: () -> CompletionStage<LocalResponse> = when (query.path()) {
            "/v1/entry" -> { -> endpoints.entry(EntryQuery(digest, query.parameters()["zone"]?.firstOrNull()?.let(::ZoneName))) }

            "/v1/models" -> { -> endpoints.models(digest) }

            "/healthz" -> endpoints::health

            "/readyz" -> endpoints::readiness

            "/metrics" -> endpoints::metrics

            in CallerRequestParser.MODEL_PATHS -> {
                if (request.method() == HttpMethod.POST) return false
                refuse(context, request, RefusalKind.METHOD_NOT_ALLOWED)
                return true
            }

            else -> {
                if (!query.path().startsWith(OPERATOR_PATH_PREFIX)) return false
                respondLocally(context, request, endpoints.operator(operatorRequest(query.path(), request)))
                return true
            }
        }
        if (request.method() != HttpMethod.GET) {
            refuse(context, request, RefusalKind.METHOD_NOT_ALLOWED)
        } else {
            respondLocally(context, request, endpoint())
        }
        return true
    }

    private fun operatorRequest(path: String, request: FullHttpRequest) = OperatorRequest(
        method = request.method().name(),
        path = path.removePrefix(OPERATOR_PATH_PREFIX),
        secret = request.headers().get(HttpHeaderNames.AUTHORIZATION)?.removePrefix("Bearer "),
        body = ByteBufUtil.getBytes(request.content()),
    )

    private fun respondLocally(context: ChannelHandlerContext, request: FullHttpRequest, response: CompletionStage<LocalResponse>) {
        respondingLocally = true
        request.retain()
        response.whenComplete { result, failure ->
            context.executor().execute {
                val localResponse = if (failure == null) result else LocalResponse(SERVICE_UNAVAILABLE, ByteArray(0))
                writeResponse(context, request, fullResponse(localResponse.status, localResponse.body, localResponse.contentType))
                request.release()
            }
        }
    }

    private fun forward(context: ChannelHandlerContext, request: FullHttpRequest) {
        val id = server.nextRequestId()
        val now = server.exchangeContext.clock.now()
        server.requestParser.parse(request, id, now).fold(
            success = { parsed ->
                val newExchange = CallerExchange(
                    request = parsed,
                    callerContext = context,
                    keepAlive = HttpUtil.isKeepAlive(request),
                    supportsChunkedEncoding = request.protocolVersion() == HttpVersion.HTTP_1_1,
                    context = server.exchangeContext,
                    onResponseEnd = { staysOpen -> onResponseEnd(context, staysOpen) },
                )
                activeExchange = newExchange
                activeRequestId = id
                server.startExchange(parsed, newExchange)
            },
            failure = { kind -> refuse(context, request, kind) },
        )
    }

    private fun refuse(context: ChannelHandlerContext, request: FullHttpRequest, kind: RefusalKind) {
        val refusal = Refusal(kind, notRun = kind != RefusalKind.IDEMPOTENCY_KEY_EXPIRED)
        writeResponse(context, request, refusalResponse(refusal, server.exchangeContext.clock.now()))
    }

    private fun writeResponse(context: ChannelHandlerContext, request: FullHttpRequest, response: FullHttpResponse) {
        val staysOpen = HttpUtil.isKeepAlive(request) && !server.exchangeContext.isDraining()
        request.headers().get(TargetHeaders.REQUEST_ID)?.let { response.headers().set(TargetHeaders.REQUEST_ID, it) }
        if (!staysOpen) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        val written = context.writeAndFlush(response)
        if (!staysOpen) written.addListener(ChannelFutureListener.CLOSE)
        onResponseEnd(context, staysOpen)
    }

    /** Sends an error response and closes the connection. Further input is discarded. */
    fun refuseAndClose(context: ChannelHandlerContext, kind: RefusalKind) {
        if (closing) return
        closing = true
        val response = refusalResponse(Refusal(kind, notRun = true), server.exchangeContext.clock.now())
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
        closing = closing || !staysOpen
        val next = pipelinedRequests.removeFirstOrNull()
        context.pipeline().get(RequestTimeoutHandler::class.java)?.onResponseEnd(context, nextRequestPending = next != null)
        if (next != null) context.executor().execute { channelRead0(context, next) }
    }

    /** Closes the connection if it has no active or waiting request. */
    fun closeIfIdle(context: ChannelHandlerContext) {
        if (activeExchange == null && !respondingLocally && pipelinedRequests.isEmpty()) context.close()
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when (event) {
            RequestTimeoutEvent.REQUEST_INCOMPLETE -> refuseAndClose(context, RefusalKind.REQUEST_TIMEOUT)
            RequestTimeoutEvent.CONNECTION_IDLE -> closeIfIdle(context)
            else -> context.fireUserEventTriggered(event)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        activeExchange?.onWritabilityChanged()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        closing = true
        pipelinedRequests.forEach { it.release() }
        pipelinedRequests.clear()
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
    }
}
