package org.cactuspulley.core.entry

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.comparables.shouldBeGreaterThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.configuration.Configuration
import org.cactuspulley.core.configuration.Profile
import org.cactuspulley.core.configuration.Versioned
import org.cactuspulley.core.configuration.Workspace
import org.cactuspulley.core.event.ConfigurationChanged
import org.cactuspulley.core.event.MembershipChanged
import org.cactuspulley.core.event.StopRequested
import org.cactuspulley.core.membership.Instance
import org.cactuspulley.core.membership.InstanceState
import org.cactuspulley.core.membership.Membership
import org.cactuspulley.core.model.InstanceId
import org.cactuspulley.core.model.InstanceIncarnation
import org.cactuspulley.core.model.LogOffset
import org.cactuspulley.core.model.MonotonicTime
import org.cactuspulley.core.model.ProfileName
import org.cactuspulley.core.model.WorkspaceId
import org.cactuspulley.core.model.ZoneName
import kotlin.time.Duration.Companion.minutes

class EntryDirectorySpec : DescribeSpec({
    val workspace = WorkspaceId("guild")
    val now = MonotonicTime.ZERO

    fun instance(number: Int, state: InstanceState = InstanceState.LIVE) =
        Instance(InstanceId("i$number"), InstanceIncarnation(1), "10.0.0.$number:80", "", ZoneName("z${number % 4}"), state)

    fun directory(self: Int, leaving: Set<Int> = emptySet(), homes: List<Int> = emptyList()) =
        EntryDirectory(InstanceId("i$self"), homes = { homes.map { InstanceId("i$it") } }).apply {
            val instances = (1..8).map { instance(it, if (it in leaving) InstanceState.LEAVING else InstanceState.LIVE) }
            handle(MembershipChanged(Membership(InstanceId("i$self"), instances.associateBy { it.id })), now)
        }

    describe("an answer") {
        it("names the same instances regardless of the answering instance") {
            val answers = (1..8).map { self -> directory(self).answer(workspace, null, now).addresses.map { it.instance } }
            answers.distinct() shouldHaveSize 1
        }

        it("names the holders of the workspace's shares first") {
            val answer = directory(1, homes = listOf(5, 2)).answer(workspace, null, now)
            answer.addresses.map { it.instance.text } shouldBe listOf("i5", "i2")
        }

        it("lists instances in the caller's zone first") {
            val answer = directory(1, homes = listOf(5, 2)).answer(workspace, ZoneName("z2"), now)
            answer.addresses.map { it.instance.text } shouldBe listOf("i2", "i5")
        }

        it("names more instances for a workspace with a larger grant") {
            val directory = directory(1)
            val profile = Versioned(Profile(ProfileName("p"), 450_000, 1), LogOffset.FIRST)
            val granted = Versioned(Workspace(workspace, listOf(ProfileName("p"))), LogOffset.FIRST)
            val configuration = Configuration(profiles = mapOf(ProfileName("p") to profile), workspaces = mapOf(workspace to granted))
            directory.handle(ConfigurationChanged(configuration), now)
            directory.answer(workspace, null, now).addresses shouldHaveSize 5
        }
    }

    describe("a leaving instance") {
        it("is not named by other instances, even if it holds shares") {
            val answer = directory(1, leaving = setOf(5), homes = listOf(5, 2)).answer(workspace, null, now)
            answer.addresses.map { it.instance.text } shouldNotContain "i5"
            answer.addresses shouldHaveSize 2
        }

        it("does not name itself and reports when earlier answers that name it have expired") {
            val directory = directory(5, homes = listOf(5, 2))
            val earlier = directory.answer(workspace, null, now)
            directory.handle(StopRequested(now + 1.minutes), now)
            directory.answer(workspace, null, now).addresses.map { it.instance.text } shouldNotContain "i5"
            directory.advertisedUntil.shouldNotBeNull() shouldBeGreaterThanOrEqualTo earlier.validUntil
        }

        it("changes only the answers that named it") {
            val workspaces = (1..200).map { WorkspaceId("w$it") }
            val before = workspaces.associateWith { directory(1).answer(it, null, now).addresses.map { address -> address.instance.text } }
            val after = workspaces.associateWith {
                directory(1, setOf(5)).answer(it, null, now).addresses.map { address -> address.instance.text }
            }
            workspaces.filter { "i5" !in before.getValue(it) }.forEach {
                after.getValue(it) shouldContainExactlyInAnyOrder before.getValue(it)
            }
        }
    }
})
