package io.otterknot.partition

/** How the books of a partition tell the scheduler, which reads them, that they have changed. */
interface PlacementTrigger {
    /** A task has come to wait, or fits where it did not: the next pass looks at all machines. */
    fun requestFullPass()

    /** The queue of jobs has changed, but nothing more can be placed than before. */
    fun requestReordering()
}
