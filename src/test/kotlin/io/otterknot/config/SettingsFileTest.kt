package io.otterknot.config

import io.otterknot.leadership.LeadershipSettings
import io.otterknot.testing.onControllerStack
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import java.nio.file.Files
import java.nio.file.Path

class SettingsFileTest {
    private val validSettings = """
        label = "n0"
        domain = "a"
        bind = "127.0.0.1:8080"
        peer_listen = "127.0.0.1:8081"
        novelty = 3

        [[members]]
        label = "n1"
        domain = "b"
        endpoint = "127.0.0.1:8082"

        [endpoints]
        cloud = "127.0.0.1:1"
        state = "127.0.0.1:2"

        [facts]
        nodes = 2
        zones = ["a", "b"]

        [[facts.teams]]
        name = "t"
        cpus = 0.0
        cpus_max = 8.0

        [facts.workers]
        report_s = 0.8
        lease_s = 10.0
        cancel_s = 35.0

        [facts.state]
        rps = 150.0
        write_rps = 50.0
        value_kb = 8.0
        txn_ops = 40

        [facts.cloud]
        rps = 3.0
        list_lag_s = 4.0
    """.trimIndent()

    /** Guards against a file that ends the start with a stack trace, or only when the heap is full. */
    @ParameterizedTest
    @MethodSource("hostileSettings")
    fun `a hostile file is rejected in one line`(hostile: String, @TempDir directory: Path) {
        val path = Files.writeString(directory.resolve("settings.toml"), "$hostile\n$validSettings")
        val exception = assertThrows(InvalidSettingsException::class.java) {
            onControllerStack { SettingsFile.read(path) }
        }
        assertFalse('\n' in exception.message.orEmpty())
    }

    @Test
    fun `brackets and dots in strings and comments are no nesting`() {
        val brackets = "[.".repeat(100)
        val text = "x = \"$brackets\" # $brackets\ny = [1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 8.0, 9.0]"
        assertEquals("n0", SettingsFile.parse("$text\n$validSettings").label)
    }

    @Test
    fun `settings are read and unknown fields ignored`() {
        val settings = SettingsFile.parse(validSettings)
        assertEquals(listOf("a", "b"), settings.facts.zones)
        assertEquals(8.0, settings.facts.teams.single().cpusMax)
    }

    @Test
    fun `announced limits are read, and a limit without an announced value keeps its present one`() {
        val state = SettingsFile.parse(
            validSettings.replace(
                "[facts.cloud]",
                "[facts.state.next]\nwrite_rps = 35.0\nvalue_kb = 2.0\n\n[facts.cloud]",
            ),
        ).facts.state
        assertEquals(
            listOf(2.0, 35.0, 150.0, 40.0),
            listOf(state.leastValueKb, state.leastWriteRps, state.leastRps, state.leastTxnOps.toDouble()),
        )
        assertEquals(8.0, SettingsFile.parse(validSettings).facts.state.leastValueKb)
    }

    @Test
    fun `a deployment of five controllers is read and each of its zones has a strict acquisition order`() {
        val otherMembers = (2..4).joinToString("") {
            "\n[[members]]\nlabel = \"n$it\"\ndomain = \"${"abc"[it % 3]}\"\nendpoint = \"127.0.0.1:900$it\"\n"
        }
        val settings = SettingsFile.parse(
            validSettings.replace(
                "\n[endpoints]",
                "$otherMembers\n[endpoints]",
            ).replace("nodes = 2", "nodes = 5").replace("[\"a\", \"b\"]", "[\"a\", \"b\", \"c\"]"),
        )
        assertEquals(4, settings.members.size)
        val domains = settings.members.associate { it.label to it.domain } + (settings.label to settings.domain)
        for (zone in settings.facts.zones) {
            assertEquals(
                (0..4).toList(),
                domains.keys.map { LeadershipSettings(it, settings.facts.zones, domains, 20_000).acquisitionRank(zone) }
                    .sorted(),
            )
        }
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = [
            "label = \"n0\"|",
            "bind = \"127.0.0.1:8080\"|bind = \"nowhere\"",
            "zones = [\"a\", \"b\"]|zones = []",
            "cancel_s = 35.0|cancel_s = 12.0",
            "rps = 150.0|rps = 0.0",
            "txn_ops = 40|txn_ops = \"many\"",
            "[facts.cloud]|[facts.state.next]\\ntxn_ops = 3\\n\\n[facts.cloud]",
            "[facts.cloud]|[facts.state.next]\\nvalue_kb = 0.5\\n\\n[facts.cloud]",
            "[facts.cloud]|[facts.state.next]\\nwrite_rps = 0.0\\n\\n[facts.cloud]",
            "endpoint = \"127.0.0.1:8082\"|endpoint = \"127.0.0.1:x\"",
            "[endpoints]|[elsewhere]",
        ],
    )
    fun `an invalid setting is rejected with a one-line message`(from: String, to: String?) {
        val bad = validSettings.replace(from, to.orEmpty().replace("\\n", "\n"))
        assertTrue(bad != validSettings)
        val exception = assertThrows(InvalidSettingsException::class.java) { SettingsFile.parse(bad) }
        assertEquals(1, exception.message!!.lines().size)
    }

    @Test
    fun `the message for an invalid settings file names the file`(@TempDir directory: Path) {
        val file = Files.writeString(directory.resolve("n0.toml"), validSettings.replace("nodes = 2", "nodes = 0"))
        val exception = assertThrows(InvalidSettingsException::class.java) { SettingsFile.read(file) }
        assertEquals("$file: facts.nodes is 0, but must be at least 1", exception.message)
    }

    @Test
    fun `a message quotes a value with a line break in one line`() {
        val bad = validSettings.replace("label = \"n0\"", "label = \"\\n\"")
        val exception = assertThrows(InvalidSettingsException::class.java) { SettingsFile.parse(bad) }
        assertEquals("label is \"\\n\", but must be a name that is not blank", exception.message)
    }

    companion object {
        @JvmStatic
        fun hostileSettings() = listOf(
            "x = " + "[".repeat(20_000) + "]".repeat(20_000),
            "a.".repeat(20_000) + "x = 1",
            "[" + "a.".repeat(20_000) + "x]\ny = 1",
            "# " + "x".repeat(MAX_SETTINGS_BYTES),
        )
    }
}
