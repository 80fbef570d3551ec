package io.otterknot.knownred

import java.nio.file.Files
import java.nio.file.Path

/**
 * A test that is known to fail.
 *
 * @property test the simple name of the class, `#`, and the name of the method
 * @property invocation the display name of one invocation of a parameterized test, or null for all of them
 */
data class KnownRedEntry(
    val test: String,
    val invocation: String?,
    val command: String,
    val seed: String,
    val seen: String,
    val issue: String,
)

/**
 * The tests listed in `KNOWN-RED.txt`. An entry is a block of lines `field: value` with the fields `test`, `command`,
 * `seed`, `seen` and `issue`, and optionally `invocation`; empty lines separate entries, and lines that begin with `#`
 * are comments.
 */
class KnownRedList(val entries: List<KnownRedEntry>) {
    /** Returns the entry of the test, or null if the test has to pass. */
    fun find(test: String, displayName: String): KnownRedEntry? =
        entries.firstOrNull { it.test == test && (it.invocation == null || it.invocation == displayName) }

    companion object {
        private val REQUIRED = setOf("test", "command", "seed", "seen", "issue")
        private val FIELDS = REQUIRED + "invocation"

        fun read(file: Path): KnownRedList = if (Files.exists(file)) parse(Files.readString(file)) else parse("")

        /** @throws IllegalArgumentException if an entry lacks a field or has an unknown one */
        fun parse(text: String): KnownRedList {
            val lines = text.lines().filterNot { it.startsWith("#") }
            val blocks = lines.joinToString("\n").split(Regex("\n\\s*\n")).map(String::trim).filter(String::isNotEmpty)
            return KnownRedList(blocks.map(::parseEntry))
        }

        private fun parseEntry(block: String): KnownRedEntry {
            val fields = block.lines().associate { it.substringBefore(':').trim() to it.substringAfter(':').trim() }
            require(fields.keys.containsAll(REQUIRED) && FIELDS.containsAll(fields.keys)) {
                "KNOWN-RED.txt: an entry needs $REQUIRED and may have invocation, but has ${fields.keys}"
            }
            return KnownRedEntry(
                fields.getValue("test"),
                fields["invocation"],
                fields.getValue("command"),
                fields.getValue("seed"),
                fields.getValue("seen"),
                fields.getValue("issue"),
            )
        }
    }
}
