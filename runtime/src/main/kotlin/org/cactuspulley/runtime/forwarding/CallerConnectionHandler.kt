package org.cactuspulley.runtime.forwarding

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getOrElse
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.cactuspulley.core.forwarding.ForwardingRefusal
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.RequestId
import org.cactuspulley.runtime.http.CallerRequestDecoder
import org.cactuspulley.runtime.http.ClientConnection
import org.cactuspulley.runtime.http.CollectedPart
import org.cactuspulley.runtime.http.CollectedRequest
import org.cactuspulley.runtime.http.InvalidRequest
import org.cactuspulley.runtime.http.RequestCollector
import org.cactuspulley.runtime.http.writeContinueIfExpected
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Handles one caller connection: reads complete requests, processes them one at a time and writes the responses in order. */
internal class CallerConnectionHandler(
    private val context: ForwardingContext,
    private val protocol: CallerProtocol,
    private val listener: CallerListener,
) : ChannelInboundHandlerAdapter(),
    ClientConnection {
    /** A complete request that waits for the response to the request before it. */
    private class PendingRequest(val collected: CollectedRequest, val arrivedAt: MonotonicTime)

    private lateinit var ctx: ChannelHandlerContext
    private val pipelined = ArrayDeque<PendingRequest>()
    private val collector = RequestCollector({ listener.limits.bodyBytes }, ::recordMemory)
    private val memory = context.requestMemory.Share(this)

    /** Decodes the requests of this connection. */
    val decoder = CallerRequestDecoder(listener.limits.headerBytes, context.requestMemory.Share(this)) {
        lastActive = context.clock.now()
    }
    private lateinit var unread: UnreadResponses

    /** The size of the request whose response is outstanding. */
    private var runningBytes = 0L
    private var exchange: ForwardedExchange? = null
    private var isBusy = false
    private var isFirstRequest = true
    private var isClosing = false

    /** Why the request after the ones that are being served is refused; null if it is not. */
    private var pendingRefusal: ForwardingRefusal? = null

    /** The time at which the last bytes arrived or the last response ended. */
    override var lastActive: MonotonicTime = context.clock.now()
        private set

    /** Whether a request has been received in part. */
    override val isReading: Boolean get() = acceptsInput && (collector.isReading || decoder.isInHead)

    override val heldBytes: Long get() = memory.bytes + decoder.heldBytes

    /** Whether no request is being received or served; the last response may not have been taken yet. */
    val hasNoRequest: Boolean get() = !isServing && !isReading

    override val isServing: Boolean get() = isBusy || pipelined.isNotEmpty()
    private val acceptsInput: Boolean get() = !isClosing && pendingRefusal == null

    override val isIdle: Boolean get() = hasNoRequest && unread.bytes == 0L

    override fun handlerAdded(ctx: ChannelHandlerContext) {
        this.ctx = ctx
        unread = UnreadResponses(ctx.channel(), context)
    }

    override fun channelActive(ctx: ChannelHandlerContext) {
        context.requestMemory.register(this)
        if (!listener.opened(this)) refuseAndClose(ForwardingRefusal.TOO_MANY_CONNECTIONS)
    }

    override fun channelInactive(ctx: ChannelHandlerContext) {
        listener.closed(this)
        context.requestMemory.unregister(this)
        unread.release()
        decoder.release()
        exchange?.callerGone()
        exchange = null
        pipelined.clear()
        memory.resize(0)
    }

    override fun channelRead(ctx: ChannelHandlerContext, message: Any) {
        try {
            if (message is HttpObject && acceptsInput) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    private fun read(message: HttpObject) {
        lastActive = context.clock.now()
        when (val part = collector.collect(message)) {
            CollectedPart.Incomplete -> ctx.writeContinueIfExpected(message)
            is CollectedPart.Complete -> enqueue(part.request)
            is CollectedPart.Invalid -> refuseAndClose(refusalOf(part.reason))
        }
    }

    private fun refusalOf(reason: InvalidRequest) = when (reason) {
        InvalidRequest.MALFORMED, InvalidRequest.HEAD_TOO_LARGE -> ForwardingRefusal.MALFORMED
        InvalidRequest.BODY_TOO_LARGE -> ForwardingRefusal.TOO_LARGE
        InvalidRequest.NO_MEMORY -> ForwardingRefusal.NO_MEMORY
    }

    private fun enqueue(request: CollectedRequest) {
        if (pipelined.size >= MAX_PIPELINED) return refuseAndClose(ForwardingRefusal.MALFORMED)
        pipelined.addLast(PendingRequest(request, lastActive))
        recordMemory()
        // The caller may have closed the connection already without the close having been read: after a delay of the event loop, and if
        // the connection waited to be accepted, as many do after a start.
        val mayBeClosed = isFirstRequest || context.loopDelay.isDelayed(lastActive)
        isFirstRequest = false
        if (mayBeClosed) context.afterNextRead(::startNext) else startNext()
    }

    /** Records what the requests of this connection hold; returns false if that is too much. */
    private fun recordMemory(): Boolean =
        memory.resize(collector.heldBytes + pipelined.sumOf { it.collected.heldBytes } + runningBytes)

    private fun startNext() {
        // Responses that the caller does not read would accumulate.
        if (isBusy || isClosing || unread.bytes > MAX_UNREAD_BYTES) return
        val pending = pipelined.firstOrNull() ?: return
        val parsed = protocol.read(pending.collected.head, pending.arrivedAt)
        if (parsed.get()?.let { context.isStarting(it.deadline) } ?: false) {
            context.schedule(START_POLL_INTERVAL, ::startNext)
            return
        }
        pipelined.removeFirst()
        isBusy = true
        val collected = pending.collected
        runningBytes = collected.heldBytes
        val writer = ConnectionResponseWriter(collected.head)
        val request = parsed.getOrElse { refusal -> return writer.refuse(refusal, null) }
        writer.request = request.id
        val started = ForwardedExchange(context, writer, collected.head, collected.body, request, pending.arrivedAt)
        exchange = started
        context.exchanges += started
        started.start()
    }

    /** Refuses the request that arrives, after the responses to earlier requests, and closes the connection. */
    private fun refuseAndClose(refusal: ForwardingRefusal) {
        if (isClosing) return
        collector.clear()
        decoder.release()
        recordMemory()
        if (isServing) {
            pendingRefusal = pendingRefusal ?: refusal
            return
        }
        isClosing = true
        val response = protocol.refusal(refusal, null, RETRY_DELAY.takeIf { refusal in PASSING_REFUSALS })
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        HttpUtil.setContentLength(response, response.content().readableBytes().toLong())
        ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE)
    }

    /** Refuses a request that takes too long to arrive, and closes the connection. */
    fun refuseSlowRequest() = refuseAndClose(ForwardingRefusal.ARRIVED_TOO_SLOWLY)

    override fun evict() {
        if (isClosing) return
        context.log.event("caller_evicted", "held" to heldBytes)
        refuseAndClose(ForwardingRefusal.NO_MEMORY)
    }

    /** Resets the connection if the caller has read nothing of what it was sent for [limit]. */
    fun closeIfUnread(limit: Duration) = unread.closeIfStalled(limit)

    override fun closeForRoom() = if (isReading) refuseAndClose(ForwardingRefusal.TOO_MANY_CONNECTIONS) else close()

    /** Closes the connection, whatever is still to be sent. */
    fun close() {
        ctx.close()
    }

    /** Closes the connection if it is idle, after the last response has been sent. */
    fun closeIfIdle() {
        if (hasNoRequest && !isClosing) closeAfterWrites()
    }

    private fun closeAfterWrites() {
        isClosing = true
        ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE)
    }

    override fun channelWritabilityChanged(ctx: ChannelHandlerContext) {
        unread.record()
        exchange?.writabilityChanged()
        if (ctx.channel().isWritable) startNext()
    }

    @Deprecated("Overrides a Netty method that is not otherwise replaced.")
    override fun exceptionCaught(ctx: ChannelHandlerContext, cause: Throwable) {
        context.log.event("caller_connection_failed", "reason" to cause.message)
        ctx.close()
    }

    private fun responseEnded(closesConnection: Boolean) {
        exchange = null
        isBusy = false
        runningBytes = 0L
        recordMemory()
        lastActive = context.clock.now()
        val refusal = pendingRefusal
        when {
            closesConnection || isClosing -> closeAfterWrites()
            refusal != null && pipelined.isEmpty() -> refuseAndClose(refusal)
            else -> startNext()
        }
    }

    /** Writes the response to one request to this connection. */
    private inner class ConnectionResponseWriter(private val requestHead: HttpRequest) : ResponseWriter {
        /** The id of the request; null until the request has been parsed. */
        var request: RequestId? = null
        private var closesConnection = !HttpUtil.isKeepAlive(requestHead)

        override val isWritable: Boolean get() = ctx.channel().isWritable

        override fun refuse(refusal: ForwardingRefusal, retryAfter: Duration?) {
            val response: FullHttpResponse = protocol.refusal(refusal, request, retryAfter)
            HttpUtil.setContentLength(response, response.content().readableBytes().toLong())
            prepare(response)
            ctx.writeAndFlush(response)
            responseEnded(closesConnection)
        }

        override fun respond(head: HttpResponse, body: ByteBuf) {
            HttpUtil.setContentLength(head, body.readableBytes().toLong())
            prepare(head)
            unread.add(body.readableBytes())
            ctx.write(head)
            if (body.isReadable) ctx.write(DefaultHttpContent(body)) else body.release()
            ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            unread.record()
            responseEnded(closesConnection)
        }

        override fun startChunked(head: HttpResponse) {
            HttpUtil.setTransferEncodingChunked(head, true)
            prepare(head)
            ctx.writeAndFlush(head)
        }

        override fun sendChunk(chunk: ByteBuf) {
            unread.add(chunk.readableBytes())
            ctx.writeAndFlush(DefaultHttpContent(chunk))
            unread.record()
        }

        override fun endChunked() {
            ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT)
            responseEnded(closesConnection)
        }

        override fun abort() {
            exchange = null
            isClosing = true
            ctx.close()
        }

        private fun prepare(head: HttpResponse) {
            closesConnection = closesConnection || listener.isLeaving
            if (closesConnection) head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
    }

    private companion object {
        /** How often a request that waits for the first configuration looks for it; a read of it takes several times as long. */
        val START_POLL_INTERVAL = 20.milliseconds

        /** Refusals for lack of room, of which another instance may have enough. */
        val PASSING_REFUSALS = setOf(ForwardingRefusal.NO_MEMORY, ForwardingRefusal.TOO_MANY_CONNECTIONS)

        /** Another instance may have room immediately. */
        val RETRY_DELAY = 50.milliseconds

        /** What a caller may leave unread while further requests are started: as many of the largest responses as may be pipelined. */
        const val MAX_UNREAD_BYTES = 8L * 1024 * 1024

        /** The maximum number of pipelined requests that wait on one connection. */
        const val MAX_PIPELINED = 8
    }
}
