package io.otterknot.config

import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Follows the operators' file while a controller runs, so that a subsystem can be switched on or off without a restart.
 * A changed file that is invalid is logged once, and the settings before it stay in force.
 */
class OperatorSettingsFollower(private val path: Path, initial: OperatorSettings) {
    private val log = LoggerFactory.getLogger(OperatorSettingsFollower::class.java)
    private var lastRead = fingerprint()

    /** The settings in force. */
    var current = initial
        private set

    /** Runs until cancelled. */
    suspend fun follow() {
        while (true) {
            delay(CHECK_INTERVAL_MS)
            reloadIfChanged()
        }
    }

    /** Reads the file anew if it has changed. */
    fun reloadIfChanged() {
        val found = fingerprint()
        if (found == lastRead) return
        lastRead = found
        try {
            current = OperatorSettingsFile.read(path)
            log.info("the operators' file has changed: {}", current)
        } catch (e: InvalidSettingsException) {
            log.error("the operators' file has changed and is not taken: {}", e.message)
        }
    }

    /** Null: there is no such file. */
    private fun fingerprint(): Fingerprint? = try {
        Fingerprint(Files.getLastModifiedTime(path).toMillis(), Files.size(path))
    } catch (ignored: IOException) {
        null
    }

    /** Two versions of the file are told apart by modification time and size. */
    private data class Fingerprint(val modifiedMs: Long, val bytes: Long)

    private companion object {
        const val CHECK_INTERVAL_MS = 5_000L
    }
}
