package io.otterknot.scheduling

import io.otterknot.records.PartitionLoadRecord
import io.otterknot.records.PressureRecord
import io.otterknot.records.QuotaAmount
import io.otterknot.wire.JobSpec

/** A controller's view of the partition of [zone]: what the leader publishes, plus load that this controller adds. */
class PartitionView(val zone: String) {
    /**
     * The mean load: the cores requested by the partition's jobs, divided by [cores]. The leader publishes it; [raise]
     * adds new jobs.
     */
    var mean = 0.0
    var cores = 0.0

    /** The mean load of ordinary (non-spot) machines, from the jobs that may not run on spot instances. */
    var ordinaryMean = 0.0
    var ordinaryCores = 0.0

    /** The amount of quota that each team needs in the partition beyond the partition's share. */
    var needs: Map<String, QuotaAmount> = emptyMap()
        private set

    /** The input for rebalancing, or null if the leader does not publish it. */
    var pressure: PressureRecord? = null
        private set

    /** The number of announced idle machines, as far as this controller has been notified. */
    var idleMachines = 0

    /** Replaces everything that the partition's leader publishes. [idleMachines] is announced separately and stays. */
    fun update(record: PartitionLoadRecord) {
        mean = record.meanLoad
        cores = record.cores
        needs = record.quotaNeeds
        pressure = record.pressure
        ordinaryMean = record.ordinaryMeanLoad
        ordinaryCores = record.ordinaryCores
    }

    /**
     * Returns the mean load relevant for [spec]. For a job that may not use spot instances that is the load of ordinary
     * machines alone.
     */
    fun meanFor(spec: JobSpec): Double = if (spec.spot) mean else maxOf(ordinaryMean, 0.0)

    /** Raises the mean load in this view by the load that [tasks] tasks of [spec] will add. */
    fun raise(spec: JobSpec, tasks: Int) {
        val addedCores = tasks * maxOf(spec.cores, MIN_TASK_CORES)
        mean += addedCores / maxOf(cores, MIN_CORES)
        if (!spec.spot) ordinaryMean += addedCores / maxOf(ordinaryCores, MIN_CORES)
    }

    /** Returns an independent copy for a tentative choice, without [needs] and [pressure]. */
    fun copy() = PartitionView(zone).also {
        it.mean = mean
        it.cores = cores
        it.ordinaryMean = ordinaryMean
        it.ordinaryCores = ordinaryCores
        it.idleMachines = idleMachines
    }

    companion object {
        /** The cores of one small machine; a partition without machines counts as having this many. */
        const val MIN_CORES = 32.0
        private const val MIN_TASK_CORES = 0.1
    }
}
