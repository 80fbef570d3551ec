package io.otterknot.leadership

/**
 * The time to live of the store lease in milliseconds: long enough to outlast an outage of the store, and short enough
 * that a leader that is isolated from the store stops, and its workers' leases ([workerLeaseS]) expire, before the
 * tasks of a cancelled job must have stopped ([cancelS]). See "Its tasks are gone in time" in `docs/design.md`.
 */
fun storeLeaseTtlMs(workerLeaseS: Double, cancelS: Double): Long =
    ((cancelS - workerLeaseS - CANCELLATION_MARGIN_S) * MS_PER_S).toLong().coerceIn(MIN_TTL_MS, MAX_TTL_MS)

private const val CANCELLATION_MARGIN_S = 3.0
private const val MS_PER_S = 1_000
private const val MIN_TTL_MS = 2_000L
private const val MAX_TTL_MS = 30_000L
