package io.otterknot.cli

/** What the process ends with; the values that picocli uses, without loading its classes. */
internal object ExitCode {
    const val OK = 0

    /** The controller could not run, as when its port is taken. */
    const val FAILURE = 1

    /** The command line or a settings file is invalid. */
    const val USAGE = 2
}
