package io.otterknot.partition

import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.wire.JobSpec

/** How long fetches of images take in a partition, compared with the rate that the cloud states for its machines. */
class FetchTimes {
    /** How many times as long as by the stated rate a fetch takes; recent fetches count most. */
    var factor = 1.0
        private set

    /** A task of [spec] that was seen to fetch began to run on [machine], [tookMs] after its start was sent. */
    fun record(machine: Machine, spec: JobSpec, tookMs: Long) {
        val statedS = statedS(machine, spec)
        if (statedS < MIN_STATED_S || isRateShared(machine, spec)) return
        factor += ((tookMs / MS_PER_S / statedS).coerceIn(MIN_FACTOR, MAX_FACTOR) - factor) * WEIGHT
    }

    private fun statedS(machine: Machine, spec: JobSpec): Double =
        if (machine.type.fetchGbPerS > 0) spec.imageGb / machine.type.fetchGbPerS else 0.0

    /** Several images fetched at a time may share the rate, which says nothing of one alone. */
    private fun isRateShared(machine: Machine, spec: JobSpec): Boolean =
        machine.attempts.values.any { it.phase == AttemptPhase.FETCHING && it.job.spec.image != spec.image }

    private companion object {
        const val MS_PER_S = 1000.0

        /** Shorter fetches say more of the interval of heartbeats than of the rate. */
        const val MIN_STATED_S = 0.5
        const val MIN_FACTOR = 0.25
        const val MAX_FACTOR = 8.0

        /** How much the latest fetch counts in [factor]. */
        const val WEIGHT = 0.1
    }
}
