package io.otterknot.soak

/** The loopback ports of a soak run, counted from [base]. */
class SoakPorts(private val base: Int, private val nodes: List<String>) {
    val cloud: Int get() = base

    fun workersAndUsers(node: String) = base + OFFSET_WORKERS + nodes.indexOf(node)

    /** The port of the state service for [node] alone, so that faults can concern one node. */
    fun state(node: String) = base + OFFSET_STATE + nodes.indexOf(node)

    fun peers(node: String) = base + OFFSET_PEERS + nodes.indexOf(node)

    /** The port at which [from] reaches the peer port of [to]. */
    fun peerLink(from: String, to: String) = base + OFFSET_LINKS + nodes.indexOf(from) * nodes.size + nodes.indexOf(to)

    companion object {
        private const val OFFSET_WORKERS = 10
        private const val OFFSET_STATE = 20
        private const val OFFSET_PEERS = 30
        private const val OFFSET_LINKS = 40

        /** How many ports a run with three controllers may use. */
        const val COUNT = 50
    }
}
