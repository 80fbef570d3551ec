package io.otterknot.api

import io.otterknot.jobs.JobTable
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.StoreReplica
import io.otterknot.store.WriteLimits

/** The jobs in the store: read from the replica, written by the client. */
class JobStoreAccess(
    val client: KeyValueStoreClient,
    val replica: StoreReplica,
    val jobs: JobTable,
    val limits: WriteLimits,
) {
    /** Waits until the replica is as new as the store is now; false if that takes too long. */
    internal suspend fun awaitCurrentReplica(): Boolean = replica.awaitReadBarrier(READ_BARRIER_MS)

    /** The same once a transaction has been sent; less of the time for the response is left then. */
    internal suspend fun awaitCurrentReplicaAfterWrite(): Boolean = replica.awaitReadBarrier(AFTER_WRITE_MS)

    /** Waits until the replica shows [revision] after a transaction; false if that takes too long. */
    internal suspend fun awaitRevisionAfterWrite(revision: Long): Boolean =
        replica.awaitRevision(revision, AFTER_WRITE_MS)

    /** Waits for the turn of [transaction] under the rate limit on changes; false if that takes too long. */
    internal suspend fun awaitTurn(transaction: CompareAndSwap): Boolean =
        client.rateLimiter.tryAcquire(transaction.size, RATE_LIMIT_WAIT_MS)

    private companion object {
        const val RATE_LIMIT_WAIT_MS = 1_000L
        const val AFTER_WRITE_MS = 1_200L

        /** Users wait 2 s for the response to a poll (PROTOCOL, "GET /submissions/{id}"). */
        const val READ_BARRIER_MS = 1_500L
    }
}
