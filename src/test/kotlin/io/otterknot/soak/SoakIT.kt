package io.otterknot.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import picocli.CommandLine
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket

/** Runs after the build of the jar, since it starts controllers as operators do. */
class SoakIT {
    @Test
    fun `controller processes keep every rule while leaders are killed and cut off`() {
        val exitCode = CommandLine(SoakCommand()).execute(
            "--first-seed=$SEED",
            "--seconds=25",
            "--workers=12",
            "--fault=leader",
            "--port-base=${freePortBase()}",
            "--log-dir=target/soak-it",
        )
        assertEquals(CommandLine.ExitCode.OK, exitCode, "see target/soak-it/seed-$SEED/result.txt")
    }

    /** The first base from which on all ports of a run are free. */
    private fun freePortBase(): Int =
        (FIRST_PORT..LAST_PORT step SoakPorts.COUNT).first { base -> (base..<base + SoakPorts.COUNT).all(::isFree) }

    private fun isFree(port: Int): Boolean = try {
        ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
        true
    } catch (ignored: IOException) {
        false
    }

    private companion object {
        const val SEED = 1
        const val FIRST_PORT = 26_000
        const val LAST_PORT = 30_000
    }
}
