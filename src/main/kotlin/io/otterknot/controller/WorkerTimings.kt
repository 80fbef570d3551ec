package io.otterknot.controller

import io.otterknot.config.WorkerSettings

private const val MS_PER_S = 1000

/** The maximum time that a machine's lease lasts without an answered heartbeat, in milliseconds. */
internal val WorkerSettings.leaseMs: Long get() = (leaseS * MS_PER_S).toLong()

/** The time between two heartbeats of a machine, in milliseconds. */
internal val WorkerSettings.heartbeatPeriodMs: Long get() = (heartbeatS * MS_PER_S).toLong()
