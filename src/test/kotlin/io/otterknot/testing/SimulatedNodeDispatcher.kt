package io.otterknot.testing

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Delay
import kotlinx.coroutines.InternalCoroutinesApi
import kotlinx.coroutines.launch
import kotlin.coroutines.ContinuationInterceptor
import kotlin.coroutines.CoroutineContext

/**
 * Runs the coroutines of one node on the virtual time of [scope]. While the node is paused none of them runs, as in a
 * process whose CPU quota is used up; its clocks and all other nodes go on.
 */
@OptIn(InternalCoroutinesApi::class)
class SimulatedNodeDispatcher private constructor(
    private val scope: CoroutineScope,
    private val dispatcher: CoroutineDispatcher,
    timers: Delay,
) : CoroutineDispatcher(),
    Delay by timers {
    private class DeferredBlock(val context: CoroutineContext, val block: Runnable)

    private val deferredBlocks = ArrayList<DeferredBlock>()
    private var pauses = 0

    override fun dispatch(context: CoroutineContext, block: Runnable) {
        if (pauses > 0) deferredBlocks.add(DeferredBlock(context, block)) else dispatcher.dispatch(context, block)
    }

    fun pause(ms: Long) {
        pauses++
        scope.launch {
            kotlinx.coroutines.delay(ms)
            if (--pauses > 0) return@launch
            val resumedBlocks = deferredBlocks.toList()
            deferredBlocks.clear()
            resumedBlocks.forEach { dispatcher.dispatch(it.context, it.block) }
        }
    }

    companion object {
        fun of(scope: CoroutineScope): SimulatedNodeDispatcher {
            val dispatcher = scope.coroutineContext[ContinuationInterceptor] as CoroutineDispatcher
            return SimulatedNodeDispatcher(scope, dispatcher, dispatcher as Delay)
        }
    }
}
