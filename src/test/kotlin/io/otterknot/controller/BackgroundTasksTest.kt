package io.otterknot.controller

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

@OptIn(ExperimentalCoroutinesApi::class)
class BackgroundTasksTest {
    /** Guards against a background task that ends the controller because of an input that it cannot process. */
    @ParameterizedTest
    @MethodSource("failures")
    fun `a task that fails is started again, and the others go on`(failure: Throwable) = runTest {
        val scope = CoroutineScope(coroutineContext + Job())
        val tasks = BackgroundTasks(scope)
        var starts = 0
        val other = tasks.start("other") { delay(Long.MAX_VALUE) }
        tasks.start("failing") {
            starts++
            throw failure
        }
        delay(1_200)
        assertEquals(3, starts)
        assertTrue(other.isActive)
        scope.coroutineContext[Job]?.cancel()
    }

    companion object {
        @JvmStatic
        fun failures() = listOf(IllegalStateException("thrown by the test"), StackOverflowError("thrown by the test"))
    }
}
