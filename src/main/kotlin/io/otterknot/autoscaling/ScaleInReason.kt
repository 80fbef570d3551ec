package io.otterknot.autoscaling

/** Why machines are released. */
enum class ScaleInReason(val logName: String) {
    /** They have stopped reporting while others go on, and hold up tasks or reconciliation. */
    UNRESPONSIVE("unresponsive"),

    /** They report, but the responses do not reach them. */
    LOSING_RESPONSES("losing_responses"),

    /** They were drained, because they are not needed or because they are faulty, and have no task left. */
    DRAINED("drained"),

    /** By the cloud's list they have failed, have been silent for too long, or have not booted in time. */
    FAILED_OR_SILENT("failed_or_silent"),
}
