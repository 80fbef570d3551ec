package io.otterknot.autoscaling

/** A decision to add [count] machines of one [kind], with [cores] cores in total, to a partition. */
class ScaleOutDecision(val kind: MachineKind, val count: Int, val cores: Double)
