package io.otterknot.api

import io.otterknot.http.HttpResponse
import io.otterknot.http.HttpStatus
import io.otterknot.partition.Partition
import io.otterknot.scheduling.PartitionView
import kotlin.random.Random

/**
 * Serves the requests of users (PROTOCOL, "Users"), which submit, poll and cancel jobs, and the readiness check of the
 * load balancer.
 *
 * [partitionViews] returns this controller's view of the load of each partition; [isIsolated] returns whether this
 * controller reaches neither the store nor another controller; [wallMs] returns the wall-clock time in milliseconds.
 */
class JobApi(
    private val store: JobStoreAccess,
    private val admission: JobAdmission,
    partitions: Map<String, Partition>,
    partitionViews: () -> List<PartitionView>,
    private val isIsolated: () -> Boolean,
    wallMs: () -> Long,
    random: Random,
) {
    private val statusReader = JobStatusReader(store, partitions)
    private val submitter = JobSubmitter(store, statusReader, admission, partitionViews, wallMs, random)
    private val canceller = JobCanceller(store, statusReader, wallMs)

    /** `GET /ready` */
    fun readiness(): HttpResponse = when {
        !store.replica.isLoaded || admission.offeredTypes == null -> unavailable(UnavailableReason.STARTING)
        isIsolated() -> unavailable(UnavailableReason.ISOLATED)
        else -> HttpResponse(HttpStatus.OK, "{}".encodeToByteArray())
    }

    /** `POST /submissions` */
    suspend fun submit(body: ByteArray): HttpResponse = submitter.submit(body).toResponse(isIsolated)

    /** `GET /submissions/ID` */
    suspend fun poll(id: String): HttpResponse = statusReader.poll(id).toResponse(isIsolated)

    /** `POST /submissions/ID/withdraw` */
    suspend fun cancel(id: String): HttpResponse = canceller.cancel(id).toResponse(isIsolated)

    private fun unavailable(reason: UnavailableReason) = unavailableResponse(reason, close = isIsolated())
}
