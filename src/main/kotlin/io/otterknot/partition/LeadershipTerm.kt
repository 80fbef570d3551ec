package io.otterknot.partition

/**
 * One controller's leadership of the partition of [zone], from its acquisition until it is lost.
 *
 * @property fencingToken increases with each change of leader; workers drop responses with a lower one.
 * @property acquiredMs when the partition was acquired, by this controller's monotonic clock.
 * @property priorLeaderUntilMs until when, by the same clock, an earlier leader may respond to heartbeats.
 */
class LeadershipTerm(val zone: String, val fencingToken: Long, val acquiredMs: Long, val priorLeaderUntilMs: Long)
