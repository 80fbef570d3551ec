package io.otterknot.scheduling

import io.otterknot.records.PartitionLoadRecord
import io.otterknot.records.PressureRecord
import io.otterknot.records.QuotaAmount
import io.otterknot.wire.JobSpec

/** The partition of [zone] as any controller sees it: what its leader publishes, plus what this controller adds. */
class PartitionView(val zone: String) {
    /** Cores that its jobs ask for, divided by [cores]; published by the leader, raised here by new jobs. */
    var mean = 0.0
    var cores = 0.0

    /** The same of ordinary machines and of jobs that may use no others. */
    var ordinaryMean = 0.0
    var ordinaryCores = 0.0

    /** What teams need there beyond the partition's quota share. */
    var needs: Map<String, QuotaAmount> = emptyMap()
        private set

    /** What rebalancing needs to know; null: the leader does not publish it. */
    var pressure: PressureRecord? = null
        private set

    /** Announced idle machines, as far as this controller knows. */
    var idleMachines = 0

    /** Takes over all that the leader of the partition has published; the announced idle machines stay as they are. */
    fun update(record: PartitionLoadRecord) {
        mean = record.meanLoad
        cores = record.cores
        needs = record.quotaNeeds
        pressure = record.pressure
        ordinaryMean = record.ordinaryMeanLoad
        ordinaryCores = record.ordinaryCores
    }

    /** The mean that matters to a job: free spot instances are of no use to one that must not use them. */
    fun meanFor(spec: JobSpec): Double = if (spec.spot) mean else maxOf(ordinaryMean, 0.0)

    /** Raises the mean in this view by what [tasks] of a job will add. */
    fun raise(spec: JobSpec, tasks: Int) {
        val addedCores = tasks * maxOf(spec.cores, MIN_TASK_CORES)
        mean += addedCores / maxOf(cores, MIN_CORES)
        if (!spec.spot) ordinaryMean += addedCores / maxOf(ordinaryCores, MIN_CORES)
    }

    /** A view of its own, for a choice that adds no load yet. */
    fun copy() = PartitionView(zone).also {
        it.mean = mean
        it.cores = cores
        it.ordinaryMean = ordinaryMean
        it.ordinaryCores = ordinaryCores
        it.idleMachines = idleMachines
    }

    private companion object {
        /** An empty partition counts as one small machine. */
        const val MIN_CORES = 32.0
        const val MIN_TASK_CORES = 0.1
    }
}
