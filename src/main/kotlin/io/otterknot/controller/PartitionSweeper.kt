package io.otterknot.controller

import io.otterknot.metrics.Metrics
import io.otterknot.partition.Partition
import kotlinx.coroutines.delay

/** Sweeps all led partitions for expired leases and timeouts, at a fixed period. */
class PartitionSweeper(
    private val partitions: Map<String, Partition>,
    private val activator: PartitionActivator,
    private val metrics: Metrics,
    private val nowMs: () -> Long,
) {
    /** Runs until cancelled. */
    suspend fun run() {
        var stalledUntilMs = Long.MIN_VALUE
        while (true) {
            val sleptAtMs = nowMs()
            delay(PERIOD_MS)
            val now = nowMs()
            val lateMs = now - sleptAtMs - PERIOD_MS
            metrics.recordDuration("sweep late", lateMs)
            metrics.logPeriodically()
            if (lateMs > STALL_MS) stalledUntilMs = now + STALL_RECOVERY_MS
            activator.activateAcquired()
            partitions.values.forEach { it.sweep(now, isLeaderSlow = now < stalledUntilMs) }
        }
    }

    private companion object {
        const val PERIOD_MS = 500L

        /** A sweep that is later than this shows that the process got no turn, and its responses came late. */
        const val STALL_MS = 1_500L

        /** How long after a stall no machine is blamed for lost responses: this process answered too late. */
        const val STALL_RECOVERY_MS = 5_000L
    }
}
