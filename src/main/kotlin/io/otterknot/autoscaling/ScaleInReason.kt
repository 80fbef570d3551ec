package io.otterknot.autoscaling

/** Why machines are released; [logName] is the value in the log. */
enum class ScaleInReason(val logName: String) {
    /** The machines have stopped reporting while others still report, and they block tasks or the reconciliation. */
    UNRESPONSIVE("unresponsive"),

    /** The machines send heartbeats, but the responses do not reach them. */
    LOSING_RESPONSES("losing_responses"),

    /** The machines were drained, as surplus or as faulty, and have no task left. */
    DRAINED("drained"),

    /** Machines in the cloud's list that have failed, have not reported for too long, or have not booted in time. */
    FAILED_OR_SILENT("failed_or_silent"),
}
