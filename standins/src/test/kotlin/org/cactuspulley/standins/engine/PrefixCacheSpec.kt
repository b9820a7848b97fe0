package org.cactuspulley.standins.engine

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe

class PrefixCacheSpec : DescribeSpec({
    describe("a full prefix cache") {
        it("evicts the least recently used piece") {
            val cache = PrefixCache(capacity = 2)
            cache.store(1, null, 1024)
            cache.store(2, null, 1024)
            cache.touch(longArrayOf(1))
            cache.store(3, null, 1024)
            listOf(1L, 2L, 3L).filter { it in cache } shouldBe listOf(1L, 3L)
        }

        it("evicts the last piece of a prefix first") {
            val cache = PrefixCache(capacity = 3)
            listOf(1L, 2L, 3L).forEach { cache.store(it, if (it == 1L) null else it - 1, 1024) }
            cache.touch(longArrayOf(1, 2, 3))
            cache.store(9, null, 1024)
            cache.cachedPrefixLength(longArrayOf(1, 2, 3)) shouldBe 2
        }

        it("does not evict pinned pieces and does not store when all are pinned") {
            val cache = PrefixCache(capacity = 1)
            cache.store(1, null, 1024)
            cache.pin(1)
            cache.store(2, null, 1024) shouldBe false
            cache.unpin(1)
            cache.store(2, null, 1024) shouldBe true
        }
    }
})
