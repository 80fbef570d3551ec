package io.otterknot.wire

private val JSON_LITERAL = Regex("true|false|null|-?(0|[1-9][0-9]*)([.][0-9]+)?([eE][+-]?[0-9]+)?")
private const val DELIMITERS = "[]{},:\" \t\r\n"

/**
 * Whether all strings and literals of [text] are as in RFC 8259: the JSON library takes every word for a literal, and
 * allows control characters in strings. How the tokens are put together is left to the library.
 */
internal fun hasValidJsonTokens(text: String): Boolean {
    var index = 0
    while (index < text.length) {
        val end = endOfToken(text, index)
        val isValid = when (text[index]) {
            '"' -> (index until end).all { text[it] >= ' ' }
            in DELIMITERS -> true
            else -> JSON_LITERAL.matches(text.substring(index, end))
        }
        if (!isValid) return false
        index = end
    }
    return true
}

/** Returns the index after the token that begins at [start]. */
private fun endOfToken(text: String, start: Int): Int {
    if (text[start] == '"') return endOfJsonString(text, start)
    var end = start + 1
    if (text[start] !in DELIMITERS) while (end < text.length && text[end] !in DELIMITERS) end++
    return end
}
