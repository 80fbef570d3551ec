package io.otterknot.partition

/** Notified when the state of a partition contradicts a rule that keeps a task from running twice at a time. */
fun interface InvariantMonitor {
    fun violated(description: String)
}
