package io.otterknot.testing

import io.otterknot.wire.MAX_JSON_NESTING
import kotlin.random.Random

/** Nested arrays or objects of a message of the largest allowed size, in levels. */
const val MAX_NESTED_LEVELS = 30_000

/** Returns [innermost] within [levels] arrays, or other brackets. */
fun nested(levels: Int, innermost: String = "", opening: String = "[", closing: String = "]"): String =
    opening.repeat(levels) + innermost + closing.repeat(levels)

/** Texts, drawn by [random], that are JSON, nearly JSON or nested without end. */
class HostileText(private val random: Random) {
    fun json(): String = if (random.nextInt(3) == 0) fragments() else damaged(value(budget = 6))

    /** A message of [fields], of which one is replaced, or to which one is added. */
    fun withField(fields: List<String>): String {
        val name = (fields.map { it.substringBefore(':') } + "\"Extra\"").random(random)
        val others = fields.filter { !it.startsWith("$name:") }
        return (others + "$name:${json()}").shuffled(random).joinToString(",", "{", "}")
    }

    private fun value(budget: Int): String = when (if (budget == 0) random.nextInt(2) else random.nextInt(6)) {
        0 -> SCALARS.random(random)
        1 -> "\"" + List(random.nextInt(4)) { STRING_PARTS.random(random) }.joinToString("") + "\""
        2 -> List(random.nextInt(4)) { value(budget - 1) }.joinToString(",", "[", "]")
        3 -> List(random.nextInt(4)) { "\"k$it\":" + value(budget - 1) }.joinToString(",", "{", "}")
        4 -> nested(levels(), value(budget - 1))
        else -> nested(levels() / 3, value(budget - 1), "{\"a\":[", "]}")
    }

    /** Often near a multiple of the limit, where arrays and objects begin to be replaced. */
    private fun levels() = when (random.nextInt(3)) {
        0 -> random.nextInt(1, 4)
        1 -> MAX_JSON_NESTING * random.nextInt(1, 4) + random.nextInt(-2, 3)
        else -> random.nextInt(MAX_LEVELS)
    }

    /** Inserts or removes a piece of [text], cuts off its end, or leaves it as it is. */
    private fun damaged(text: String): String {
        val at = random.nextInt(text.length + 1)
        val until = minOf(text.length, at + random.nextInt(1, 4))
        return when (random.nextInt(5)) {
            0 -> text.take(at) + FRAGMENTS.random(random) + text.drop(at)
            1 -> text.take(at) + text.drop(until)
            2 -> text.take(at)
            else -> text
        }
    }

    private fun fragments() = List(random.nextInt(8)) {
        FRAGMENTS.random(random).repeat(if (random.nextInt(3) == 0) random.nextInt(MAX_LEVELS) else 1)
    }.joinToString("")

    private companion object {
        const val MAX_LEVELS = 9_000
        val SCALARS = listOf("1", "-0.5e3", "true", "null", "1e999", "9".repeat(400), "0x1p3", "NaN", "01", "j")
        val STRING_PARTS = listOf("a", "\\\"", "\\\\", "[", "]}", "{", "\\u00e9", "ł", ",", ":", "\\n", "😀")
        val FRAGMENTS =
            "[ ] { } \" \\ , : null 1 \"a\": [] {\"a\": \n \u0000".split(' ') + " "
    }
}
