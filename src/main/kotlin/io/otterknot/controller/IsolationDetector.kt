package io.otterknot.controller

import io.otterknot.store.RelayPool
import io.otterknot.store.StoreHealth

/** Whether this controller is cut off from everything that it needs to serve users. Owns no state of its own. */
class IsolationDetector(
    private val storeHealth: StoreHealth,
    private val relays: RelayPool,
    private val nowMs: () -> Long,
) {
    /**
     * Neither the store nor any peer answers: users are better off at another controller. When peers answer but have
     * lost the store too, all controllers are in the same position and sending users away would help nobody.
     */
    fun isIsolated(): Boolean =
        storeHealth.unreachable.value && relays.noPeerAnswers && nowMs() - storeHealth.lastAnswerMs > STORE_SILENCE_MS

    private companion object {
        /** How long the store must have been silent; shorter gaps are ridden out by retrying. */
        const val STORE_SILENCE_MS = 3_500L
    }
}
