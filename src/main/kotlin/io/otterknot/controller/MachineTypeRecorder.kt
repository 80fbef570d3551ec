package io.otterknot.controller

import io.otterknot.autoscaling.MachineTypeCatalog
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.records.encodeRecord
import io.otterknot.store.CompareAndSwap
import io.otterknot.wire.MachineType
import io.otterknot.wire.MachineTypes
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import org.slf4j.LoggerFactory

/** Records the machine types that the cloud offers, for controllers that start while the cloud is unavailable. */
class MachineTypeRecorder(private val store: StoreAccess, private val catalog: MachineTypeCatalog) {
    private val log = LoggerFactory.getLogger(MachineTypeRecorder::class.java)

    /** Requests the machine types from the cloud periodically and records changes, until cancelled. */
    suspend fun run() {
        // The first seconds after a start are the busiest; recorded types are sufficient for that time.
        withTimeoutOrNull(LOAD_TIMEOUT_MS) { store.replica.awaitLoaded() }
        if (catalog.types != null) delay(FIRST_REFRESH_DELAY_MS)
        catalog.refreshContinuously(::record)
    }

    private suspend fun record(offered: List<MachineType>) {
        store.replica.awaitLoaded()
        val stored = store.replica.snapshot(StoreKeys.MACHINE_TYPES)
        val recorded = stored.value?.let { decodeRecord(MachineTypes.serializer(), it).types }.orEmpty()
        if (withoutPrices(recorded) == withoutPrices(offered)) return
        val change = CompareAndSwap.put(stored, encodeRecord(MachineTypes.serializer(), MachineTypes(offered)))
        if (!store.limits.fits(change)) return
        store.client.rateLimiter.acquire(1)
        // Of the controllers that try at the same time, one succeeds. After any other outcome, the next answer of the
        // cloud triggers another attempt.
        val outcome = store.client.transact(change)
        log.debug("outcome={} machine types write completed", outcome)
    }

    /** Returns [types] with all prices zero: a change of prices alone is not written. */
    private fun withoutPrices(types: List<MachineType>) = types.map { it.copy(price = 0.0, spotPrice = 0.0) }

    private companion object {
        /** How long to wait for recorded types before the cloud is queried without them. */
        const val LOAD_TIMEOUT_MS = 4_000L

        /** How long recorded types are used before the cloud is queried for the first time. */
        const val FIRST_REFRESH_DELAY_MS = 10_000L
    }
}
