package io.otterknot.autoscaling

import io.otterknot.cloud.CloudClient
import io.otterknot.wire.JobSpec
import io.otterknot.wire.MachineType
import kotlinx.coroutines.delay
import kotlin.random.Random

/** The machine types that the cloud offers, as it said last, or as the service has learned before. */
class MachineTypeCatalog(private val cloud: CloudClient, private val random: Random) {
    private val byName = HashMap<String, MachineType>()

    /** The cloud itself has said what it offers since this process started. */
    private var isHeard = false

    /** Null: not known yet. */
    var types: List<MachineType>? = null
        private set

    fun type(name: String): MachineType? = byName[name]

    /** Whether some type that [spec] allows is offered in [zone]. */
    fun offers(zone: String, spec: JobSpec): Boolean =
        types.orEmpty().any { zone in it.zones && (spec.types == null || it.name in spec.types) }

    /**
     * Types that the service has learned before. A controller that starts while the cloud is away would otherwise own
     * partitions and place nothing until it is back.
     */
    fun remembered(known: List<MachineType>) {
        if (!isHeard) take(known)
    }

    /** Asks the cloud again and again; [remember] is told each answer. */
    suspend fun learn(remember: suspend (List<MachineType>) -> Unit) {
        while (true) {
            val offered = cloud.types()
            if (offered != null) {
                isHeard = true
                take(offered)
                remember(offered)
            }
            delay(if (isHeard) EVERY_MS else RETRY_MS + random.nextLong(RETRY_JITTER_MS))
        }
    }

    private fun take(offered: List<MachineType>) {
        types = offered
        offered.forEach { byName[it.name] = it }
    }

    private companion object {
        const val EVERY_MS = 60_000L
        const val RETRY_MS = 700L
        const val RETRY_JITTER_MS = 600L
    }
}
