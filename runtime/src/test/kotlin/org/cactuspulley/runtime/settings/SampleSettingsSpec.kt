package org.cactuspulley.runtime.settings

import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.name

class SampleSettingsSpec : DescribeSpec({
    val samples = Files.list(Path.of("..", "settings")).use { files -> files.filter { it.name.endsWith(".toml") }.toList() }

    describe("the sample settings") {
        it("consist of one file for each deployment") {
            samples.map { it.name } shouldContainExactlyInAnyOrder listOf("cascadia.toml", "queensland.toml")
        }

        samples.forEach { sample ->
            it("in ${sample.name} are valid and match the defaults") {
                val settings = loadRouterSettings(sample).getOrThrow { AssertionError(it.message) }
                settings.limits shouldBe ConnectionLimits()
                settings.leases shouldBe LeaseSettings()
                settings.configuration shouldBe ConfigurationSettings()
                settings.routing shouldBe RoutingPolicySettings()
                settings.stop shouldBe StopSettings()
            }
        }
    }
})
