package io.otterknot.soak

import java.nio.file.Path

/**
 * What one soak run does.
 *
 * @property faultSeconds how long faults are injected; the last of them may end some seconds later
 * @property faultName only faults whose name contains this are injected
 * @property machines how many machines are up at the start, in all zones together
 * @property portBase the first of the loopback ports that the run uses
 * @property directory where the controllers' logs, the fault log and the task trace are written
 */
class SoakOptions(
    val seed: Long,
    val faultSeconds: Int,
    val faultName: String,
    val machines: Int,
    val portBase: Int,
    val directory: Path,
    val logLevel: String = "info",
)
