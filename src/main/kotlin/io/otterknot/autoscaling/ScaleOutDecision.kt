package io.otterknot.autoscaling

/** To scale a partition out by [count] machines of one [kind], which have [cores] cores together. */
class ScaleOutDecision(val kind: MachineKind, val count: Int, val cores: Double)
