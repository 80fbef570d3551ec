package io.otterknot.controller

import io.otterknot.ratelimit.RateLimiter
import io.otterknot.records.StoreKeys
import io.otterknot.records.decodeRecord
import io.otterknot.records.encodeRecord
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.StoreReplica
import io.otterknot.store.WriteLimits
import io.otterknot.wire.MachineType
import io.otterknot.wire.MachineTypes
import org.slf4j.LoggerFactory

/** Keeps what the cloud offers for controllers that start while it is away. */
class MachineTypeRecorder(
    private val client: KeyValueStoreClient,
    private val replica: StoreReplica,
    private val budget: RateLimiter,
    private val limits: WriteLimits,
) {
    private val log = LoggerFactory.getLogger(MachineTypeRecorder::class.java)

    suspend fun record(offered: List<MachineType>) {
        replica.awaitLoaded()
        val stored = replica.snapshot(StoreKeys.MACHINE_TYPES)
        val known = stored.value?.let { decodeRecord(MachineTypes.serializer(), it).types }.orEmpty()
        if (withoutPrices(known) == withoutPrices(offered)) return
        val change = CompareAndSwap.put(stored, encodeRecord(MachineTypes.serializer(), MachineTypes(offered)))
        if (!limits.fits(change)) return
        budget.acquire(1)
        // One of the nodes that try succeeds; whatever else comes of it, the next answer of the cloud tries again.
        val outcome = client.transact(change)
        log.debug("machine types written: {}", outcome)
    }

    /** Prices alone are no reason to write. */
    private fun withoutPrices(types: List<MachineType>) = types.map { it.copy(price = 0.0, spotPrice = 0.0) }
}
