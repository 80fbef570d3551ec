package io.otterknot.partition

/** The state of a partition that heartbeats and timeouts change. */
class PartitionState(
    val machines: PartitionMachines,
    val attempts: AttemptLedger,
    val unknownUsage: UnknownUsage,
    val health: MachineHealth,
    val decisions: DecisionLog,
)
