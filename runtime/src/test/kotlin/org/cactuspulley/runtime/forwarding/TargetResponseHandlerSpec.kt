package org.cactuspulley.runtime.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.HttpResponse
import org.cactuspulley.runtime.platform.ExpectedResponseDecoder

/** Records how a response ends; every response belongs to the request that waits. */
private class RecordingListener : TargetResponseListener {
    var body = ""
    var ending: String? = null

    override fun onHead(response: HttpResponse) = ResponseOwner.THIS_REQUEST

    override fun onContent(content: ByteBuf) {
        body += content.toString(Charsets.US_ASCII)
    }

    override fun onEnd() {
        ending = "complete"
    }

    override fun onBroken(reason: String) {
        ending = "broken"
    }
}

class TargetResponseHandlerSpec : DescribeSpec({
    /** Returns a connection on which a response without a length has arrived in part. */
    fun connectionWith(listener: RecordingListener): EmbeddedChannel {
        val handler = TargetResponseHandler()
        handler.listener = listener
        val channel = EmbeddedChannel(ExpectedResponseDecoder { handler.listener != null }, handler)
        channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200 OK\r\n\r\nhalf", Charsets.US_ASCII))
        return channel
    }

    describe("a response without a length") {
        it("is complete when the target has ended its side of the connection") {
            val listener = RecordingListener()
            connectionWith(listener).pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE)
            listener.ending shouldBe "complete"
            listener.body shouldBe "half"
        }

        // Half of a response was delivered as a whole one after a write to a connection that was reset had closed it.
        it("is broken when this side closes the connection, as after a write that failed") {
            val listener = RecordingListener()
            connectionWith(listener).close()
            listener.ending shouldBe "broken"
        }
    }
})
