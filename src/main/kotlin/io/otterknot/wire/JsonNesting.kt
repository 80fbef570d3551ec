package io.otterknot.wire

import it.unimi.dsi.fastutil.ints.IntArrayList
import kotlinx.serialization.SerializationException

/**
 * The deepest nesting of arrays and objects that the JSON library is given, in levels. It reads nested arrays by
 * recursion, and 64 levels take a small part of a controller's stack of 256 KiB. No message or record that this program
 * reads has more than ten.
 */
internal const val MAX_JSON_NESTING = 64

/**
 * Returns [text] with every array and object that is nested more than [MAX_JSON_NESTING] levels deep replaced by null.
 * What is replaced is part of an unknown field, or of a field that is invalid since it is not that deep. It is parsed
 * before, [MAX_JSON_NESTING] levels at a time, so text that is not JSON is still recognized. A text that is not nested
 * deeper, as all usual ones, is returned as it is.
 *
 * @throws SerializationException if a deeply nested text is not JSON
 */
internal fun limitJsonNesting(text: String): String =
    if (isNestedTooDeep(text)) NestedJsonReducer(text).reduce() else text

private fun isNestedTooDeep(text: String): Boolean {
    var depth = 0
    var index = 0
    while (index < text.length) {
        when (text[index++]) {
            '"' -> index = endOfJsonString(text, index - 1)
            '[', '{' -> if (++depth > MAX_JSON_NESTING) return true
            ']', '}' -> depth--
        }
    }
    return false
}

/** Returns the index after the string that begins at [start], or the end of [text] if that string has no end. */
internal fun endOfJsonString(text: String, start: Int): Int {
    var index = start + 1
    while (index < text.length && text[index] != '"') index += if (text[index] == '\\') 2 else 1
    return minOf(index + 1, text.length)
}

/**
 * Replaces deeply nested arrays and objects from the innermost outwards. Whether brackets match in kind is left to the
 * JSON library, which parses each replaced part and, at last, the remaining text.
 */
private class NestedJsonReducer(private val text: String) {
    private val reduced = StringBuilder(text.length)

    /** Where each of the arrays and objects that are open now begins in [reduced]. */
    private val starts = IntArrayList()

    fun reduce(): String {
        var index = 0
        while (index < text.length) {
            val end = if (text[index] == '"') endOfJsonString(text, index) else index + 1
            if (text[index] == '[' || text[index] == '{') starts.push(reduced.length)
            reduced.append(text, index, end)
            if (text[index] == ']' || text[index] == '}') close()
            index = end
        }
        if (!starts.isEmpty) throw SerializationException("${starts.size} arrays and objects are not closed")
        return reduced.toString()
    }

    private fun close() {
        if (starts.isEmpty) throw SerializationException("a closing bracket has no opening one")
        val start = starts.popInt()
        val enclosing = starts.size
        if (enclosing == 0 || enclosing % MAX_JSON_NESTING != 0) return
        WireJson.parseToJsonElement(reduced.substring(start))
        reduced.setLength(start)
        reduced.append("null")
    }
}
