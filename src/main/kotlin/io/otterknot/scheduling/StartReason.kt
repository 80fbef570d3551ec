package io.otterknot.scheduling

/** Why a task may be started: how it is known that no worker runs an attempt of it or will do so. */
enum class StartReason(val logName: String) {
    /** The task came to this partition after the acquisition, and no attempt of it was made here. */
    NEVER_STARTED("never started"),

    /** An attempt was booked, but its start command was never sent. */
    NEVER_SENT("never sent"),

    /** A heartbeat reported that the attempt has exited. */
    EXIT_REPORTED("exit reported"),

    /** A heartbeat that was sent after the start command had arrived or been dropped does not show the attempt. */
    ABSENT_FROM_HEARTBEAT("absent from heartbeat"),

    /** A heartbeat showed a later epoch: the worker has killed all attempts of earlier ones. */
    NEW_EPOCH("new epoch"),

    /** The machine's lease has expired, and no other controller can have renewed it. */
    LEASE_EXPIRED("lease expired"),

    /** The machine no longer exists, and no other controller can have started its tasks again. */
    MACHINE_GONE("machine gone"),

    /** The task was inherited, and every machine that could hold it was reconciled without showing it. */
    RECONCILED("reconciled"),

    /** The reassignment of the pending task to another partition was not applied. */
    NOT_REASSIGNED("not reassigned"),
}
