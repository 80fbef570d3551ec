package io.otterknot.partition

/**
 * Until when this controller is known to have been the only leader of its partitions.
 *
 * A leader that was taken over by force may act until its fence expires. Meanwhile the new leader renews the leases of
 * the machines that report to it, so the former leader must not conclude from the silence of a machine, or from its
 * release, that the machine's tasks may be started again. It may do so once its leadership was confirmed after the lease
 * had expired or the machine was gone: any later leader then finds the tasks on no machine either.
 */
interface LeadershipConfirmation {
    /**
     * A time of the monotonic clock, in milliseconds: at this time or later the store still showed this controller as
     * the leader of each partition that it led by then.
     */
    val confirmedMs: Long

    /** Requests a new confirmation without waiting for the next periodic one. Returns immediately. */
    fun request()

    /** Whether the leadership was confirmed after [timeMs]; requests a confirmation if not. */
    fun isConfirmedAfter(timeMs: Long): Boolean {
        val isConfirmed = confirmedMs > timeMs
        if (!isConfirmed) request()
        return isConfirmed
    }
}
