package io.otterknot.reassignment

import io.otterknot.partition.Partition
import io.otterknot.wire.JobSpec

/**
 * The load of a partition between two reassignments. Each figure is a sum over all machines and jobs, so it is computed
 * once and only if it is asked for.
 */
internal class LoadBeforeReassignment(partition: Partition) {
    private val mean by lazy(LazyThreadSafetyMode.NONE) { partition.load.mean() }
    private val ordinaryMean by lazy(LazyThreadSafetyMode.NONE) { partition.load.ordinaryMean() }
    private val cores by lazy(LazyThreadSafetyMode.NONE) { partition.load.totalCores }
    private val ordinaryCores by lazy(LazyThreadSafetyMode.NONE) { partition.load.ordinaryCores }

    /** The mean load of the machines that tasks of [spec] may run on. */
    fun meanFor(spec: JobSpec): Double = if (spec.spot) mean else ordinaryMean

    /** The cores of the machines that tasks of [spec] may run on. */
    fun coresFor(spec: JobSpec): Double = if (spec.spot) cores else ordinaryCores
}
