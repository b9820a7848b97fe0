package org.cactuspulley.core.forwarding

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.cactuspulley.core.model.TargetId
import kotlin.time.Duration.Companion.seconds

class TargetDirectorySpec : DescribeSpec({
    val id = TargetId("t-1")

    describe("the target directory") {
        it("adds, changes and removes targets") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1")) shouldBe DirectoryChange.ADDED
            directory.upsert(entry("t-1", reportNumber = 2)) shouldBe DirectoryChange.UNCHANGED
            directory.upsert(entry("t-1", reportNumber = 3, leaving = true)) shouldBe DirectoryChange.LEAVING
            directory.members(POOL).single().entry.isLeaving shouldBe true
            directory.remove(id, START) shouldBe DirectoryChange.REMOVED
            directory.members(POOL) shouldBe emptyList()
        }

        it("discards the state of an earlier start under the same id") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1", weights = 5))
            directory[id]?.load?.add(3.0)
            directory.upsert(entry("t-1", weights = 2, startedAt = 2_000, reportNumber = 1)) shouldBe DirectoryChange.RESTARTED
            directory[id]?.weights(MODEL) shouldBe 2
            directory[id]?.load?.local shouldBe 0.0
        }

        it("ignores late reports of an earlier start, even after the target was removed") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1", startedAt = 2_000, reportNumber = 4))
            directory.upsert(entry("t-1", startedAt = 1_000, reportNumber = 9)) shouldBe DirectoryChange.STALE
            directory.remove(id, START)
            directory.upsert(entry("t-1", startedAt = 2_000, reportNumber = 3)) shouldBe DirectoryChange.STALE
            directory[id] shouldBe null
        }

        it("defers the removal of entries that expired during an outage") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1"))
            directory.registryRecovered(START)
            directory.remove(id, START) shouldBe DirectoryChange.REMOVAL_DEFERRED
            directory.applyDeferredRemovals(START + 2.seconds) shouldBe emptyList()
            directory.upsert(entry("t-1", reportNumber = 2))
            directory.applyDeferredRemovals(START + 5.seconds) shouldBe emptyList()
            directory[id] shouldNotBe null
        }

        // Guards against a target that is left out although a second outage kept it from registering again.
        it("defers a removal on if there is another outage meanwhile") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1"))
            directory.registryRecovered(START)
            directory.remove(id, START) shouldBe DirectoryChange.REMOVAL_DEFERRED
            directory.registryRecovered(START + 2.seconds)
            directory.applyDeferredRemovals(START + 4.seconds) shouldBe emptyList()
            directory.applyDeferredRemovals(START + 5.seconds) shouldBe listOf(id)
        }

        // Guards against a leaving target whose report, written again after a restore, has a number that is already known.
        it("marks a target as leaving also by a report with an earlier number") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1", reportNumber = 9))
            directory.upsert(entry("t-1", leaving = true, reportNumber = 8)) shouldBe DirectoryChange.STALE
            directory[id]?.let { directory.accepts(it, START) } shouldBe false
        }

        // Guards against requests to a target that has left, because a restored registry lists it as it was before.
        it("uses a removed target that a restored registry lists only after another report") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1", reportNumber = 1))
            directory.remove(id, START)
            directory.registryRestored(START)
            directory.upsert(entry("t-1", reportNumber = 6)) shouldBe DirectoryChange.STALE
            directory.upsert(entry("t-1", reportNumber = 6)) shouldBe DirectoryChange.STALE
            directory.upsert(entry("t-1", reportNumber = 7)) shouldBe DirectoryChange.ADDED
        }

        it("uses a later start of a removed target at once, also after its registry was restored") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1", startedAt = 1_000))
            directory.remove(id, START)
            directory.registryRestored(START)
            directory.upsert(entry("t-1", startedAt = 2_000)) shouldBe DirectoryChange.ADDED
        }

        it("removes an entry that was not registered again") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1"))
            directory.registryRecovered(START)
            directory.remove(id, START)
            directory.applyDeferredRemovals(START + 3.seconds) shouldBe listOf(id)
            directory[id] shouldBe null
        }

        // Guards against a target that is used again because another writer's entry, or a late one, says that it is ready.
        it("keeps a start that is leaving out of use, whatever its later entries say, until it starts again") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1"))
            directory.recordLeaving(id, startedAtMillis = 1_000) shouldBe true
            directory.upsert(entry("t-1", reportNumber = 2))
            directory[id]?.isLeaving shouldBe true
            directory.remove(id, START)
            directory.upsert(entry("t-1", reportNumber = 3))
            directory[id]?.let { directory.accepts(it, START) } shouldBe false
            directory.upsert(entry("t-1", startedAt = 2_000))
            directory[id]?.let { directory.accepts(it, START) } shouldBe true
        }

        // Guards against a pause that is forgotten because the target's entry was removed and registered again meanwhile.
        it("keeps the pause that a start of a target asked for, also after its entry was removed and registered again") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1"))
            directory[id]?.let { directory.pause(it, START + 5.seconds) }
            directory.remove(id, START)
            directory.upsert(entry("t-1", reportNumber = 2))
            directory[id]?.let { directory.accepts(it, START + 4.seconds) } shouldBe false
            directory[id]?.let { directory.accepts(it, START + 5.seconds) } shouldBe true
            directory.upsert(entry("t-1", startedAt = 2_000))
            directory[id]?.let { directory.accepts(it, START + 4.seconds) } shouldBe true
        }

        // Guards against a leaving entry that is overlooked, because a peer already told of a later start that leaves, too.
        it("keeps a target that leaves out of use although a later start of it is known to leave") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1"))
            directory.recordLeaving(id, startedAtMillis = 2_000)
            directory[id]?.let { directory.accepts(it, START) } shouldBe true
            directory.upsert(entry("t-1", reportNumber = 2, leaving = true))
            directory[id]?.let { directory.accepts(it, START) } shouldBe false
        }

        it("does not defer the removal of a leaving target") {
            val directory = TargetDirectory()
            directory.upsert(entry("t-1", leaving = true))
            directory.registryRecovered(START)
            directory.remove(id, START) shouldBe DirectoryChange.REMOVED
        }
    }
})
