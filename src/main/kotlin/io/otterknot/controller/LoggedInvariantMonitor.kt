package io.otterknot.controller

import io.otterknot.metrics.Metrics
import io.otterknot.partition.InvariantMonitor
import org.slf4j.LoggerFactory

/** Logs and counts violated invariants. The process goes on: what can be refused safely has been refused. */
class LoggedInvariantMonitor(private val metrics: Metrics) : InvariantMonitor {
    private val log = LoggerFactory.getLogger(LoggedInvariantMonitor::class.java)

    /** How many violations there have been since the start. */
    var count = 0
        private set

    override fun violated(description: String) {
        count++
        metrics.count("invariants violated")
        log.error("violation=\"{}\" invariant violated", description)
    }
}
