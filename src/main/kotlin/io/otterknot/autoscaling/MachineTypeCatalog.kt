package io.otterknot.autoscaling

import io.otterknot.cloud.CloudClient
import io.otterknot.cloud.CloudResult
import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import kotlinx.coroutines.delay
import kotlin.random.Random

/**
 * The machine types that the cloud offers, from its latest response, or, until the first response, as controllers have
 * recorded them in the store.
 */
class MachineTypeCatalog(private val cloud: CloudClient, private val random: Random) {
    /** Includes types that are no longer offered, because machines of these types may still exist. */
    private val byName = HashMap<String, MachineType>()

    /** Whether the cloud has responded since this process started. */
    private var isFromCloud = false

    /** The types offered now, or null if neither a response nor a record is available yet. */
    var types: List<MachineType>? = null
        private set

    /** Returns the type called [name], including one no longer offered, or null if the type is unknown. */
    fun type(name: String): MachineType? = byName[name]

    /** Whether some type that [spec] allows is offered in [zone]. */
    fun offers(zone: String, spec: JobSpec): Boolean =
        types.orEmpty().any { zone in it.zones && (spec.types == null || it.name in spec.types) }

    /**
     * Uses the types that a controller has recorded, unless the cloud has already responded. Without them, a controller
     * that starts while the cloud is unavailable would lead partitions but place no task until the cloud is available.
     */
    fun restore(recorded: List<MachineType>) {
        if (!isFromCloud) replace(recorded)
    }

    /** Requests the types from the cloud periodically, until cancelled, and passes each result to [record]. */
    suspend fun refreshContinuously(record: suspend (List<MachineType>) -> Unit) {
        while (true) {
            val result = cloud.types()
            if (result is CloudResult.Success) {
                isFromCloud = true
                replace(result.value)
                record(result.value)
            }
            delay(if (isFromCloud) REFRESH_MS else RETRY_MS + random.nextLong(RETRY_JITTER_MS))
        }
    }

    private fun replace(offered: List<MachineType>) {
        types = offered
        offered.forEach { byName[it.name] = it }
    }

    private companion object {
        const val REFRESH_MS = 60_000L

        /** Interval between requests until the first response of the cloud. */
        const val RETRY_MS = 700L
        const val RETRY_JITTER_MS = 600L
    }
}
