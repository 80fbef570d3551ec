package io.otterknot.config

import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Follows the operators' file while a controller runs, so that a subsystem can be switched on or off without a restart.
 * A change that cannot be read is told once and the settings before it stay.
 */
class OperatorSettingsFollower(private val path: Path, initial: OperatorSettings) {
    private val log = LoggerFactory.getLogger(OperatorSettingsFollower::class.java)
    private var seen = fingerprint()

    var current = initial
        private set

    /** Runs until cancelled. */
    suspend fun follow() {
        while (true) {
            delay(EVERY_MS)
            look()
        }
    }

    /** Reads the file anew if it has changed. */
    fun look() {
        val found = fingerprint()
        if (found == seen) return
        seen = found
        try {
            current = OperatorSettingsFile.read(path)
            log.info("the operators' file has changed: {}", current)
        } catch (e: InvalidSettingsException) {
            log.error("the operators' file has changed and is not taken: {}", e.message)
        }
    }

    /** When it was last changed and its size; null: there is no such file. */
    private fun fingerprint(): Pair<Long, Long>? = try {
        Files.getLastModifiedTime(path).toMillis() to Files.size(path)
    } catch (e: IOException) {
        null
    }

    private companion object {
        const val EVERY_MS = 5_000L
    }
}
