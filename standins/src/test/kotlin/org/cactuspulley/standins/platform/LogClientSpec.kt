package org.cactuspulley.standins.platform

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.netty.channel.MultiThreadIoEventLoopGroup
import io.netty.channel.nio.NioIoHandler
import org.cactuspulley.core.effect.AppendRecord
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.event.AppendAcknowledged
import org.cactuspulley.core.event.AppendUncertain
import org.cactuspulley.core.event.CoreEvent
import org.cactuspulley.core.event.ReadFailed
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.model.KeyDigest
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.record.WithdrawKey
import org.cactuspulley.runtime.platform.HostAndPort
import org.cactuspulley.runtime.platform.LogClient
import org.cactuspulley.runtime.platform.LogClientOptions
import org.cactuspulley.standins.log.LogFaults
import org.cactuspulley.standins.log.LogStandin
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.milliseconds

class LogClientSpec : DescribeSpec({
    describe("an append") {
        it("is acknowledged with its offset") {
            LogFixture().use { fixture ->
                fixture.append("r1")
                fixture.nextOf<AppendAcknowledged>() shouldBe AppendAcknowledged(StreamName.OPERATORS, RecordId("r1"), LogOffset(0))
            }
        }

        it("is uncertain and stored when its response is lost") {
            LogFixture().use { fixture ->
                fixture.standin.faults = LogFaults(loseAppendAnswers = 1)
                fixture.append("r1")
                fixture.nextOf<AppendUncertain>() shouldBe AppendUncertain(StreamName.OPERATORS, RecordId("r1"))
                fixture.follow()
                fixture.nextOf<RecordsRead>().records shouldBe listOf(StoredRecord(LogOffset(0), RecordId("r1"), fixture.record))
            }
        }

        it("is certainly not appended when the log is unreachable") {
            LogFixture().use { fixture ->
                fixture.standin.close()
                fixture.append("r1")
                fixture.nextOf<AppendUncertain>().certainlyNotAppended shouldBe true
            }
        }
    }

    describe("a followed stream") {
        it("delivers records in log order and reports when it reaches the end") {
            LogFixture().use { fixture ->
                fixture.follow()
                fixture.nextOf<RecordsRead>().reachedTail shouldBe true
                repeat(3) { fixture.append("r$it") }
                val acknowledged = mutableMapOf<LogOffset, RecordId>()
                val read = mutableListOf<StoredRecord>()
                while (read.size < 3 || acknowledged.size < 3) {
                    when (val event = fixture.nextEvent()) {
                        is AppendAcknowledged -> acknowledged[event.offset] = event.recordId
                        is RecordsRead -> read += event.records
                        else -> Unit
                    }
                }
                read.map { it.offset } shouldBe (0L..2L).map(::LogOffset)
                read.map { it.id } shouldBe read.map { acknowledged[it.offset] }
            }
        }

        it("resumes at its position after an outage") {
            LogFixture().use { fixture ->
                fixture.follow()
                fixture.nextOf<RecordsRead>()
                fixture.standin.faults = LogFaults(down = true)
                fixture.nextOf<ReadFailed>()
                fixture.standin.faults = LogFaults()
                fixture.append("late")
                while (true) {
                    val records = fixture.nextOf<RecordsRead>().records
                    if (records.isEmpty()) continue
                    records.map { it.id.text } shouldBe listOf("late")
                    break
                }
            }
        }
    }
})

private class LogFixture : AutoCloseable {
    val standin = LogStandin("127.0.0.1", 0)
    val record = WithdrawKey(KeyDigest("ab"))
    private val events = LinkedBlockingQueue<CoreEvent>()
    private val group = MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory())
    private val client = LogClient(
        endpoints = listOf(checkNotNull(HostAndPort.parse(standin.address))),
        group = group,
        options = LogClientOptions(readWait = 50.milliseconds),
        submit = events::add,
    )

    fun append(id: String) = client.execute(AppendRecord(StreamName.OPERATORS, RecordId(id), record))

    fun follow() = client.execute(FollowStream(StreamName.OPERATORS, LogOffset.FIRST))

    fun nextEvent(): CoreEvent = checkNotNull(events.poll(20, TimeUnit.SECONDS)) { "the log client submitted no event within 20 seconds" }

    inline fun <reified T : CoreEvent> nextOf(): T {
        while (true) return nextEvent() as? T ?: continue
    }

    override fun close() {
        client.close()
        standin.close()
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS)
    }
}
