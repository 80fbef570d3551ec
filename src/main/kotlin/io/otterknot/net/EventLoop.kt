package io.otterknot.net

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.async
import java.io.Closeable
import java.nio.ByteBuffer
import java.nio.channels.SelectableChannel
import java.nio.channels.SelectionKey
import java.nio.channels.Selector
import java.util.TreeSet
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.coroutines.CoroutineContext

/**
 * One thread that runs all coroutines, waits for all sockets and keeps all timers, so that a request passes from its
 * socket to the decision and back without waking another thread. Only [dispatch] may be called from other threads.
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
class EventLoop :
    CoroutineDispatcher(),
    Delay,
    Closeable {
    private val selector = Selector.open()
    private val ready = ArrayDeque<Runnable>()
    private val dispatchedElsewhere = ConcurrentLinkedQueue<Runnable>()
    private val timers = TreeSet<Timer>()
    private var timersMade = 0L

    @Volatile
    private var thread: Thread? = null

    /** What passes between a socket and the heap; used within one read or write only. */
    internal val transferBuffer: ByteBuffer = ByteBuffer.allocateDirect(TRANSFER_BYTES)

    /** Runs [work] and everything that it launches on the calling thread until all has ended. */
    fun <T> run(work: suspend CoroutineScope.() -> T): T {
        thread = Thread.currentThread()
        val result = CoroutineScope(this).async { work() }
        while (!result.isCompleted) {
            runDueTimers()
            runReadyTasks()
            if (!result.isCompleted) awaitSockets()
        }
        return result.getCompleted()
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (Thread.currentThread() === thread) {
            ready.addLast(block)
        } else {
            dispatchedElsewhere.add(block)
            selector.wakeup()
        }
    }

    /** Runs what is ready; after [TASKS_A_TURN] of them the sockets and timers have their turn. */
    private fun runReadyTasks() {
        while (true) ready.addLast(dispatchedElsewhere.poll() ?: break)
        var count = 0
        while (ready.isNotEmpty() && count++ < TASKS_A_TURN) ready.removeFirst().run()
    }

    private fun awaitSockets() {
        val waitMs = if (ready.isEmpty()) untilNextTimerMs() else 0L
        if (waitMs > 0) selector.select(::socketReady, waitMs) else selector.selectNow(::socketReady)
    }

    private fun socketReady(key: SelectionKey) {
        (key.attachment() as AwaitableSocket).becameReady()
    }

    internal fun register(channel: SelectableChannel, socket: AwaitableSocket): SelectionKey =
        channel.register(selector, 0, socket)

    // ---- timers

    private inner class Timer(val atNs: Long, val number: Long, val block: Runnable) :
        Comparable<Timer>,
        DisposableHandle {
        /** By difference, since the clock's origin is arbitrary. */
        override fun compareTo(other: Timer): Int {
            val difference = atNs - other.atNs
            return if (difference != 0L) difference.compareTo(0) else number.compareTo(other.number)
        }

        override fun dispose() {
            timers.remove(this)
        }
    }

    private fun schedule(delayMs: Long, block: Runnable): Timer {
        val atNs = System.nanoTime() + minOf(delayMs, LONGEST_DELAY_MS) * NS_A_MS
        return Timer(atNs, timersMade++, block).also(timers::add)
    }

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = schedule(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        schedule(timeMillis, block)

    private fun runDueTimers() {
        if (timers.isEmpty()) return
        val now = System.nanoTime()
        while (timers.isNotEmpty() && timers.first().atNs - now <= 0) timers.pollFirst()?.block?.run()
    }

    /** In whole milliseconds, rounded up: a timer that is looked at too early would be looked at again at once. */
    private fun untilNextTimerMs(): Long {
        if (timers.isEmpty()) return LONGEST_DELAY_MS
        return (timers.first().atNs - System.nanoTime() + NS_A_MS - 1) / NS_A_MS
    }

    override fun close() {
        selector.close()
    }

    private companion object {
        const val TRANSFER_BYTES = 65_536
        const val TASKS_A_TURN = 256
        const val NS_A_MS = 1_000_000L

        /** Ten years: no sum with a clock's reading overflows. */
        const val LONGEST_DELAY_MS = 315_360_000_000L
    }
}
