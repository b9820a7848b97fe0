package org.cactuspulley.runtime.timeline

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.cactuspulley.core.timeline.HybridTime
import org.cactuspulley.core.timeline.ProcessStarted
import org.cactuspulley.core.timeline.TimelineEntry

class TimelineReportSpec : FunSpec({
    val entry = TimelineEntry(HybridTime(1_000, 2), "i1", ProcessStarted("127.0.0.1:1", "<zone>"))

    test("an entry is unchanged after a JSON round trip") {
        TimelineJsonLines.decode(TimelineJsonLines.encode(entry)) shouldBe entry
    }

    test("a text line contains the time, the process and the event") {
        textLine(entry) shouldBe "1970-01-01T00:00:01Z+2 i1 ProcessStarted(address=127.0.0.1:1, zone=<zone>)"
    }

    test("the HTML page escapes event details") {
        val page = htmlPage(listOf(entry))
        page shouldContain "&lt;zone&gt;"
        page shouldNotContain "<zone>"
    }
})
