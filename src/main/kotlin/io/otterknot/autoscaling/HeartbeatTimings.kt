package io.otterknot.autoscaling

/** How often workers send heartbeats, and how long their lease lasts without a response (PROTOCOL). */
class HeartbeatTimings(val heartbeatPeriodMs: Long, val leaseMs: Long)
