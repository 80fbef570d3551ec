package io.otterknot.store

import io.otterknot.http.Reply

/** Another controller that may carry requests to the store. */
interface Relay {
    /** Whether the store answers that controller; null: the controller itself does not answer. */
    suspend fun reachesStore(): Boolean?

    /** The store's reply, or [Reply.None] if either the controller or the store did not answer in time. */
    suspend fun relay(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply
}
