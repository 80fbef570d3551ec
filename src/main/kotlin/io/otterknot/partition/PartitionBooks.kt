package io.otterknot.partition

/** The state of a partition that heartbeats and the passing of time change. */
class PartitionBooks(
    val machines: MachineBook,
    val attempts: AttemptLedger,
    val unknownUsage: UnknownUsage,
    val health: MachineHealth,
)
