package org.cactuspulley.runtime.settings

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Path

class RouterSettingsSpec : DescribeSpec({
    describe("settings with only the required keys") {
        it("use defaults for all other keys") {
            val settings = parseRouterSettings(MINIMAL_SETTINGS, "router.toml").getOrThrow { AssertionError(it.message) }
            settings.instance shouldBe InstanceSettings("a-1", "zone-a")
            settings.routing.policyName shouldBe RoutingPolicyName.PREFIX_AWARE
            settings.limits shouldBe ConnectionLimits()
            settings.platform.log shouldBe listOf("127.0.0.1:7000")
        }
    }

    describe("invalid settings") {
        it("report a file that cannot be read") {
            loadRouterSettings(Path.of("no-such.toml")).getError().shouldBeInstanceOf<SettingsError.FileUnreadable>()
                .file shouldBe "no-such.toml"
        }

        it("report a missing key") {
            errorFor(MINIMAL_SETTINGS.replace("zone = \"zone-a\"\n", "")).shouldBeInstanceOf<SettingsError.KeyMissing>()
                .key shouldContain "zone"
        }

        it("report an unknown key") {
            errorFor(MINIMAL_SETTINGS.replace("zone =", "zoen = \"z\"\nzone =")).shouldBeInstanceOf<SettingsError.KeyUnknown>()
                .key shouldContain "zoen"
        }

        it("report the allowed values") {
            errorFor("$MINIMAL_SETTINGS\n[routing]\npolicy = \"random\"\n") shouldBe SettingsError.ValueNotAllowed(
                "router.toml",
                "routing.policy",
                "random",
                "prefix-aware | round-robin | least-loaded | prefix-hash",
            )
        }

        it("report an invalid secret without revealing it") {
            val error = errorFor(MINIMAL_SETTINGS.replace("0123456789abcdef", "short"))
            error.message shouldContain "peers.secret"
            error.message.contains("= short") shouldBe false
        }

        it("report a value of the wrong type") {
            errorFor(MINIMAL_SETTINGS.replace("port = 8080", "port = \"many\"")).message shouldContain "router.toml"
        }

        it("report a port that is out of range") {
            errorFor(MINIMAL_SETTINGS.replace("port = 8080", "port = 99999")).shouldBeInstanceOf<SettingsError.ValueNotAllowed>()
                .key shouldBe "listen.port"
        }
    }
})

private fun errorFor(text: String): SettingsError =
    parseRouterSettings(text, "router.toml").getError() ?: throw AssertionError("the settings were accepted")

private const val MINIMAL_SETTINGS = """
[instance]
id = "a-1"
zone = "zone-a"

[listen]
host = "127.0.0.1"
port = 8080

[peers]
host = "127.0.0.1"
port = 8081
secret = "0123456789abcdef"

[platform]
log = ["127.0.0.1:7000"]
list = ["127.0.0.1:7001"]
"""
