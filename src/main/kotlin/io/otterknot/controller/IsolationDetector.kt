package io.otterknot.controller

import io.otterknot.store.RelayPool
import io.otterknot.store.StoreHealth

/** Detects that this controller is isolated from the key-value store and from all its peers. Owns no state. */
class IsolationDetector(
    private val storeHealth: StoreHealth,
    private val relays: RelayPool,
    private val nowMs: () -> Long,
) {
    /**
     * Whether neither the store nor any peer answers, so that another controller can serve users better. If peers
     * answer but cannot reach the store either, all controllers are affected alike, and redirecting users would not
     * help.
     */
    fun isIsolated(): Boolean =
        storeHealth.unreachable.value && relays.noPeerAnswers && nowMs() - storeHealth.lastAnswerMs > MIN_OUTAGE_MS

    private companion object {
        /** The minimum time since the store's last answer; shorter interruptions are handled by retries. */
        const val MIN_OUTAGE_MS = 3_500L
    }
}
