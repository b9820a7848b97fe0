package org.cactuspulley.standins.log

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.platform.LogPage
import org.cactuspulley.standins.server.standinJson
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpRequest.BodyPublishers
import java.net.http.HttpResponse
import java.net.http.HttpResponse.BodyHandlers

class LogStandinSpec : DescribeSpec({
    val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    fun send(address: String, path: String, body: String? = null): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://$address$path")).header("X-Record-Id", "id")
        if (body != null) request.POST(BodyPublishers.ofString(body))
        return client.send(request.build(), BodyHandlers.ofString())
    }

    fun page(address: String, query: String) =
        standinJson.decodeFromString(LogPage.serializer(), send(address, "/streams/s/records?$query").body())

    describe("the log stand-in") {
        it("assigns offsets from 0 in each stream") {
            LogStandin().use { log ->
                send(log.address, "/streams/s/records", "a").body() shouldBe """{"offset":0}"""
                send(log.address, "/streams/s/records", "b").body() shouldBe """{"offset":1}"""
                send(log.address, "/streams/other/records", "a").body() shouldBe """{"offset":0}"""
                page(log.address, "from=1").records.map { it.offset } shouldBe listOf(1L)
            }
        }

        it("stores a record whose response is lost") {
            LogStandin().use { log ->
                log.faults = LogFaults(loseAppendAnswers = 1)
                shouldThrow<IOException> { send(log.address, "/streams/s/records", "a") }
                log.tail("s") shouldBe 1
            }
        }

        it("stores nothing while it is overloaded or down") {
            LogStandin().use { log ->
                log.faults = LogFaults(overloaded = true)
                send(log.address, "/streams/s/records", "a").statusCode() shouldBe 429
                send(log.address, "/faults", """{"down":true}""").statusCode() shouldBe 204
                shouldThrow<IOException> { send(log.address, "/streams/s/records", "a") }
                log.tail("s") shouldBe 0
            }
        }

        it("discards the oldest records and reads from the first retained one") {
            LogStandin(settings = LogSettings(keptRecords = 2)).use { log ->
                repeat(5) { send(log.address, "/streams/s/records", "a") }
                val page = page(log.address, "from=0")
                page.firstKept shouldBe 3
                page.tail shouldBe 5
                page.records.map { it.offset } shouldBe listOf(3L, 4L)
            }
        }

        it("responds to a waiting read when a record is appended") {
            LogStandin().use { log ->
                val request = HttpRequest.newBuilder(URI("http://${log.address}/streams/s/records?from=0&wait_ms=60000")).build()
                val waiting = client.sendAsync(request, BodyHandlers.ofString())
                send(log.address, "/streams/s/records", "a")
                standinJson.decodeFromString(LogPage.serializer(), waiting.join().body()).records.size shouldBe 1
            }
        }
    }
})
