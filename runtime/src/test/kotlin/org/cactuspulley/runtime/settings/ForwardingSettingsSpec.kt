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
        it("need only who it is, where it listens and where the log is") {
            val settings = parseForwardingSettings(text, "node.toml").get()
            settings?.instance?.id shouldBe "front-1"
            settings?.bounds shouldBe FleetBounds()
        }

        it("take figures with and without a fraction, as a template renders them") {
            val bounds = "retry_ratio = 1\nretry_slack = 37.7358490566\nrate_window_seconds = 8\nrate_slack_tokens = 110000"
            val expected = FleetBounds(retryRatio = 1.0, retrySlack = 37.7358490566, rateWindowSeconds = 8.0, rateSlackTokens = 110_000.0)
            parseForwardingSettings("$text\n[bounds]\n$bounds", "node.toml").map { it.bounds } shouldBe Ok(expected)
        }

        it("name the figure that is no number") {
            errorFor("$text\n[bounds]\nretry_slack = true").shouldBeInstanceOf<SettingsError.Malformed>()
        }

        it("stand as a sample that spells out the defaults") {
            val sample = loadForwardingSettings(Path.of("..", "settings", "forwarding", "instance.toml")).get()
            sample?.bounds shouldBe FleetBounds()
        }

        it("name the key that is missing") {
            errorFor(text.replace("zone = \"zone-a\"", "")).shouldBeInstanceOf<SettingsError.KeyMissing>().message shouldContain "zone"
        }

        it("name a key that does not exist, and those that do") {
            val error = errorFor("$text\nport = 1").shouldBeInstanceOf<SettingsError.KeyUnknown>()
            error.known.contains("store.address") shouldBe true
        }

        it("refuse addresses and figures that can't be used") {
            errorFor(text.replace("10.0.0.9:8601", "nowhere")).shouldBeInstanceOf<SettingsError.ValueNotAllowed>().key shouldBe
                "store.address"
            errorFor("$text\n[bounds]\nretry_ratio = 1.5").shouldBeInstanceOf<SettingsError.ValueNotAllowed>().key shouldBe
                "bounds.retry_ratio"
            errorFor("$text\n[log]\nformat = \"xml\"").shouldBeInstanceOf<SettingsError.ValueNotAllowed>().key shouldBe "log.format"
        }
    }
})
