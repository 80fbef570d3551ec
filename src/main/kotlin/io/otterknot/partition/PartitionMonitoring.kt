package io.otterknot.partition

/**
 * Where a partition reports what it decides, and what contradicts its rules.
 *
 * @param count adds one to the counter of the given name
 */
class PartitionMonitoring(val count: (counter: String) -> Unit, val invariants: InvariantMonitor)
