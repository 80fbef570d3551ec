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
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.coroutines.CoroutineContext

/**
 * A single-threaded coroutine dispatcher that is also the selector loop of all sockets and the queue of all timers. A
 * request is therefore read, handled and answered without waking another thread. Not thread-safe except for [dispatch].
 */
@OptIn(InternalCoroutinesApi::class, ExperimentalCoroutinesApi::class)
class EventLoop :
    CoroutineDispatcher(),
    Delay,
    Closeable {
    private val selector = Selector.open()
    private val readyTasks = ArrayDeque<Runnable>()
    private val dispatchedByOtherThreads = ConcurrentLinkedQueue<Runnable>()
    private val timers = TimerQueue()

    @Volatile
    private var thread: Thread? = null

    /** Direct buffer shared by all sockets; its content is valid only during one read or write. */
    internal val transferBuffer: ByteBuffer = ByteBuffer.allocateDirect(TRANSFER_BYTES)

    /**
     * Runs [work] and all coroutines that it launches on the calling thread. Returns the result of [work] once all have
     * ended, or throws the exception of the first that failed.
     */
    fun <T> run(work: suspend CoroutineScope.() -> T): T {
        thread = Thread.currentThread()
        val result = CoroutineScope(this).async { work() }
        while (!result.isCompleted) {
            timers.runDue()
            runReadyTasks()
            if (!result.isCompleted) awaitSockets()
        }
        return result.getCompleted()
    }

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (Thread.currentThread() === thread) {
            readyTasks.addLast(block)
        } else {
            dispatchedByOtherThreads.add(block)
            selector.wakeup()
        }
    }

    /** Runs up to [MAX_TASKS_PER_TURN] ready tasks; the limit keeps sockets and timers from starving. */
    private fun runReadyTasks() {
        while (true) readyTasks.addLast(dispatchedByOtherThreads.poll() ?: break)
        var taskCount = 0
        while (readyTasks.isNotEmpty() && taskCount++ < MAX_TASKS_PER_TURN) readyTasks.removeFirst().run()
    }

    private fun awaitSockets() {
        val waitMs = if (readyTasks.isEmpty()) timers.untilNextMs() else 0L
        if (waitMs > 0) selector.select(::onSocketReady, waitMs) else selector.selectNow(::onSocketReady)
    }

    private fun onSocketReady(key: SelectionKey) {
        (key.attachment() as AwaitableSocket).onReady()
    }

    /** Registers [channel] with an empty interest set; [socket] is notified when the channel becomes ready. */
    internal fun register(channel: SelectableChannel, socket: AwaitableSocket): SelectionKey =
        channel.register(selector, 0, socket)

    override fun scheduleResumeAfterDelay(timeMillis: Long, continuation: CancellableContinuation<Unit>) {
        val timer = timers.schedule(timeMillis) { with(continuation) { resumeUndispatched(Unit) } }
        continuation.invokeOnCancellation { timer.dispose() }
    }

    override fun invokeOnTimeout(timeMillis: Long, block: Runnable, context: CoroutineContext): DisposableHandle =
        timers.schedule(timeMillis, block)

    override fun close() {
        selector.close()
    }

    private companion object {
        const val TRANSFER_BYTES = 65_536
        const val MAX_TASKS_PER_TURN = 256
    }
}
