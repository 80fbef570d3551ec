package io.otterknot.config

import io.otterknot.testing.onControllerStack
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import java.nio.file.Files
import java.nio.file.Path

/** Parsing and reloading of the operators' file. */
class OperatorSettingsTest {
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "(load-spread :mode on)| load-spread: :mode is on, not one of off, observe, act",
            "(load-spread :mode \"act\")| load-spread: :mode is \"act\", not one of off, observe, act",
            "(load-spread :colour 1)| load-spread: unknown setting :colour, not one of :mode, :hand-overs, :guarantees",
            "(load-shed :mode act)| unknown section load-shed, not one of load-spread",
            "(load-spread :margin-s -1)| load-spread: :margin-s is -1, not a number from 0.0 to 3600.0",
            "(load-spread :margin-s true)| load-spread: :margin-s is true, not a number from 0.0 to 3600.0",
            "(load-spread :hand-overs-per-plan 2.5)| load-spread: :hand-overs-per-plan is 2.5, not a whole number",
            "(load-spread :drains 1)| load-spread: :drains is 1, not true or false",
            "(load-spread :mode)| load-spread: :mode has no value; a section is written like (load-spread :mode off)",
            "(load-spread :mode off :mode act)| load-spread: :mode is set twice, to off and act, but is allowed once",
            "(load-spread mode act)| load-spread: mode is not the name of a setting, which begins with a colon",
            "(load-spread) (load-spread)| section load-spread occurs 2 times, but is allowed once",
            "load-spread| load-spread is not a section; a section is written like (load-spread :mode off)",
            "()| section () has no name; a section is written like (load-spread :mode off)",
            "(load-spread :mode act| not S-expressions",
        ],
    )
    fun `an invalid or unknown section or setting is rejected with a one-line message`(text: String, message: String) {
        val exception = assertThrows(InvalidSettingsException::class.java) { OperatorSettingsFile.parse(text) }
        assertEquals(message, exception.message.orEmpty().take(message.length))
        assertFalse('\n' in exception.message.orEmpty())
    }

    /** Guards against a file that ends every running controller within seconds, as the library's errors did. */
    @ParameterizedTest
    @MethodSource("hostileFiles")
    fun `a hostile file is rejected in one line, and the previous settings stay in force`(
        file: HostileFile,
        @TempDir directory: Path,
    ) {
        val path = Files.writeString(directory.resolve("operators.sexp"), "(load-spread :mode act)")
        val follower = OperatorSettingsFollower(path, OperatorSettingsFile.read(path))
        Files.writeString(path, file.text)
        onControllerStack {
            val exception = assertThrows(InvalidSettingsException::class.java) { OperatorSettingsFile.read(path) }
            assertFalse('\n' in exception.message.orEmpty())
            follower.reloadIfChanged()
        }
        assertEquals(LoadSpreadMode.ACT, follower.current.loadSpread.mode)
    }

    class HostileFile(private val name: String, val text: String) {
        override fun toString() = name
    }

    @Test
    fun `settings in the file are applied, all others have their defaults, and comments are ignored`() {
        val text = "; a comment\n(load-spread :mode act :margin-s 5 :hand-overs false :sampled-machines 7)"
        val expected =
            LoadSpreadSettings(LoadSpreadMode.ACT, marginS = 5.0, reassignsTasks = false, sampledMachines = 7)
        assertEquals(OperatorSettings(expected), OperatorSettingsFile.parse(text))
        assertEquals(OperatorSettings(), OperatorSettingsFile.parse(""))
    }

    @Test
    fun `brackets in comments, strings and characters, and discarded sections are no nesting`() {
        val text = "; ${"(".repeat(100)}\n#_ (x \"${"[".repeat(100)}\" \\[ \\{) (load-spread :mode act)"
        assertEquals(LoadSpreadMode.ACT, OperatorSettingsFile.parse(text).loadSpread.mode)
    }

    @Test
    fun `a changed or deleted file takes effect and an invalid file leaves the settings unchanged`(
        @TempDir directory: Path,
    ) {
        val file = directory.resolve("operators.sexp")
        val follower = OperatorSettingsFollower(file, OperatorSettingsFile.read(file))
        assertFalse(follower.current.loadSpread.isOn, "without a file all subsystems are off")
        val steps = listOf(
            "(load-spread :mode act)" to LoadSpreadMode.ACT,
            "(load-spread :mode wrong)" to LoadSpreadMode.ACT,
            "(load-spread :mode observe)" to LoadSpreadMode.OBSERVE,
            null to LoadSpreadMode.OFF,
        )
        for ((text, mode) in steps) {
            if (text == null) Files.delete(file) else Files.writeString(file, text)
            follower.reloadIfChanged()
            assertEquals(mode, follower.current.loadSpread.mode, "$text")
        }
    }

    companion object {
        private const val LEVELS = 20_000

        @JvmStatic
        fun hostileFiles() = listOf(
            HostileFile("lists", "(".repeat(LEVELS) + ")".repeat(LEVELS)),
            HostileFile("lists that are not closed", "(".repeat(LEVELS)),
            HostileFile("maps in a setting", "(load-spread :mode " + "{1 ".repeat(LEVELS) + "}".repeat(LEVELS) + ")"),
            HostileFile("tags", "#a ".repeat(LEVELS) + "1"),
            HostileFile("tagged lists", "#a (".repeat(LEVELS) + ")".repeat(LEVELS)),
            HostileFile("discarded values", "#_ ".repeat(LEVELS) + "1"),
            HostileFile("a value that its tag does not allow", "(load-spread :mode #uuid \"x\")"),
            HostileFile("too large", "(load-spread :mode act) ;" + "x".repeat(MAX_SETTINGS_BYTES)),
            HostileFile("a long number", "(load-spread :margin-s " + "9".repeat(LEVELS) + ")"),
        )
    }
}
