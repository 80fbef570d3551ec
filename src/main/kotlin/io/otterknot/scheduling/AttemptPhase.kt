package io.otterknot.scheduling

/** How far an attempt has come, as far as this controller knows. */
enum class AttemptPhase {
    /** Placed here; its start has not been sent, so it can be undone at once. */
    BOOKED,

    /** Its start was sent and no heartbeat has shown it yet. */
    SENT,
    FETCHING,
    RUNNING,

    /** Writing its checkpoint after it was told to stop. */
    SAVING,

    /** Exited, lost or undone: it occupies nothing any more. */
    EXITED,
}
