package io.otterknot.scheduling

/** The phase of an attempt, as last observed by this controller. */
enum class AttemptPhase {
    /** Placed on the machine. The start command has not been sent, so the placement can be undone immediately. */
    BOOKED,

    /** The start command was sent and no heartbeat has reported the attempt yet. */
    SENT,
    FETCHING,
    RUNNING,

    /** Writing its checkpoint after a halt command. */
    SAVING,

    /** Exited, lost or undone: the attempt no longer occupies resources. */
    EXITED,
}
