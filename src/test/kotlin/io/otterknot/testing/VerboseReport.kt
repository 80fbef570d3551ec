package io.otterknot.testing

import io.otterknot.wire.Heartbeat
import io.otterknot.wire.TaskStatus

/**
 * The report of a worker that writes every field that PROTOCOL names, with a space after each colon and comma, and
 * escapes slashes: as long as a worker may make it.
 */
fun verboseReport(heartbeat: Heartbeat): String = with(heartbeat) {
    "{\"Holt\": \"$machine\", \"Endpoint\": \"$endpoint\", \"Breed\": \"$type\", \"Reach\": \"$zone\", " +
        "\"Driftwood\": $spot, \"Dive\": $epoch, \"Ripple\": $sequence, \"Warrant\": $fencingToken, " +
        "\"WarningS\": $spotNoticeS, \"Chores\": [${tasks.joinToString(", ", transform = ::verboseStatus)}]}"
}

private fun verboseStatus(status: TaskStatus): String {
    val name = status.task.replace("/", "\\/")
    val cause = status.cause?.let { "\"${it.wireName}\"" }
    return "{\"Chore\": \"$name\", \"Try\": ${status.attempt}, \"Mood\": \"${status.state.wireName}\", " +
        "\"Cause\": $cause, \"Saved\": ${status.saved}}"
}
