package io.otterknot.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.io.ByteArrayOutputStream
import java.io.PrintStream

class SoakCommandTest {
    @ParameterizedTest
    @ValueSource(
        strings = [
            "--seeds=0", "--seconds=-1", "--workers=2", "--port-base=65530", "--fault=earthquake", "--seeds=many",
            "--unknown", "--first-seed",
        ],
    )
    fun `bad arguments end with one line and exit code 2`(argument: String) {
        val standardError = System.err
        val captured = ByteArrayOutputStream()
        System.setErr(PrintStream(captured))
        try {
            assertEquals(2, SoakCommand.execute(arrayOf(argument)))
        } finally {
            System.setErr(standardError)
        }
        assertEquals(1, captured.toString().trim().lines().size, captured.toString())
    }
}
