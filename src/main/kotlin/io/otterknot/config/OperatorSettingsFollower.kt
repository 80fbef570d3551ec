package io.otterknot.config

import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Reloads the operators' file when it changes while a controller runs, so that a subsystem can be switched on or off
 * without a restart. If the changed file is invalid, one error is logged and the previous settings stay in force.
 */
class OperatorSettingsFollower(private val path: Path, initial: OperatorSettings) {
    private val log = LoggerFactory.getLogger(OperatorSettingsFollower::class.java)
    private var lastFingerprint = fingerprint()

    /** The settings in force. */
    var current = initial
        private set

    /** Checks the file every [CHECK_INTERVAL_MS] until cancelled. */
    suspend fun follow() {
        while (true) {
            delay(CHECK_INTERVAL_MS)
            reloadIfChanged()
        }
    }

    /** Reloads the file if its [Fingerprint] has changed. */
    fun reloadIfChanged() {
        val currentFingerprint = fingerprint()
        if (currentFingerprint == lastFingerprint) return
        lastFingerprint = currentFingerprint
        try {
            current = OperatorSettingsFile.read(path)
            log.info("settings={} operators' file reloaded", current)
        } catch (e: InvalidSettingsException) {
            log.error("error=\"{}\" changed operators' file rejected, previous settings stay in force", e.message)
        }
    }

    /** Returns the fingerprint of the file, or null if it does not exist or cannot be read. */
    private fun fingerprint(): Fingerprint? = try {
        Fingerprint(Files.getLastModifiedTime(path).toMillis(), Files.size(path))
    } catch (ignored: IOException) {
        null
    }

    /** Distinguishes two versions of the file by modification time and size. */
    private data class Fingerprint(val modifiedMs: Long, val bytes: Long)

    private companion object {
        const val CHECK_INTERVAL_MS = 5_000L
    }
}
