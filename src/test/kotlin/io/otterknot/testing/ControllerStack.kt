package io.otterknot.testing

import java.util.concurrent.FutureTask

/** The stack of a controller's thread in bytes: `-Xss256k` in deploy/service.toml. */
private const val CONTROLLER_STACK_BYTES = 256L * 1024

/** Runs [work] on a thread whose stack is as large as a controller's, and returns its result. */
fun <T> onControllerStack(work: () -> T): T = onThreadWithStack(CONTROLLER_STACK_BYTES, work)

/** Runs [work] on a thread with a stack of [stackBytes], and returns its result. */
fun <T> onThreadWithStack(stackBytes: Long, work: () -> T): T {
    // A failure is passed on as a value, since FutureTask would wrap it.
    val task = FutureTask { runCatching(work) }
    Thread(null, task, "stack-$stackBytes", stackBytes).start()
    return task.get().getOrThrow()
}
