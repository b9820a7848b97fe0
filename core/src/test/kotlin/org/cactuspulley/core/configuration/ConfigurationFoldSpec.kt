package org.cactuspulley.core.configuration

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.RecordId
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.record.ConfigurationSnapshot
import org.cactuspulley.core.record.GiveKey
import org.cactuspulley.core.record.LogRecord
import org.cactuspulley.core.record.PutFleetPlan
import org.cactuspulley.core.record.PutProfile
import org.cactuspulley.core.record.PutWorkspace
import org.cactuspulley.core.record.RemoveProfile
import org.cactuspulley.core.record.StoredRecord
import org.cactuspulley.core.record.UnreadableRecord
import org.cactuspulley.core.record.WithdrawKey

class ConfigurationFoldSpec : DescribeSpec({
    val desk = Profile(ProfileName("desk"), tokensPerSecond = 100, burstTokens = 500)
    val workspace = Workspace(WorkspaceId("w"), listOf(desk.name))
    val key = KeyGrant(keyDigestOf("secret-key"), workspace.id, "tablet")

    describe("a change with an expected version") {
        it("is accepted if the value has not changed since that version") {
            val raised = desk.copy(tokensPerSecond = 200)
            val step = fold(PutProfile(desk), PutProfile(raised, LogOffset(0)))
            step.configuration.profiles[desk.name] shouldBe Versioned(raised, LogOffset(1))
        }

        it("is rejected if another change precedes it in the log") {
            val first = desk.copy(tokensPerSecond = 200)
            val second = desk.copy(tokensPerSecond = 50)
            val step = fold(PutProfile(desk), PutProfile(first, LogOffset(0)), PutProfile(second, LogOffset(0)))
            step.outcome shouldBe RecordOutcome.Rejected(ConfigurationConflict.VersionConflict(LogOffset(0), LogOffset(1)))
            step.configuration.profiles.getValue(desk.name).value shouldBe first
        }

        it("is rejected if another first change of the fleet plan precedes it") {
            val step = fold(PutFleetPlan(FleetPlan(slotCount = 16), UNSET_VERSION), PutFleetPlan(FleetPlan(slotCount = 4), UNSET_VERSION))
            step.outcome.shouldBeInstanceOf<RecordOutcome.Rejected>()
            step.configuration.plan.value.slotCount shouldBe 16
        }
    }

    describe("a key") {
        it("belongs to its workspace until it is withdrawn") {
            fold(PutProfile(desk), PutWorkspace(workspace), GiveKey(key)).configuration.keys[key.digest] shouldBe key
        }

        it("can't be given to a workspace again after its withdrawal") {
            val step = fold(PutProfile(desk), PutWorkspace(workspace), WithdrawKey(key.digest), GiveKey(key))
            step.outcome shouldBe RecordOutcome.Rejected(ConfigurationConflict.KeyWithdrawn(key.digest))
            step.configuration.keys.keys shouldBe emptySet()
        }

        it("can't be given to a workspace that does not exist") {
            fold(GiveKey(key)).outcome shouldBe RecordOutcome.Rejected(ConfigurationConflict.WorkspaceUnknown(workspace.id))
        }
    }

    describe("a profile that a workspace lists") {
        it("can't be removed") {
            fold(PutProfile(desk), PutWorkspace(workspace), RemoveProfile(desk.name, LogOffset(0))).outcome shouldBe
                RecordOutcome.Rejected(ConfigurationConflict.ProfileInUse(desk.name, workspace.id))
        }
    }

    describe("the offset of the configuration") {
        it("advances past records that change nothing") {
            fold(UnreadableRecord, ConfigurationSnapshot(Configuration()), RemoveProfile(desk.name, LogOffset(9)))
                .configuration shouldBe Configuration(next = LogOffset(3))
        }

        it("does not move back when an earlier record is applied") {
            val state = fold(PutProfile(desk)).configuration
            state.applyRecord(StoredRecord(LogOffset(0), RecordId("late"), PutProfile(desk.copy(weight = 2)))) shouldBe
                FoldStep(state, RecordOutcome.Ignored)
        }
    }
})

private fun fold(vararg records: LogRecord): FoldStep =
    records.foldIndexed(FoldStep(Configuration(), RecordOutcome.Ignored)) { index, step, record ->
        step.configuration.applyRecord(StoredRecord(LogOffset(index.toLong()), RecordId("r$index"), record))
    }
