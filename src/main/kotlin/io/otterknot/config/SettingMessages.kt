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
 * Returns one line for [e], which the TOML library threw. A missing setting is named by its path, without the name of
 * a Kotlin class; all other errors have the library's text.
 */
internal fun tomlErrorMessage(e: Exception): String {
    val message = e.message.orEmpty().lines().joinToString(" ") { it.trim() }
    return missingSetting(message) ?: message.take(MAX_QUOTED_CHARS)
}

private fun missingSetting(message: String): String? {
    val (setting, section) = MISSING_SETTING.find(message)?.destructured ?: return null
    val path = SECTION_PATHS[section] ?: return null
    return "$path$setting is missing, but is required"
}
