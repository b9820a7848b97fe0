package org.cactuspulley.runtime.upstream

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoop
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.cactuspulley.core.effect.TargetAddress
import org.cactuspulley.core.platform.TargetHeaders
import java.util.Base64
import java.util.concurrent.TimeUnit

/**
 * The KV cache blocks to transfer to a target before an attempt.
 *
 * @property source the cache store or engine that holds the blocks.
 * @property chainHash the chained hash of the last prompt piece to transfer.
 * @property cacheScope the required cache scope of the blocks. Blocks of another scope are not transferred.
 */
public data class KvCacheTransferRequest(val source: TargetAddress, val chainHash: Long, val cacheScope: String)

/**
 * Transfers KV cache blocks from their holder to the target of an attempt. The attempt is sent even if the
 * transfer fails, because the target can compute the blocks itself.
 */
internal class KvCacheTransfer(private val settings: TargetClientSettings, private val eventLoop: EventLoop) {
    /** Transfers the blocks of [transfer] to [target] and then calls [onComplete] once on the event loop. */
    fun start(transfer: KvCacheTransferRequest, target: TargetAddress, onComplete: () -> Unit) {
        val export = request(HttpMethod.GET, "/kv/${"%016x".format(transfer.chainHash)}", ByteArray(0))
        exchange(transfer.source, export) { exported ->
            val import = exported?.takeIf { isValidExport(it, transfer) }?.let(::importRequest)
            if (import == null) onComplete() else exchange(target, import) { onComplete() }
        }
    }

    private fun isValidExport(exported: FullHttpResponse, transfer: KvCacheTransferRequest): Boolean {
        val encodedScope = Base64.getEncoder().encodeToString(transfer.cacheScope.toByteArray())
        return exported.status().code() == OK_STATUS && exported.headers().get(TargetHeaders.SCOPE) == encodedScope
    }

    private fun importRequest(exported: FullHttpResponse): FullHttpRequest {
        val bytes = ByteArray(exported.content().readableBytes()).also { exported.content().readBytes(it) }
        val import = request(HttpMethod.POST, "/kv", bytes)
        for (name in listOf(TargetHeaders.CHAIN, TargetHeaders.TOKENS, TargetHeaders.SCOPE)) {
            exported.headers().get(name)?.let { import.headers().set(name, it) }
        }
        return import
    }

    private fun request(method: HttpMethod, uri: String, body: ByteArray): FullHttpRequest {
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, uri, Unpooled.wrappedBuffer(body))
        request.headers().set(HttpHeaderNames.CONNECTION, "close")
        HttpUtil.setContentLength(request, body.size.toLong())
        return request
    }

    /** Sends [request] on a new connection. [onResponse] receives null if no response arrives in time. */
    private fun exchange(address: TargetAddress, request: FullHttpRequest, onResponse: (FullHttpResponse?) -> Unit) {
        var pending = true
        val completeOnce = { response: FullHttpResponse? ->
            if (pending) {
                pending = false
                onResponse(response)
            }
        }
        request.headers().set(HttpHeaderNames.HOST, "${address.host}:${address.port}")
        val connecting = Bootstrap()
            .group(eventLoop)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, settings.connectTimeout.inWholeMilliseconds.toInt())
            .handler(
                object : ChannelInitializer<SocketChannel>() {
                    override fun initChannel(channel: SocketChannel) {
                        channel.pipeline().addLast(
                            HttpClientCodec(),
                            HttpObjectAggregator(settings.maximumKvCacheTransferBytes),
                            ResponseHandler(completeOnce),
                        )
                    }
                },
            )
            .connect(address.host, address.port)
        connecting.addListener { result -> if (result.isSuccess) connecting.channel().writeAndFlush(request) else completeOnce(null) }
        val timeout = eventLoop.schedule({
            connecting.channel().close()
        }, settings.kvCacheTransferTimeout.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        connecting.channel().closeFuture().addListener {
            timeout.cancel(false)
            completeOnce(null)
        }
    }

    private class ResponseHandler(private val onResponse: (FullHttpResponse?) -> Unit) : SimpleChannelInboundHandler<FullHttpResponse>() {
        override fun channelRead0(context: ChannelHandlerContext, response: FullHttpResponse) {
            onResponse(response)
            context.close()
        }

        @Deprecated("Netty deprecates this method in ChannelHandler but not in ChannelInboundHandler")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }
}
