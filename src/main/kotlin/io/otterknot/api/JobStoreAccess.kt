package io.otterknot.api

import io.otterknot.jobs.JobTable
import io.otterknot.store.CompareAndSwap
import io.otterknot.store.KeyValueStoreClient
import io.otterknot.store.StoreReplica
import io.otterknot.store.WriteLimits

/** Access to the jobs in the store: [jobs] is read from the [replica], and the [client] writes. */
class JobStoreAccess(
    val client: KeyValueStoreClient,
    val replica: StoreReplica,
    val jobs: JobTable,
    val limits: WriteLimits,
) {
    /** Waits until the replica has all changes that the store has now; false if it does not in time. */
    internal suspend fun awaitCurrentReplica(): Boolean = replica.awaitReadBarrier(READ_BARRIER_MS)

    /** Like [awaitCurrentReplica], with the shorter timeout that remains after a transaction has been sent. */
    internal suspend fun awaitCurrentReplicaAfterWrite(): Boolean = replica.awaitReadBarrier(AFTER_WRITE_MS)

    /** Waits after a transaction until the replica has reached [revision]; false if it does not in time. */
    internal suspend fun awaitRevisionAfterWrite(revision: Long): Boolean =
        replica.awaitRevision(revision, AFTER_WRITE_MS)

    /**
     * Waits until the rate limiter admits [transaction]; returns false immediately if that would take longer than
     * [RATE_LIMIT_WAIT_MS].
     */
    internal suspend fun awaitRateLimit(transaction: CompareAndSwap): Boolean =
        client.rateLimiter.tryAcquire(transaction.size, RATE_LIMIT_WAIT_MS)

    private companion object {
        const val RATE_LIMIT_WAIT_MS = 1_000L
        const val AFTER_WRITE_MS = 1_200L

        /** Users wait 2 s for the response to a poll (PROTOCOL, "GET /submissions/{id}"). */
        const val READ_BARRIER_MS = 1_500L
    }
}
