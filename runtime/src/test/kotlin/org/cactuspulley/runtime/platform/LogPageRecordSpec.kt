package org.cactuspulley.runtime.platform

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.platform.LogPageRecord
import org.cactuspulley.core.record.UnreadableRecord

class LogPageRecordSpec : DescribeSpec({
    describe("a record of the log that cannot be decoded") {
        // Guards against a follower that reads no further, because one record of a page threw while it was decoded.
        for (data in listOf("", "?", "AAA", "vw==", "gA==", "n5+f", "////////")) {
            it("with the data '$data' is unreadable") {
                var unreadable = 0
                val stored = LogPageRecord(7, "id", 0, data).toStoredRecord { unreadable++ }
                stored.offset shouldBe LogOffset(7)
                stored.record shouldBe UnreadableRecord
                unreadable shouldBe 1
            }
        }
    }
})
