package io.otterknot.controller

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/**
 * Supervises the background tasks of a controller, each a named coroutine in [scope]. A task that fails or returns is
 * restarted after [RESTART_DELAY_MS], since no other controller does its work. Cancelling the scope ends all tasks.
 */
class BackgroundTasks(private val scope: CoroutineScope) {
    private val log = LoggerFactory.getLogger(BackgroundTasks::class.java)

    /** Starts [task]. Tasks first run in the order in which they are started. */
    fun start(name: String, task: suspend () -> Unit): Job = scope.launch(CoroutineName(name)) {
        while (true) {
            runLoggingFailure(name, task)
            delay(RESTART_DELAY_MS)
        }
    }

    /**
     * Runs [task] until it fails or returns; the coroutines that it has started end with it. Logs any exception except
     * cancellation with its cause, and likewise a [StackOverflowError], which some input may cause. Any other [Error],
     * such as an [OutOfMemoryError], ends the process: it may occur at any point and leave state in memory half changed.
     * The process is started again and reads its state from the store.
     */
    @Suppress("TooGenericExceptionCaught") // A task is restarted after any failure: no other controller does its work.
    private suspend fun runLoggingFailure(name: String, task: suspend () -> Unit) {
        try {
            coroutineScope { task() }
        } catch (e: CancellationException) {
            throw e
        } catch (e: Exception) {
            logFailure(name, e)
        } catch (e: StackOverflowError) {
            logFailure(name, e)
        }
    }

    private fun logFailure(name: String, failure: Throwable) =
        log.error("background_task={} restart_delay_ms={} failed", name, RESTART_DELAY_MS, failure)

    private companion object {
        const val RESTART_DELAY_MS = 500L
    }
}
