package io.otterknot.store

import io.otterknot.wire.WatchEvents

/** What one watch request brought. */
sealed interface WatchResult {
    class Events(val events: WatchEvents) : WatchResult

    /** The store no longer has the changes after the revision that was asked for (etcd: compacted). */
    data object Compacted : WatchResult

    class Failed(val reason: String) : WatchResult
}
