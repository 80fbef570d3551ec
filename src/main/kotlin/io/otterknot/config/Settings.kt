package io.otterknot.config

import com.akuleshov7.ktoml.Toml
import com.akuleshov7.ktoml.TomlInputConfig
import io.otterknot.net.HostPort
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import java.nio.file.Files
import java.nio.file.Path

/** Something in the settings that stops a start; the message is one line for the operator. */
class InvalidSettingsException(message: String) : Exception(message)

@Serializable
data class Settings(
    val label: String,
    val domain: String,
    val bind: String,
    @SerialName("peer_listen") val peerListen: String,
    val members: List<Member> = emptyList(),
    val endpoints: Endpoints,
    val facts: SiteSettings,
)

@Serializable
data class Member(val label: String, val domain: String, val endpoint: String)

@Serializable
data class Endpoints(val cloud: String, val state: String)

@Serializable
data class SiteSettings(
    val nodes: Int,
    val zones: List<String>,
    @SerialName("clock_error_ms") val clockErrorMs: Double = 0.0,
    val teams: List<TeamSettings> = emptyList(),
    val objectives: List<ObjectiveSettings> = emptyList(),
    val workers: WorkerSettings,
    val state: StoreSettings,
    val cloud: CloudSettings,
    @SerialName("machine_limits") val machineLimits: MachineLimits = MachineLimits(),
)

@Serializable
data class TeamSettings(
    val name: String,
    val cpus: Double = 0.0,
    @SerialName("cpus_max") val cpusMax: Double = 0.0,
    val gpus: Double = 0.0,
    @SerialName("gpus_max") val gpusMax: Double = 0.0,
)

@Serializable
data class ObjectiveSettings(
    val kind: String,
    @SerialName("class") val jobKind: String? = null,
    @SerialName("within_s") val withinS: Double? = null,
    val share: Double? = null,
    val times: Double? = null,
)

@Serializable
data class WorkerSettings(
    @SerialName("report_s") val reportS: Double,
    @SerialName("lease_s") val leaseS: Double,
    @SerialName("cancel_s") val cancelS: Double,
)

@Serializable
data class StoreSettings(
    val rps: Double,
    @SerialName("write_rps") val writeRps: Double,
    @SerialName("value_kb") val valueKb: Double,
    @SerialName("txn_ops") val txnOps: Int,
    /** Limits that will hold from some moment on, without notice; what is not named stays. */
    val next: AnnouncedStoreLimits = AnnouncedStoreLimits(),
) {
    /** What holds now and later. */
    val leastValueKb: Double get() = minOf(valueKb, next.valueKb ?: valueKb)
    val leastTxnOps: Int get() = minOf(txnOps, next.txnOps ?: txnOps)
    val leastRps: Double get() = minOf(rps, next.rps ?: rps)
    val leastWriteRps: Double get() = minOf(writeRps, next.writeRps ?: writeRps)
}

@Serializable
data class AnnouncedStoreLimits(
    val rps: Double? = null,
    @SerialName("write_rps") val writeRps: Double? = null,
    @SerialName("value_kb") val valueKb: Double? = null,
    @SerialName("txn_ops") val txnOps: Int? = null,
)

@Serializable
data class CloudSettings(val rps: Double, @SerialName("list_lag_s") val listLagS: Double)

@Serializable
data class MachineLimits(@SerialName("fd_limit") val fdLimit: Int = 512)

object SettingsFile {
    private val toml = Toml(inputConfig = TomlInputConfig(ignoreUnknownNames = true))

    fun read(path: Path): Settings {
        val text = try {
            Files.readString(path)
        } catch (e: java.io.IOException) {
            throw InvalidSettingsException("cannot read the settings file $path: ${e.javaClass.simpleName}")
        }
        return parse(text)
    }

    fun parse(text: String): Settings {
        val settings = try {
            toml.decodeFromString(Settings.serializer(), text)
        } catch (e: SerializationException) {
            throw InvalidSettingsException(oneLine(e))
        } catch (e: IllegalArgumentException) {
            throw InvalidSettingsException(oneLine(e))
        }
        check(settings)
        return settings
    }

    private fun oneLine(e: Exception) = e.message.orEmpty().lines().joinToString(" ") { it.trim() }.take(300)

    private fun check(settings: Settings) {
        fun demand(holds: Boolean, text: String) {
            if (!holds) throw InvalidSettingsException(text)
        }
        demand(settings.label.isNotBlank(), "label is empty")
        HostPort.parse("bind", settings.bind)
        HostPort.parse("peer_listen", settings.peerListen)
        HostPort.parse("endpoints.cloud", settings.endpoints.cloud)
        HostPort.parse("endpoints.state", settings.endpoints.state)
        settings.members.forEach { HostPort.parse("endpoint of member ${it.label}", it.endpoint) }
        demand(settings.members.none { it.label == settings.label }, "members names this node, ${settings.label}")
        val facts = settings.facts
        demand(facts.zones.isNotEmpty(), "facts.zones is empty")
        demand(facts.nodes >= 1, "facts.nodes is below 1")
        demand(
            facts.workers.reportS > 0 && facts.workers.leaseS > 0,
            "facts.workers: report_s and lease_s must be above 0",
        )
        demand(
            facts.workers.cancelS > facts.workers.leaseS + 4,
            "facts.workers: cancel_s leaves no room for lease_s and a take-over",
        )
        demand(
            facts.state.leastRps > 0 && facts.state.leastWriteRps > 0,
            "facts.state: rps and write_rps must be above 0, those of next too",
        )
        demand(facts.state.leastTxnOps >= 4, "facts.state: txn_ops is below 4, or that of next")
        demand(facts.state.leastValueKb >= 1, "facts.state: value_kb is below 1, or that of next")
        demand(facts.cloud.rps > 0, "facts.cloud: rps must be above 0")
    }
}
