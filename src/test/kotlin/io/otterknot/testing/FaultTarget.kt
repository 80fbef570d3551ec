package io.otterknot.testing

/** A cluster into which faults can be injected; see [RandomFault]. */
interface FaultTarget : WorkerEnvironment {
    val zones: List<String>
    val state: FakeKeyValueStore

    /** Nodes that have no connection to other controllers, in either direction. */
    val nodesWithoutPeers: MutableSet<String>

    fun machines(): List<SimulatedWorker>

    /** The leader of each partition that has one, as stored in the state service. */
    fun partitionLeaders(): Map<String, String>

    /** Ends the process of a node without notice; no effect if it does not run. */
    fun crash(label: String)

    /** Starts the process of a node; no effect if it runs. */
    fun startNode(label: String)

    /** The cloud terminates a machine without notice. */
    fun reclaim(worker: SimulatedWorker)
}
