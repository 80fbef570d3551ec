package io.otterknot.autoscaling

/** What a scale-out request asks for: a machine type, by its name in [MachineTypeCatalog], as spot instance or not. */
data class MachineKind(val type: String, val spot: Boolean)
