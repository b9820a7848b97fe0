package org.cactuspulley.runtime.http

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpRequest
import io.netty.util.ReferenceCountUtil

private const val MAX_HEAD_BYTES = 16_384

/** Two requests, with folded headers, a folded trailer, and a body that looks like folded lines. */
private const val FOLDED = "\r\nPOST /a HTTP/1.1\r\nhost: h\r\nlong: one\r\n two\r\n\tthree\r\nTransfer-Encoding: chunked\r\n\r\n" +
    "5\r\na\r\n b\r\n00;x=y\r\nt: 1\r\n 2\r\n\r\nPOST /b HTTP/1.1\r\nhost: h\r\nempty:\r\n x\r\nContent-Length: 6\r\n\r\nc:\r\n d"

private fun EmbeddedChannel.receive(text: String) {
    writeInbound(Unpooled.copiedBuffer(text, Charsets.US_ASCII))
}

/** Returns what has been decoded, as text; contents that follow each other are joined. */
private fun EmbeddedChannel.decoded(): String {
    val text = StringBuilder()
    while (true) {
        val message = readInbound<HttpObject>() ?: return text.toString()
        check(message.decoderResult().isSuccess) { "invalid: ${message.decoderResult().cause()}" }
        if (message is HttpRequest) {
            text.append("[${message.uri()}")
            message.headers().forEach { (name, value) -> text.append("|$name=${value.replace(Regex("[ \t]+"), " ")}") }
            text.append("]")
        }
        if (message is HttpContent) text.append(message.content().toString(Charsets.US_ASCII))
        ReferenceCountUtil.release(message)
    }
}

class CallerRequestDecoderSpec : DescribeSpec({
    fun memory(bytes: Long = 1_000_000) = BufferMemory(bytes, bytes)
    val expected = "[/a|host=h|long=one two three|Transfer-Encoding=chunked]a\r\n b[/b|host=h|empty=x|Content-Length=6]c:\r\n d"

    describe("requests with folded lines") {
        // Joining lines in the buffer must change no body and no other line.
        it("are decoded as with the lines joined") {
            val channel = EmbeddedChannel(CallerRequestDecoder(MAX_HEAD_BYTES, memory().Share()))
            channel.receive(FOLDED)
            channel.decoded() shouldBe expected
        }

        // A line end at the end of what has arrived may be followed by a folded line.
        it("are decoded the same however they are split") {
            for (split in 1 until FOLDED.length) {
                val channel = EmbeddedChannel(CallerRequestDecoder(MAX_HEAD_BYTES, memory().Share()))
                channel.receive(FOLDED.take(split))
                channel.receive(FOLDED.drop(split))
                channel.decoded() shouldBe expected
            }
        }

        it("are decoded the same byte by byte") {
            val channel = EmbeddedChannel(CallerRequestDecoder(MAX_HEAD_BYTES, memory().Share()))
            FOLDED.forEach { channel.receive("$it") }
            channel.decoded() shouldBe expected
        }
    }

    describe("the lines of a head") {
        // Many short lines filled the memory before the head was complete and any limit was checked.
        it("are accounted for while they arrive, and handed over with the head") {
            val share = memory().Share()
            val channel = EmbeddedChannel(CallerRequestDecoder(MAX_HEAD_BYTES, share))
            channel.receive("POST / HTTP/1.1\r\n" + "a:\r\n".repeat(1_000))
            share.bytes shouldBeGreaterThan 100_000
            channel.receive("\r\n")
            share.bytes shouldBe 0
            channel.readInbound<HttpRequest>().heldBytes shouldBeGreaterThan 100_000
        }

        it("make the message invalid if there is no memory for them") {
            val channel = EmbeddedChannel(CallerRequestDecoder(MAX_HEAD_BYTES, memory(50_000).Share()))
            channel.receive("POST / HTTP/1.1\r\n" + "a:\r\n".repeat(1_000))
            (channel.readInbound<HttpRequest>().decoderResult().cause() is HeadersTooLargeException) shouldBe true
        }
    }

    describe("the lines of a trailer") {
        // They were kept as objects, although trailers are not used.
        it("are not kept") {
            val share = memory().Share()
            val channel = EmbeddedChannel(CallerRequestDecoder(MAX_HEAD_BYTES, share))
            channel.receive("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + "a:\r\n".repeat(1_000))
            // The last line may go on with what follows.
            share.bytes shouldBe 4
            channel.receive("\r\n")
            share.bytes shouldBe 0
        }
    }
})
