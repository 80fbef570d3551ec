package io.otterknot.store

import io.otterknot.wire.WatchEvents

/** The result of one watch request. */
sealed interface WatchResult {
    class Events(val events: WatchEvents) : WatchResult

    /** The store no longer has the changes after the requested revision (etcd: compacted). */
    data object Compacted : WatchResult

    /** More has changed since the requested revision than a controller receives in one response. */
    data object TooLarge : WatchResult

    class Failed(val reason: String) : WatchResult
}
