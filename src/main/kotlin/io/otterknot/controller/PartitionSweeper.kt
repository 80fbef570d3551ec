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
            val sleepStartMs = nowMs()
            delay(PERIOD_MS)
            val now = nowMs()
            val lateMs = now - sleepStartMs - PERIOD_MS
            metrics.recordDuration("sweep late", lateMs)
            metrics.logPeriodically()
            if (lateMs > STALL_THRESHOLD_MS) stalledUntilMs = now + STALL_RECOVERY_MS
            activator.activateAcquired()
            partitions.values.forEach { it.sweep(now, isLeaderSlow = now < stalledUntilMs) }
        }
    }

    private companion object {
        const val PERIOD_MS = 500L

        /** A sweep that is later than this shows that the process was stalled, so its responses were late too. */
        const val STALL_THRESHOLD_MS = 1_500L

        /** How long after a stall lost responses do not count against machines: this process answered too late. */
        const val STALL_RECOVERY_MS = 5_000L
    }
}
