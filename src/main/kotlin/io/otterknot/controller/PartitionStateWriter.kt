package io.otterknot.controller

import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.Partition
import io.otterknot.store.BatchWriter
import io.otterknot.store.StoreReplica
import kotlinx.coroutines.delay

/**
 * Writes the state of the led partitions to the store, in one coroutine, so that only one batch is in flight at a time.
 * Owns no state.
 */
class PartitionStateWriter(
    private val replica: StoreReplica,
    private val partitions: Map<String, Partition>,
    private val leadership: PartitionLeadership,
    private val batchWriter: BatchWriter,
    /** The sources of writes, most urgent first: one batch may not be large enough for all writes. */
    private val sources: List<PartitionWriteSource>,
    private val jobFinalizer: JobFinalizer,
) {
    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PERIOD_MS)
            if (!replica.isLoaded) continue
            partitions.values.toList().forEach { write(it) }
            jobFinalizer.finishAll()
        }
    }

    private suspend fun write(partition: Partition) {
        val leaderCondition = leadership.leadershipCondition(partition.zone) ?: return
        if (leaderCondition.version != partition.fencingToken) return
        val writes = sources.flatMap { it.writes(partition) }
        batchWriter.write(leaderCondition, writes) { leadership.leadershipLost(partition.zone) }
    }

    private companion object {
        /** The pause between two rounds, so that completions reported within a short time are written together. */
        const val PERIOD_MS = 200L
    }
}
