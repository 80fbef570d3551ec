package io.otterknot.config

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.TomlInputConfig
import io.otterknot.net.HostPort
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/** Reads and checks the platform's settings file (TOML). Unknown fields are ignored. */
object SettingsFile {
    private val toml = Toml(inputConfig = TomlInputConfig(ignoreUnknownNames = true))

    /** Messages of the TOML parser are cut to this length, because some quote the whole input. */
    private const val MAX_MESSAGE_CHARS = 300

    /** The time for a failover: `cancel_s` must exceed `lease_s` by more than this, in seconds. */
    private const val MIN_FAILOVER_S = 4
    private const val MIN_TRANSACTION_CHANGES = 4

    /**
     * Reads the file at [path].
     *
     * @throws InvalidSettingsException if the file cannot be read, is not TOML, or a setting is missing or out of range
     */
    fun read(path: Path): Settings {
        val text = try {
            Files.readString(path)
        } catch (e: IOException) {
            throw InvalidSettingsException("cannot read the settings file $path: ${e.javaClass.simpleName}", e)
        }
        return parse(text)
    }

    /**
     * Parses the [text] of a settings file.
     *
     * @throws InvalidSettingsException if it is not TOML, or a setting is missing or out of range
     */
    fun parse(text: String): Settings {
        val settings = try {
            toml.decodeFromString(Settings.serializer(), text)
        } catch (e: SerializationException) {
            throw InvalidSettingsException(oneLine(e), e)
        } catch (e: IllegalArgumentException) {
            throw InvalidSettingsException(oneLine(e), e)
        }
        checkController(settings)
        checkSite(settings.facts)
        return settings
    }

    private fun oneLine(e: Exception): String =
        e.message.orEmpty().lines().joinToString(" ") { it.trim() }.take(MAX_MESSAGE_CHARS)

    private fun checkController(settings: Settings) {
        requireValid(settings.label.isNotBlank(), "label is empty")
        HostPort.parse("bind", settings.bind)
        HostPort.parse("peer_listen", settings.peerListen)
        HostPort.parse("endpoints.cloud", settings.endpoints.cloud)
        HostPort.parse("endpoints.state", settings.endpoints.state)
        settings.members.forEach { HostPort.parse("endpoint of member ${it.label}", it.endpoint) }
        requireValid(settings.members.none { it.label == settings.label }, "members names this node, ${settings.label}")
    }

    private fun checkSite(site: SiteSettings) {
        requireValid(site.zones.isNotEmpty(), "facts.zones is empty")
        requireValid(site.nodes >= 1, "facts.nodes is below 1")
        checkWorkers(site.workers)
        checkStore(site.state)
        requireValid(site.cloud.rps > 0, "facts.cloud: rps must be above 0")
    }

    private fun checkWorkers(workers: WorkerSettings) {
        requireValid(
            workers.heartbeatS > 0 && workers.leaseS > 0,
            "facts.workers: report_s and lease_s must be above 0",
        )
        requireValid(
            workers.cancelS > workers.leaseS + MIN_FAILOVER_S,
            "facts.workers: cancel_s leaves no room for lease_s and a take-over",
        )
    }

    private fun checkStore(store: StoreSettings) {
        requireValid(
            store.leastRps > 0 && store.leastWriteRps > 0,
            "facts.state: rps and write_rps must be above 0, those of next too",
        )
        requireValid(store.leastTxnOps >= MIN_TRANSACTION_CHANGES, "facts.state: txn_ops is below 4, or that of next")
        requireValid(store.leastValueKb >= 1, "facts.state: value_kb is below 1, or that of next")
    }

    private fun requireValid(isValid: Boolean, message: String) {
        if (!isValid) throw InvalidSettingsException(message)
    }
}
