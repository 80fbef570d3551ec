package io.otterknot.wire

import io.otterknot.testing.MAX_NESTED_LEVELS
import io.otterknot.testing.nested
import io.otterknot.testing.onControllerStack
import io.otterknot.testing.smallJob
import io.otterknot.testing.submissionBodyWith
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** Guards against messages whose nesting overflows the stack of a controller, which then ended (review/2). */
class NestedMessageTest {
    class InvalidSubmission(private val name: String, val body: String, val refusal: String) {
        override fun toString() = name
    }

    class NestedValue(private val name: String, val json: String) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("invalidSubmissions")
    fun `a malformed submission is refused whatever it nests`(case: InvalidSubmission) {
        val body = case.body.encodeToByteArray()
        val failure =
            assertThrows(MalformedMessageException::class.java) { onControllerStack { parseSubmission(body) } }
        assertEquals(case.refusal, failure.message)
    }

    @ParameterizedTest
    @MethodSource("nestedValues")
    fun `a submission is read whatever its unknown fields nest`(value: NestedValue) {
        val body = submission("\"Extra\":${value.json}").encodeToByteArray()
        assertEquals("j-000412", onControllerStack { peekSubmissionId(body) })
        val expected = parseSubmission(submission("\"Extra\":1").encodeToByteArray())
        assertEquals(expected, onControllerStack { parseSubmission(body) })
    }

    @ParameterizedTest
    @MethodSource("nestedValues")
    fun `a heartbeat is read whatever its unknown fields nest, and refused if a known field nests`(value: NestedValue) {
        val known = """"Holt":"m","Breed":"g","Reach":"a","Dive":1"""
        val valid = """{$known,"Ripple":1,"Extra":${value.json}}""".encodeToByteArray()
        assertEquals("m", onControllerStack { parseHeartbeat(valid) }.machine)
        for (field in listOf("Ripple", "Chores", "WarningS")) {
            val invalid = """{$known,"$field":${value.json}}""".encodeToByteArray()
            assertThrows(MalformedMessageException::class.java) { onControllerStack { parseHeartbeat(invalid) } }
        }
    }

    @ParameterizedTest
    @MethodSource("nestedValues")
    fun `values of the store are read whatever they nest`(value: NestedValue) {
        val record = """{"jobs":["j-1"],"extra":${value.json}}"""
        val page = onControllerStack {
            decodeJson(KeyValuePage.serializer(), """{"Pairs":[{"Key":"o/a","V":$record,"Mark":1}],"Tide":2}""")
        }
        val events = onControllerStack {
            decodeJson(WatchEvents.serializer(), """{"Log":[{"Put":"o/a","V":$record,"Mark":1}],"Tide":2}""")
        }
        for (read in listOf(page.items.single().value, events.events.single().value!!)) {
            assertEquals(parseJson("""["j-1"]"""), read.jsonObject["jobs"])
            // Records are compared and written again, which recurses as well.
            onControllerStack { assertEquals(read, parseJson(read.toString())) }
        }
    }

    @Test
    fun `what is nested beyond the limit is read as null, and nothing else`() {
        val limit = MAX_JSON_NESTING
        assertEquals(nest(limit, JsonArray(emptyList())), parseJson(nested(limit)))
        assertEquals(nest(limit, JsonArray(listOf(JsonNull))), parseJson(nested(limit + 1)))
        assertEquals(nest(limit, JsonArray(listOf(JsonNull))), parseJson(arrays))
        val brackets = "[".repeat(LEVELS) + "\\\"" + "{".repeat(LEVELS)
        val text = parseJson("""{"a":$arrays,"b":"$brackets"}""").jsonObject.getValue("b").jsonPrimitive.content
        assertEquals(brackets.replace("\\", ""), text)
    }

    /** Returns [innermost] as the array at [depth]. */
    private fun nest(depth: Int, innermost: JsonElement): JsonElement =
        (1 until depth).fold(innermost) { element, _ -> JsonArray(listOf(element)) }

    companion object {
        private const val LEVELS = MAX_NESTED_LEVELS
        private val arrays = nested(LEVELS)

        private fun submission(last: String) = submissionBodyWith(smallJob("j-000412"), last).decodeToString()

        @JvmStatic
        fun invalidSubmissions() = listOf(
            InvalidSubmission("arrays", arrays, "not a JSON object"),
            InvalidSubmission("arrays that are not closed", "[".repeat(60_000), "not JSON"),
            InvalidSubmission("closing brackets", "]".repeat(60_000), "not JSON"),
            InvalidSubmission("arrays closed once too often", "$arrays]", "not JSON"),
            InvalidSubmission("arrays closed as objects", nested(LEVELS, closing = "}"), "not JSON"),
            InvalidSubmission("objects without names", nested(LEVELS, opening = "{", closing = "}"), "not JSON"),
            InvalidSubmission(
                "an error in the innermost array",
                submission("\"Extra\":${arrays.replace("[]", "[1 2]")}"),
                "not JSON",
            ),
            InvalidSubmission("text after arrays", "$arrays x", "not JSON"),
            InvalidSubmission("a string without end after arrays", "$arrays\"", "not JSON"),
            InvalidSubmission("a string that ends with a backslash after arrays", "$arrays\"\\", "not JSON"),
            InvalidSubmission("arrays for a number", submission("\"DueS\":$arrays"), "DueS is not a number"),
            InvalidSubmission("arrays for a text", submission("\"Reach\":$arrays"), "Reach is not a string"),
            InvalidSubmission("arrays in a list of names", submission("\"Breeds\":$arrays"), "Breeds is not a string"),
            InvalidSubmission("objects for a list", submission("\"Awaits\":${objects()}"), "Awaits is not a list"),
            InvalidSubmission(
                "a number without end",
                submission("\"DueS\":${"9".repeat(60_000)}"),
                "DueS is negative or not finite",
            ),
            InvalidSubmission("arrays for the id", """{"Uid":$arrays}""", "Uid is not a string"),
        )

        @JvmStatic
        fun nestedValues() = listOf(
            NestedValue("arrays", arrays),
            NestedValue("objects", objects()),
            NestedValue("arrays in objects", nested(LEVELS / 4, opening = """{"a":[""", closing = "]}")),
            NestedValue("arrays side by side", "[" + nested(1_000).plus(",").repeat(25) + "1]"),
            NestedValue("brackets in strings", nested(LEVELS, "\"]]\\\"[{\"")),
        )

        private fun objects() = nested(LEVELS / 4, "1", opening = """{"a":""", closing = "}")
    }
}
