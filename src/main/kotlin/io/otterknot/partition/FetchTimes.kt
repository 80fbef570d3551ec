package io.otterknot.partition

import io.otterknot.scheduling.AttemptPhase
import io.otterknot.scheduling.Machine
import io.otterknot.wire.JobSpec

/** How long images take to fetch in a partition, against what the cloud says of its machines. */
class FetchTimes {
    /** How many times as long as by the nominal rate; recent fetches count most. */
    var factor = 1.0
        private set

    /** A task of [spec] began to run on [machine] so long after its start was sent, having been seen to fetch. */
    fun fetched(machine: Machine, spec: JobSpec, tookMs: Long) {
        val nominalS = nominalS(machine, spec)
        if (nominalS < SHORTEST_S || isShared(machine, spec)) return
        factor += ((tookMs / 1000.0 / nominalS).coerceIn(LEAST, MOST) - factor) * WEIGHT
    }

    private fun nominalS(machine: Machine, spec: JobSpec): Double =
        if (machine.type.fetchGbPerS > 0) spec.imageGb / machine.type.fetchGbPerS else 0.0

    /** Several images fetched at a time may share the rate, which says nothing of one alone. */
    private fun isShared(machine: Machine, spec: JobSpec): Boolean =
        machine.attempts.values.any { it.phase == AttemptPhase.FETCHING && it.job.spec.image != spec.image }

    private companion object {
        const val SHORTEST_S = 0.5
        const val WEIGHT = 0.1
        const val LEAST = 0.25
        const val MOST = 8.0
    }
}
