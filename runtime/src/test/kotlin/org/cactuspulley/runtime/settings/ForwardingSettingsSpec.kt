package org.cactuspulley.runtime.settings

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import com.github.michaelbull.result.map
import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import java.nio.file.Path

class ForwardingSettingsSpec : DescribeSpec({
    val text = """
        [instance]
        id = "front-1"
        zone = "zone-a"
        [listen]
        callers = "10.0.0.1:8606"
        questions = ["10.0.0.1:8605"]
        peers = "10.0.0.1:7600"
        [store]
        address = "10.0.0.9:8601"
    """.trimIndent()

    fun errorFor(settings: String) = parseForwardingSettings(settings, "node.toml").getError()

    describe("settings of a forwarding instance") {
        it("require only the instance, the listen addresses and the address of the log") {
            val settings = parseForwardingSettings(text, "node.toml").get()
            settings?.instance?.id shouldBe "front-1"
            settings?.bounds shouldBe FleetBounds()
        }

        it("accept bounds as integers or floats, because a template renders either") {
            val bounds = "retry_ratio = 1\nretry_slack = 37.7358490566\nrate_window_seconds = 8\nrate_slack_tokens = 110000"
            val expected = FleetBounds(retryRatio = 1.0, retrySlack = 37.7358490566, rateWindowSeconds = 8.0, rateSlackTokens = 110_000.0)
            parseForwardingSettings("$text\n[bounds]\n$bounds", "node.toml").map { it.bounds } shouldBe Ok(expected)
        }

        it("reject a bound that is not a number") {
            errorFor("$text\n[bounds]\nretry_slack = true").shouldBeInstanceOf<SettingsError.Malformed>()
        }

        it("have a sample file that matches the defaults") {
            val sample = loadForwardingSettings(Path.of("..", "settings", "forwarding", "instance.toml")).get()
            sample?.bounds shouldBe FleetBounds()
        }

        it("report a missing key") {
            errorFor(text.replace("zone = \"zone-a\"", "")).shouldBeInstanceOf<SettingsError.KeyMissing>().message shouldContain "zone"
        }

        it("report an unknown key and list the known keys") {
            val error = errorFor("$text\nport = 1").shouldBeInstanceOf<SettingsError.KeyUnknown>()
            error.known.contains("store.address") shouldBe true
        }

        it("reject malformed addresses, bounds out of range and unknown log formats") {
            errorFor(text.replace("10.0.0.9:8601", "nowhere")).shouldBeInstanceOf<SettingsError.ValueNotAllowed>().key shouldBe
                "store.address"
            errorFor("$text\n[bounds]\nretry_ratio = 1.5").shouldBeInstanceOf<SettingsError.ValueNotAllowed>().key shouldBe
                "bounds.retry_ratio"
            errorFor("$text\n[bounds]\nexposure_ratio = 1.5").shouldBeInstanceOf<SettingsError.ValueNotAllowed>().key shouldBe
                "bounds.exposure_ratio"
            errorFor("$text\n[log]\nformat = \"xml\"").shouldBeInstanceOf<SettingsError.ValueNotAllowed>().key shouldBe "log.format"
        }
    }
})
