package io.otterknot.controller

import io.otterknot.autoscaling.MachineCatalog
import io.otterknot.jobs.Job
import io.otterknot.jobs.JobTable
import io.otterknot.leadership.Ownership
import io.otterknot.partition.Partition
import io.otterknot.quota.Allotments
import io.otterknot.records.Keys
import io.otterknot.records.MeanRecord
import io.otterknot.records.decodeRecord
import io.otterknot.scheduling.PartitionView
import io.otterknot.store.Entry
import io.otterknot.wire.MachineTypes

/** Tells each change of the replica to what depends on it. */
class ReplicaDispatcher(
    private val jobs: JobTable,
    private val partitions: Map<String, Partition>,
    private val machines: RegisteredMachines,
    private val ownership: Ownership,
    private val catalog: MachineCatalog,
    private val allotments: Allotments,
    private val views: Map<String, PartitionView>,
) {
    /** [entry] is null for a removed key. */
    fun changed(key: String, entry: Entry?) {
        when {
            key.startsWith(Keys.JOBS) -> updateJobs(jobs.changeJob(key, entry))

            key.startsWith(Keys.AWAITS) -> updateJobs(jobs.changeAwaits(key, entry))

            key.startsWith(Keys.DONE) -> updateCompletions(jobs.changeDone(key, entry))

            key.startsWith(Keys.MACHINES) -> machinesChanged(key.removePrefix(Keys.MACHINES).substringBefore('/'))

            key.startsWith(Keys.PARTITIONS) ->
                ownership.partitionChanged(key.removePrefix(Keys.PARTITIONS), entry?.version)

            key.startsWith(Keys.OVERRIDES) ->
                ownership.overrides.changed(key.removePrefix(Keys.OVERRIDES), present = entry != null)

            key == Keys.TYPES -> typesChanged(entry)

            key.startsWith(Keys.ALLOTMENTS) -> allotments.changed(key.removePrefix(Keys.ALLOTMENTS))

            key.startsWith(Keys.MEANS) -> meanChanged(key.removePrefix(Keys.MEANS), entry)
        }
    }

    private fun updateJobs(changed: List<Job>) {
        for (partition in partitions.values) {
            for (job in changed) partition.updateJob(job, inherited = false)
        }
    }

    private fun updateCompletions(changed: List<Job>) {
        for (job in changed) {
            for (partition in partitions.values) partition.updateDone(job)
        }
    }

    private fun machinesChanged(zone: String) {
        machines.changed(zone)
        partitions[zone]?.registeredNow(machines.of(zone).keys)
    }

    private fun typesChanged(entry: Entry?) {
        if (entry != null) catalog.remembered(decodeRecord(MachineTypes.serializer(), entry.value).types)
    }

    private fun meanChanged(zone: String, entry: Entry?) {
        val view = views[zone] ?: return
        val mean = if (entry == null) MeanRecord(0.0) else decodeRecord(MeanRecord.serializer(), entry.value)
        view.mean = mean.mean
        view.cores = mean.cores
        view.needs = mean.needs
        view.pressure = mean.pressure
        view.ordinaryMean = mean.ordinaryMean
        view.ordinaryCores = mean.ordinaryCores
    }
}
