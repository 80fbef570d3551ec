package io.otterknot.controller

import io.otterknot.config.WorkerSettings

private const val MS_PER_S = 1000

/** The longest that a machine's lease lasts without a heartbeat that was answered, in milliseconds. */
internal val WorkerSettings.leaseMs: Long get() = (leaseS * MS_PER_S).toLong()

/** The time between two heartbeats of a machine, in milliseconds. */
internal val WorkerSettings.heartbeatPeriodMs: Long get() = (heartbeatS * MS_PER_S).toLong()
