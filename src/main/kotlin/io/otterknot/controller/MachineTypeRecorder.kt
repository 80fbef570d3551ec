package io.otterknot.controller

import io.otterknot.ratelimit.RateBudget
import io.otterknot.records.Keys
import io.otterknot.records.decodeRecord
import io.otterknot.records.encodeRecord
import io.otterknot.store.GuardedChange
import io.otterknot.store.Replica
import io.otterknot.store.StateClient
import io.otterknot.store.WriteLimits
import io.otterknot.wire.MachineType
import io.otterknot.wire.MachineTypes
import org.slf4j.LoggerFactory

/** Keeps what the cloud offers for controllers that start while it is away. */
class MachineTypeRecorder(
    private val client: StateClient,
    private val replica: Replica,
    private val budget: RateBudget,
    private val limits: WriteLimits,
) {
    private val log = LoggerFactory.getLogger(MachineTypeRecorder::class.java)

    suspend fun record(offered: List<MachineType>) {
        replica.awaitLoaded()
        val stored = replica.snapshot(Keys.TYPES)
        val known = stored.value?.let { decodeRecord(MachineTypes.serializer(), it).types }.orEmpty()
        if (withoutPrices(known) == withoutPrices(offered)) return
        val change = GuardedChange.put(stored, encodeRecord(MachineTypes.serializer(), MachineTypes(offered)))
        if (!limits.fits(change)) return
        budget.take(1)
        // One of the nodes that try succeeds; whatever else comes of it, the next answer of the cloud tries again.
        val outcome = client.txn(change)
        log.debug("machine types written: {}", outcome)
    }

    /** Prices alone are no reason to write. */
    private fun withoutPrices(types: List<MachineType>) = types.map { it.copy(price = 0.0, spotPrice = 0.0) }
}
