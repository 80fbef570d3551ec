package io.otterknot.autoscaling

/**
 * The kind of machine in a scale-out request: the name of a type in [MachineTypeCatalog], as a spot instance or not.
 */
data class MachineKind(val type: String, val spot: Boolean)
