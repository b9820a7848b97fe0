package org.cactuspulley.runtime.platform

import com.github.michaelbull.result.Result
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.types.shouldBeInstanceOf
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import io.netty.handler.codec.http.HttpMethod
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

class PlatformHttpClientSpec : DescribeSpec({
    val eventLoopGroup = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    afterSpec { eventLoopGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS) }

    describe("a request to an address that cannot be connected to") {
        // Guards against a call that never gets a result, and against the loss of what its caller would have done after it.
        for (address in listOf(HostAndPort("127.0.0.1", 99_999), HostAndPort("127.0.0.1", -1), HostAndPort("127.0.0.1", 1))) {
            it("to $address is reported as not sent") {
                PlatformHttpClient(eventLoopGroup).use { client ->
                    val future = CompletableFuture<Result<PlatformResponse, PlatformRequestFailure>>()
                    client.send(address, PlatformRequest(HttpMethod.GET, "/")) { future.complete(it) }
                    future.get(5, TimeUnit.SECONDS).getError().shouldBeInstanceOf<PlatformRequestFailure.NotSent>()
                }
            }
        }
    }
})
