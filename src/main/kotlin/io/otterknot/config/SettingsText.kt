package io.otterknot.config

import us.bpsm.edn.Tag
import us.bpsm.edn.parser.Parsers
import us.bpsm.edn.parser.Scanners
import us.bpsm.edn.parser.Token
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.Files
import java.nio.file.Path

/** The largest settings file in bytes. The libraries that parse one need several times its size. */
internal const val MAX_SETTINGS_BYTES = 256 * 1024

/** The most levels of a value, and the most parts of a name. Settings have two; the libraries use recursion. */
private const val MAX_SETTINGS_NESTING = 8

/**
 * Reads the settings file at [path].
 *
 * @throws CharacterCodingException if it is not UTF-8
 * @throws IOException if it cannot be read or has more than [MAX_SETTINGS_BYTES] bytes
 */
internal fun readSettingsText(path: Path): String {
    // One byte more than allowed shows that the file is too large, even if it grows meanwhile.
    val bytes = Files.newInputStream(path).use { it.readNBytes(MAX_SETTINGS_BYTES + 1) }
    if (bytes.size > MAX_SETTINGS_BYTES) throw IOException("more than $MAX_SETTINGS_BYTES bytes")
    return bytes.decodeToString(throwOnInvalidSequence = true)
}

/**
 * Checks how deep the S-expressions of [text] are nested, before they are parsed by recursion.
 *
 * @throws InvalidSettingsException if a value has more than [MAX_SETTINGS_NESTING] levels or as many tags
 * @throws us.bpsm.edn.EdnException if [text] is not S-expressions
 */
internal fun checkNestingOfExpressions(text: String) {
    val scanner = Scanners.newScanner()
    val source = Parsers.newParseable(text)
    var depth = 0
    var tags = 0
    while (true) {
        val token = scanner.nextToken(source)
        tags = if (token is Tag || token == Token.DISCARD) tags + 1 else 0
        when (token) {
            Token.END_OF_INPUT -> return
            Token.BEGIN_LIST, Token.BEGIN_VECTOR, Token.BEGIN_SET, Token.BEGIN_MAP -> depth++
            Token.END_LIST, Token.END_VECTOR, Token.END_MAP_OR_SET -> depth--
        }
        if (maxOf(depth, tags) > MAX_SETTINGS_NESTING) throw nestedTooDeep()
    }
}

/**
 * Checks how deep the arrays of [text], which should be TOML, are nested and how many parts its names have, before it
 * is parsed by recursion.
 *
 * @throws InvalidSettingsException if either is more than [MAX_SETTINGS_NESTING]
 */
internal fun checkNestingOfToml(text: String) {
    var depth = 0
    for (line in text.lineSequence()) {
        val content = withoutStringsAndComment(line)
        val name = if (content.trimStart().startsWith('[')) content else content.substringBefore('=', "")
        if (name.count { it == '.' } >= MAX_SETTINGS_NESTING) throw nestedTooDeep()
        for (char in content) {
            if (char == '[') depth++
            if (char == ']') depth--
            if (depth > MAX_SETTINGS_NESTING) throw nestedTooDeep()
        }
    }
}

private fun withoutStringsAndComment(line: String): String {
    val content = StringBuilder()
    var quote: Char? = null
    for (char in line) {
        when {
            quote != null -> if (char == quote) quote = null
            char == '"' || char == '\'' -> quote = char
            char == '#' -> break
            else -> content.append(char)
        }
    }
    return content.toString()
}

private fun nestedTooDeep() =
    InvalidSettingsException("a setting is nested more than $MAX_SETTINGS_NESTING levels deep")
