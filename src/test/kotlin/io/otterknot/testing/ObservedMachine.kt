package io.otterknot.testing

/** A machine as [SafetyChecks] sees it. */
interface ObservedMachine {
    val id: String
    val zone: String
    val spot: Boolean
    val freeCores: Double

    /** Whether it can run waiting tasks: no fault affects it, and it has been up for a while. */
    val isHealthy: Boolean

    /** The tasks that run on this machine, by name: their image is fetched and they have not exited. */
    fun runningTasks(): Map<String, SimulatedTask>

    /** Whether [task] is one of [runningTasks]. */
    fun isRunning(task: String): Boolean = task in runningTasks()

    /** The names of the tasks that have not exited, also those that still fetch their image. */
    fun activeTasks(): Set<String>
}
