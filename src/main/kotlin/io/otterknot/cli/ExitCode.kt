package io.otterknot.cli

/** Exit codes of the process. The values equal picocli's and are repeated here so that its classes are not loaded. */
internal object ExitCode {
    const val OK = 0

    /** The controller could not run, for example because its port is in use. */
    const val FAILURE = 1

    /** The command line or a settings file is invalid. */
    const val USAGE = 2
}
