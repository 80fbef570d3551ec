package io.otterknot.config

import kotlinx.serialization.json.JsonPrimitive
import java.io.IOException
import java.nio.charset.CharacterCodingException
import java.nio.file.AccessDeniedException
import java.nio.file.NoSuchFileException

/** Values and lines that messages quote are cut to this length, because some contain the whole input. */
private const val MAX_QUOTED_CHARS = 300

/** The path of each section that has required settings, by the class whose name the TOML library reports. */
private val SECTION_PATHS = mapOf(
    Settings::class to "",
    Member::class to "members.",
    Endpoints::class to "endpoints.",
    SiteSettings::class to "facts.",
    TeamSettings::class to "facts.teams.",
    ObjectiveSettings::class to "facts.objectives.",
    WorkerSettings::class to "facts.workers.",
    StoreSettings::class to "facts.state.",
    CloudSettings::class to "facts.cloud.",
).mapKeys { (section, _) -> section.qualifiedName }

/** The TOML library's messages for a value of a wrong type: the line and the type that the setting has. */
private val WRONG_TYPE = Regex(
    "^Line (\\d+): (?:(?:Cannot decode the key|<|The integer literal).*class java\\.lang\\.(\\w+)|" +
        "Expected (floating-point|type ARRAY))",
)

/** What a value must be, by the type in [WRONG_TYPE]. */
private val ALLOWED_VALUES = mapOf(
    "Integer" to "a whole number up to ${Int.MAX_VALUE}",
    "Double" to "a number with a decimal point, for example 1.0",
    "floating-point" to "a number with a decimal point, for example 1.0",
    "String" to "text in double quotes (in a list, each entry)",
    "type ARRAY" to "a list in square brackets",
)

private val SECTION_HEADER = Regex("^\\s*\\[\\[?([^\\[\\]\"',]+)]]?\\s*(?:#.*)?$")

private val MISSING_SETTING =
    Regex("^Invalid number of key-value arguments .*? Missing required property <([^>]+)> from class <([^>]+)>")

/** Returns [value] for a message: in one line, of limited length, and in quotes if it is text. */
internal fun quoted(value: Any?): String = when (value) {
    null -> "nil"
    is String -> JsonPrimitive(value).toString()
    else -> value.toString().lines().joinToString(" ")
}.take(MAX_QUOTED_CHARS)

/** Returns in a few words why a file could not be read. */
internal fun reasonOf(e: IOException): String = when (e) {
    is NoSuchFileException -> "no such file"
    is AccessDeniedException -> "access denied"
    is CharacterCodingException -> "not UTF-8 text"
    else -> e.message ?: e.javaClass.simpleName
}

/**
 * Returns one line for [e], which the TOML library threw for [text]. A missing setting and a value of a wrong type are
 * described without the names of Kotlin classes; all other errors have the library's text.
 */
internal fun tomlErrorMessage(e: Exception, text: String): String {
    val message = e.message.orEmpty().lines().joinToString(" ") { it.trim() }
    return missingSetting(message) ?: wrongType(message, text) ?: message.take(MAX_QUOTED_CHARS)
}

private fun missingSetting(message: String): String? {
    val (setting, section) = MISSING_SETTING.find(message)?.destructured ?: return null
    val path = SECTION_PATHS[section] ?: return null
    return "$path$setting is missing, but is required"
}

private fun wrongType(message: String, text: String): String? {
    val (number, type, otherType) = WRONG_TYPE.find(message)?.destructured ?: return null
    val allowed = ALLOWED_VALUES[type + otherType] ?: return null
    val lines = text.lines().take(number.toInt())
    val assignment =
        lines.lastOrNull()?.split('=', limit = 2)?.map { it.trim() }?.takeIf { it.size == 2 } ?: return null
    val section = lines.asReversed().firstNotNullOfOrNull { SECTION_HEADER.find(it)?.groupValues?.get(1)?.trim() }
    val path = listOfNotNull(section, assignment[0]).joinToString(".")
    return "line $number: $path is ${assignment[1].take(MAX_QUOTED_CHARS)}, but must be $allowed"
}
