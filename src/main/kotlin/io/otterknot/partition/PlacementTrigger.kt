package io.otterknot.partition

/** Notifies the scheduler of changes to the partition's state that it reads. */
interface PlacementTrigger {
    /**
     * Requests that the next scheduling pass examines all machines, since a task has become pending or may fit where it
     * did not fit before.
     */
    fun requestFullPass()

    /** Requests that the queue of jobs is sorted again: it has changed, but no more tasks can be placed than before. */
    fun requestReordering()
}
