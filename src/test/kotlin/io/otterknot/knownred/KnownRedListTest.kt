package io.otterknot.knownred

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.nio.file.Path

class KnownRedListTest {
    private val text = """
        # a comment
        test: ATest#a method
        command: mvn test
        seed: 3
        seen: ran_twice: once
        issue: 39

        test: BTest#b
        invocation: [2] second
        command: mvn test
        seed: none
        seen: nothing ran
        issue: 40
    """.trimIndent()

    @Test
    fun `only the listed test, or the listed invocation of it, may fail`() {
        val list = KnownRedList.parse(text)
        assertEquals("ran_twice: once", list.find("ATest#a method", "any")?.seen)
        assertNotNull(list.find("BTest#b", "[2] second"))
        assertNull(list.find("BTest#b", "[1] first"))
        assertNull(list.find("ATest#another method", "any"))
    }

    @Test
    fun `an entry without its seed or with an unknown field is rejected`() {
        for (broken in listOf("seed: 3" to "", "seed: 3" to "seed: 3\nsince: today")) {
            assertThrows(IllegalArgumentException::class.java) {
                KnownRedList.parse(text.replace(broken.first, broken.second))
            }
        }
    }

    @Test
    fun `the list in the repository can be read`() {
        KnownRedList.read(Path.of("KNOWN-RED.txt"))
    }
}
