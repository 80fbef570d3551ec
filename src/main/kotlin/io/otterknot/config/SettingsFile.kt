package io.otterknot.config

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.TomlInputConfig
import io.otterknot.net.HostPort
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.nio.file.Path

/** Reads and checks the platform's settings file (TOML). Unknown fields are ignored. */
object SettingsFile {
    private val toml = Toml(inputConfig = TomlInputConfig(ignoreUnknownNames = true))

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
            readSettingsText(path)
        } catch (e: IOException) {
            throw InvalidSettingsException("cannot read the settings file $path: ${reasonOf(e)}", e)
        }
        return try {
            parse(text)
        } catch (e: InvalidSettingsException) {
            throw InvalidSettingsException("$path: ${e.message}", e)
        }
    }

    /**
     * Parses the [text] of a settings file.
     *
     * @throws InvalidSettingsException if it is not TOML, or a setting is missing or out of range
     */
    fun parse(text: String): Settings {
        checkNestingOfToml(text)
        val settings = try {
            toml.decodeFromString(Settings.serializer(), text)
        } catch (e: SerializationException) {
            throw InvalidSettingsException(tomlErrorMessage(e), e)
        } catch (e: IllegalArgumentException) {
            throw InvalidSettingsException(tomlErrorMessage(e), e)
        }
        checkController(settings)
        checkSite(settings.facts)
        return settings
    }

    private fun checkController(settings: Settings) {
        requireValid(settings.label.isNotBlank(), "label", settings.label) { "a name that is not blank" }
        HostPort.parse("bind", settings.bind)
        HostPort.parse("peer_listen", settings.peerListen)
        HostPort.parse("endpoints.cloud", settings.endpoints.cloud)
        HostPort.parse("endpoints.state", settings.endpoints.state)
        settings.members.forEach { HostPort.parse("members.endpoint of ${it.label}", it.endpoint) }
        requireValid(settings.members.none { it.label == settings.label }, "members.label", settings.label) {
            "the label of another controller, not of this one"
        }
    }

    private fun checkSite(site: SiteSettings) {
        requireValid(site.zones.isNotEmpty(), "facts.zones", site.zones) { "a list of at least one zone" }
        requireValid(site.nodes >= 1, "facts.nodes", site.nodes) { "at least 1" }
        checkWorkers(site.workers)
        checkStore(site.state)
        requireValid(site.cloud.rps > 0, "facts.cloud.rps", site.cloud.rps) { "above 0" }
    }

    private fun checkWorkers(workers: WorkerSettings) {
        requireValid(workers.heartbeatS > 0, "facts.workers.report_s", workers.heartbeatS) { "above 0" }
        requireValid(workers.leaseS > 0, "facts.workers.lease_s", workers.leaseS) { "above 0" }
        requireValid(
            workers.cancelS > workers.leaseS + MIN_FAILOVER_S,
            "facts.workers.cancel_s",
            workers.cancelS,
        ) {
            "above facts.workers.lease_s + $MIN_FAILOVER_S, which is ${workers.leaseS + MIN_FAILOVER_S}, " +
                "to leave time for a failover"
        }
    }

    private fun checkStore(store: StoreSettings) {
        val next = store.next
        requireLimit("rps", store.rps, next.rps, "above 0") { it > 0 }
        requireLimit("write_rps", store.writeRps, next.writeRps, "above 0") { it > 0 }
        requireLimit("txn_ops", store.txnOps, next.txnOps, "at least $MIN_TRANSACTION_CHANGES") {
            it >= MIN_TRANSACTION_CHANGES
        }
        requireLimit("value_kb", store.valueKb, next.valueKb, "at least 1.0") { it >= 1 }
    }

    /** Checks a limit of the key-value store: the [present] value, and the announced [next] one if there is one. */
    private inline fun <T : Any> requireLimit(
        name: String,
        present: T,
        next: T?,
        allowed: String,
        isValid: (T) -> Boolean,
    ) {
        requireValid(isValid(present), "facts.state.$name", present) { allowed }
        requireValid(next == null || isValid(next), "facts.state.next.$name", next) { allowed }
    }

    /** Inline, so that the message of a valid setting is never built. */
    private inline fun requireValid(isValid: Boolean, setting: String, value: Any?, allowed: () -> String) {
        if (!isValid) throw InvalidSettingsException("$setting is ${quoted(value)}, but must be ${allowed()}")
    }
}
