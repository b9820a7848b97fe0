package org.cactuspulley.runtime.edge

import io.kotest.core.spec.style.DescribeSpec
import io.kotest.matchers.shouldBe
import org.cactuspulley.core.routing.splitPrompt

private fun readChat(body: String) = ModelRequestReader(isChat = true).read(body.toByteArray())

private fun readCompletion(body: String) = ModelRequestReader(isChat = false).read(body.toByteArray())

private fun promptOf(text: String) = splitPrompt(text)

class ModelRequestReaderSpec : DescribeSpec({
    describe("a chat request") {
        it("has the contents of its messages as the prompt, and its other fields") {
            val request = readChat(
                """{"stream":true,"messages":[{"role":"system","content":"one"},""" +
                    """{"content":[{"type":"text","text":"two"},{"text":"three"}]}],""" +
                    """"other":{"model":"no","list":[1,{"a":[]}]},"model":"m","adapter":"a","max_tokens":7}""",
            )
            request shouldBe ModelRequest("m", "a", promptOf("one\ntwo\nthree"), 7, true)
        }

        it("may leave out all but its model and messages") {
            readChat("""{"model":"m","messages":[{"content":""}]}""") shouldBe ModelRequest("m", null, promptOf(""), null, false)
        }

        it("has the newer field for output tokens if it has both") {
            readChat(
                """{"model":"m","max_tokens":7,"max_completion_tokens":5,"messages":[{"content":"x"}]}""",
            )?.maximumOutputTokens shouldBe
                5
        }

        // The pieces decide which engine holds the prompt, so they must not depend on how it was read.
        it("has the same pieces as its text, however long and in however many parts") {
            val texts = List(300) { index -> "part $index ".repeat(index) }
            val messages = texts.joinToString(",") { """{"content":"$it"}""" }
            readChat("""{"model":"m","messages":[$messages]}""")?.prompt shouldBe promptOf(texts.joinToString("\n"))
        }
    }

    describe("a completion request") {
        it("has its prompt") {
            readCompletion("""{"model":"m","prompt":"a \"b\" \u00fc","messages":[1]}""")?.prompt shouldBe promptOf("a \"b\" \u00fc")
        }
    }

    describe("a body") {
        val invalid = listOf(
            "", "[]", "1", "{", """{"model":"m"}""", """{"messages":[{"content":"x"}]}""", """{"model":1,"messages":[{"content":"x"}]}""",
            """{"model":"m","messages":[]}""", """{"model":"m","messages":{}}""", """{"model":"m","messages":["x"]}""",
            """{"model":"m","messages":[{}]}""", """{"model":"m","messages":[{"content":null}]}""",
            """{"model":"m","messages":[{"content":{"text":"x"}}]}""", """{"model":"m","messages":[{"content":["x"]}]}""",
            """{"model":"m","messages":[{"content":[{"text":1}]}]}""", """{"model":"m","max_tokens":0,"messages":[{"content":"x"}]}""",
            """{"model":"m","max_tokens":"many","messages":[{"content":"x"}]}""",
            """{"model":"m","max_tokens":{},"messages":[{"content":"x"}]}""",
            """{"model":"m","messages":[{"content":"x"}]} {}""",
        )
        for (body in invalid) {
            it("is refused if it is '$body'") {
                readChat(body) shouldBe null
            }
        }

        // The name is held until the response, beside the body.
        it("is refused if its model has a name of more than 1,024 characters") {
            fun withModel(length: Int) = readChat("""{"model":"${"m".repeat(length)}","messages":[{"content":"x"}]}""")
            withModel(1_024)?.model shouldBe "m".repeat(1_024)
            withModel(1_025) shouldBe null
        }

        it("is refused in another encoding than UTF-8, in which the search for the key would miss it") {
            val body = """{"model":"m","messages":[{"content":"x"}]}"""
            ModelRequestReader(isChat = true).read(body.toByteArray(Charsets.UTF_16BE)) shouldBe null
            ModelRequestReader(isChat = true).read(body.toByteArray() + byteArrayOf(-1)) shouldBe null
        }
    }
})
