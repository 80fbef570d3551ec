package io.otterknot.autoscaling

import io.otterknot.cloud.CloudClient
import io.otterknot.cloud.CloudResult
import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import kotlinx.coroutines.delay
import kotlin.random.Random

/** The machine types that the cloud offers, by its last answer, or as controllers have recorded them before. */
class MachineTypeCatalog(private val cloud: CloudClient, private val random: Random) {
    /** Also types that are not offered any more: there may be machines of them. */
    private val byName = HashMap<String, MachineType>()

    /** Whether the cloud itself has answered since this process started. */
    private var isFromCloud = false

    /** What is offered now; null: not known yet. */
    var types: List<MachineType>? = null
        private set

    /** The type of this name; null: never heard of. */
    fun type(name: String): MachineType? = byName[name]

    /** Whether some type that [spec] allows is offered in [zone]. */
    fun offers(zone: String, spec: JobSpec): Boolean =
        types.orEmpty().any { zone in it.zones && (spec.types == null || it.name in spec.types) }

    /**
     * Takes over the types that a controller has recorded, unless the cloud has answered already. Without these a
     * controller that starts while the cloud is away would lead partitions and place nothing until it is back.
     */
    fun restore(recorded: List<MachineType>) {
        if (!isFromCloud) replace(recorded)
    }

    /** Asks the cloud periodically, until cancelled; [record] gets each answer. */
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

        /** Until the first answer of the cloud. */
        const val RETRY_MS = 700L
        const val RETRY_JITTER_MS = 600L
    }
}
