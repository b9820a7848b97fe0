package org.cactuspulley.core.record

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.getError
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.property.Arb
import io.kotest.property.arbitrary.byte
import io.kotest.property.arbitrary.byteArray
import io.kotest.property.arbitrary.int
import io.kotest.property.checkAll
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.WorkspaceId

class LogRecordCodecSpec : DescribeSpec({
    val record = RemoveWorkspace(WorkspaceId("w-1"), LogOffset(3))
    val bytes = LogRecordCodec.encode(record)

    describe("a record of the log") {
        it("is decoded as it was encoded") {
            LogRecordCodec.decode(bytes) shouldBe Ok(record)
        }

        // Guards against a follower that reads no further, because one record threw an index exception while it was decoded.
        it("that is cut off or followed by other bytes is unreadable or another record, and throws nothing") {
            for (size in bytes.indices) LogRecordCodec.decode(bytes.copyOf(size)).getError().shouldNotBeNull()
            checkAll(Arb.int(0..bytes.size), Arb.byteArray(Arb.int(1..6), Arb.byte())) { size, odd ->
                LogRecordCodec.decode(bytes.copyOf(size) + odd)
                LogRecordCodec.decode(bytes.copyOf(size) + odd + bytes.drop(size))
                LogRecordCodec.decode(bytes.copyOf(size) + odd + bytes.drop(size + odd.size))
            }
        }
    }
})
