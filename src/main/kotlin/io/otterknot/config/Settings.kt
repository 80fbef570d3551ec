package io.otterknot.config

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Thrown for an invalid setting, which prevents the start of a controller. The message is one line for operators. */
class InvalidSettingsException(message: String, cause: Throwable? = null) : Exception(message, cause)

/** The platform's settings file: this controller, its peers, and the settings of the whole site. */
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

/** Another controller: its name, its zone, and the address of its peer port. */
@Serializable
data class Member(val label: String, val domain: String, val endpoint: String)

/** The addresses of the external services: the cloud and the key-value store. */
@Serializable
data class Endpoints(val cloud: String, val state: String)

/** The settings that all controllers of a site share; section `facts` of the file. */
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

/** A team's guaranteed quota ([cpus], [gpus]) and quota limit ([cpusMax], [gpusMax]) in cores and GPUs; 0: none. */
@Serializable
data class TeamSettings(
    val name: String,
    val cpus: Double = 0.0,
    @SerialName("cpus_max") val cpusMax: Double = 0.0,
    val gpus: Double = 0.0,
    @SerialName("gpus_max") val gpusMax: Double = 0.0,
)

/** One service-level objective, for a job class or the whole site; [kind] decides which other settings apply. */
@Serializable
data class ObjectiveSettings(
    val kind: String,
    @SerialName("class") val jobClass: String? = null,
    @SerialName("within_s") val withinS: Double? = null,
    val share: Double? = null,
    val times: Double? = null,
)

/** The workers' timing in seconds: heartbeat interval, lease, and the longest duration of a confirmed cancellation. */
@Serializable
data class WorkerSettings(
    @SerialName("report_s") val heartbeatS: Double,
    @SerialName("lease_s") val leaseS: Double,
    @SerialName("cancel_s") val cancelS: Double,
)

/** The key-value store's limits: requests and changes per second, KiB per value, changes per transaction. */
@Serializable
data class StoreSettings(
    val rps: Double,
    @SerialName("write_rps") val writeRps: Double,
    @SerialName("value_kb") val valueKb: Double,
    @SerialName("txn_ops") val txnOps: Int,
    /** Limits that will replace the present ones at an unknown time. */
    val next: AnnouncedStoreLimits = AnnouncedStoreLimits(),
) {
    // Each is the lower of the present and the announced limit, so that a controller respects the limit before
    // and after the change.
    val leastValueKb: Double get() = minOf(valueKb, next.valueKb ?: valueKb)
    val leastTxnOps: Int get() = minOf(txnOps, next.txnOps ?: txnOps)
    val leastRps: Double get() = minOf(rps, next.rps ?: rps)
    val leastWriteRps: Double get() = minOf(writeRps, next.writeRps ?: writeRps)
}

/** Store limits that will replace the present ones without notice. A limit that is null does not change. */
@Serializable
data class AnnouncedStoreLimits(
    val rps: Double? = null,
    @SerialName("write_rps") val writeRps: Double? = null,
    @SerialName("value_kb") val valueKb: Double? = null,
    @SerialName("txn_ops") val txnOps: Int? = null,
)

/** The cloud's limit on calls per second, and the lag of its machine list in seconds. */
@Serializable
data class CloudSettings(val rps: Double, @SerialName("list_lag_s") val listLagS: Double)

/** Limits that the machine of a controller sets for a process, such as the number of open file descriptors. */
@Serializable
data class MachineLimits(@SerialName("fd_limit") val fdLimit: Int = 512)
