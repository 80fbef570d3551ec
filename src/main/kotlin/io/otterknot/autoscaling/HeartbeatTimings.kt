package io.otterknot.autoscaling

/** The interval of worker heartbeats, and how long a worker's lease lasts without a response (PROTOCOL). */
class HeartbeatTimings(val heartbeatPeriodMs: Long, val leaseMs: Long)
