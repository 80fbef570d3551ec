package io.otterknot.reassignment

import io.otterknot.partition.Partition
import io.otterknot.scheduling.HeartbeatSpace
import io.otterknot.wire.JobSpec

/**
 * The load of a partition between two reassignments. Each value is a sum over all machines and jobs, so it is computed
 * on first use and then cached.
 */
internal class LoadBeforeReassignment(partition: Partition) {
    private val mean by lazy(LazyThreadSafetyMode.NONE) { partition.load.mean() }
    private val ordinaryMean by lazy(LazyThreadSafetyMode.NONE) { partition.load.ordinaryMean() }
    private val cores by lazy(LazyThreadSafetyMode.NONE) { partition.load.totalCores }
    private val machineCores by lazy(LazyThreadSafetyMode.NONE) { partition.load.meanMachineCores() }
    private val ordinaryCores by lazy(LazyThreadSafetyMode.NONE) { partition.load.ordinaryCores }

    /** Returns the cores that one task of [spec] takes, see [HeartbeatSpace.equivalentCores]. */
    fun taskCores(spec: JobSpec): Double = HeartbeatSpace.equivalentCores(spec, machineCores)

    /** Returns the mean load of the machines that tasks of [spec] may run on. */
    fun meanFor(spec: JobSpec): Double = if (spec.spot) mean else ordinaryMean

    /** Returns the total cores of the machines that tasks of [spec] may run on. */
    fun coresFor(spec: JobSpec): Double = if (spec.spot) cores else ordinaryCores
}
