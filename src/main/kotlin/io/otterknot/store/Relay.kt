package io.otterknot.store

import io.otterknot.http.Reply

/** Another controller that can forward requests to the store. */
interface Relay {
    /** Returns whether the store answers that controller, or null if the controller itself does not answer. */
    suspend fun reachesStore(): Boolean?

    /** Returns the store's reply, or [Reply.None] if the controller or the store did not answer in time. */
    suspend fun relay(method: String, target: String, body: ByteArray?, timeoutMs: Long): Reply
}
