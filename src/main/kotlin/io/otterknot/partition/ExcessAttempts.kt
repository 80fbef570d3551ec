package io.otterknot.partition

import io.otterknot.scheduling.Attempt
import io.otterknot.scheduling.Machine
import io.otterknot.wire.HeartbeatSize
import io.otterknot.wire.MAX_BODY_BYTES
import org.slf4j.LoggerFactory

/**
 * Stops attempts on machines that have more tasks than their heartbeats may report. Placement does not let that happen,
 * but a machine may have been filled by an earlier leader whose version did not count the size of heartbeats. Once all
 * its tasks have exited, its heartbeats would be refused.
 */
class ExcessAttempts(private val zone: String, private val attempts: AttemptLedger) {
    private val log = LoggerFactory.getLogger(ExcessAttempts::class.java)

    /**
     * Stops attempts on [machine] until the others fit in a heartbeat, those of the lowest priority and the latest
     * started first. [heartbeatBytes] is the size of the current heartbeat: the status of a stopped attempt is larger,
     * so only as many are stopped at a time as the next heartbeat may report.
     */
    fun stop(machine: Machine, heartbeatBytes: Int) {
        var excessBytes = machine.resources.excessStatusBytes
        if (excessBytes <= 0) return
        val maxStops = (MAX_BODY_BYTES - heartbeatBytes) / HeartbeatSize.MAX_STATUS_GROWTH_BYTES
        val stoppable = machine.attempts.values.filterNot { it.stopping }.sortedWith(LEAST_URGENT_FIRST)
        var stopCount = 0
        for (attempt in stoppable) {
            if (excessBytes <= 0 || stopCount >= maxStops) break
            excessBytes -= HeartbeatSize.ofStatus(attempt.job.spec)
            attempts.stop(attempt)
            stopCount++
        }
        log.warn(
            "partition={} machine={} attempts={} heartbeat_bytes={} stopped={} " +
                "more tasks than a heartbeat may report, stopping some",
            zone,
            machine.id,
            machine.attempts.size,
            heartbeatBytes,
            stopCount,
        )
    }

    private companion object {
        val LEAST_URGENT_FIRST =
            compareByDescending<Attempt> { it.job.spec.priority }.thenByDescending { it.phaseSinceMs }
    }
}
