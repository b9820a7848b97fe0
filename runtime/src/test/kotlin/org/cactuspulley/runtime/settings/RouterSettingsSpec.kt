package org.cactuspulley.runtime.settings

import com.github.michaelbull.result.getError
import com.github.michaelbull.result.getOrThrow
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Path

class RouterSettingsSpec : DescribeSpec({
    describe("settings with the keys that have no default") {
        it("take the defaults for all others") {
            val settings = parseRouterSettings(MINIMAL_SETTINGS, "router.toml").getOrThrow { AssertionError(it.message) }
            settings.instance shouldBe InstanceSettings("a-1", "zone-a")
            settings.routing.policyName shouldBe RoutingPolicyName.PREFIX_AWARE
            settings.limits shouldBe ConnectionLimits()
            settings.platform.log shouldBe listOf("127.0.0.1:7000")
        }
    }

    describe("settings that can't be used") {
        it("name the file that can't be read") {
            loadRouterSettings(Path.of("no-such.toml")).getError().shouldBeInstanceOf<SettingsError.FileUnreadable>()
                .file shouldBe "no-such.toml"
        }

        it("name the key that is missing") {
            errorFor(MINIMAL_SETTINGS.replace("zone = \"zone-a\"\n", "")).shouldBeInstanceOf<SettingsError.KeyMissing>()
                .key shouldContain "zone"
        }

        it("name the key that is unknown") {
            errorFor(MINIMAL_SETTINGS.replace("zone =", "zoen = \"z\"\nzone =")).shouldBeInstanceOf<SettingsError.KeyUnknown>()
                .key shouldContain "zoen"
        }

        it("name the values that are allowed") {
            errorFor("$MINIMAL_SETTINGS\n[routing]\npolicy = \"random\"\n") shouldBe SettingsError.ValueNotAllowed(
                "router.toml",
                "routing.policy",
                "random",
                "prefix-aware | round-robin | least-loaded | prefix-hash",
            )
        }

        it("never show the secret") {
            val error = errorFor(MINIMAL_SETTINGS.replace("0123456789abcdef", "short"))
            error.message shouldContain "peers.secret"
            error.message.contains("= short") shouldBe false
        }

        it("say that a value has the wrong type") {
            errorFor(MINIMAL_SETTINGS.replace("port = 8080", "port = \"many\"")).message shouldContain "router.toml"
        }

        it("refuse a port that does not exist") {
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
