package org.cactuspulley.core.instance

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.configuration.Workspace
import org.cactuspulley.core.effect.CoreEffect
import org.cactuspulley.core.effect.FollowStream
import org.cactuspulley.core.event.RecordsRead
import org.cactuspulley.core.event.TimerFired
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.StreamName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import org.cactuspulley.core.record.PutProfile
import org.cactuspulley.core.record.PutWorkspace
import org.cactuspulley.core.record.StoredRecord
import kotlin.time.Duration.Companion.milliseconds

/** Runs the example of docs/EMBEDDING.md. */
class EmbeddingExampleSpec : FunSpec({
    test("an embedding program runs the whole core on its own clock") {
        val self = Instance(InstanceId("i1"), InstanceIncarnation(1), "127.0.0.1:8080", "127.0.0.1:9080", ZoneName("a"))
        val assembly = CoreAssembly(self)
        var now = MonotonicTime.ZERO
        val effects = mutableListOf<CoreEffect>()

        effects += assembly.core.handle(TimerFired, now)
        effects shouldContain FollowStream(StreamName.OPERATORS, LogOffset.FIRST)

        val askedAt = now
        now += 5.milliseconds
        val profile = Profile(ProfileName("questions"), tokensPerSecond = 1_000, burstTokens = 5_000)
        val workspace = Workspace(WorkspaceId("w"), listOf(profile.name))
        val records = listOf(PutProfile(profile), PutWorkspace(workspace)).mapIndexed { offset, record ->
            StoredRecord(LogOffset(offset.toLong()), RecordId("r$offset"), record)
        }
        effects += assembly.core.handle(
            RecordsRead(StreamName.OPERATORS, records, LogOffset(2), LogOffset.FIRST, reachedTail = true, askedAt = askedAt),
            now,
        )
        assembly.configuration.effective.workspaces.getValue(workspace.id).value shouldBe workspace

        repeat(100) {
            now = maxOf(now, assembly.core.nextDeadline ?: now)
            effects += assembly.core.handle(TimerFired, now)
        }
    }
})
