package io.otterknot.heartbeat

import io.otterknot.http.HttpResponse
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.HeartbeatDecision
import io.otterknot.partition.Partition
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.HeartbeatResponse
import io.otterknot.wire.LeaderRedirect
import io.otterknot.wire.MalformedMessageException
import io.otterknot.wire.parseHeartbeat

/** Where workers' reports come in: answered by the owner of the machine's partition, redirected by everyone else. */
class HeartbeatEndpoint(
    private val label: String,
    private val ownership: PartitionLeadership,
    private val partitions: Map<String, Partition>,
    private val nowMs: () -> Long,
) {
    fun handle(body: ByteArray): HttpResponse {
        val report = try {
            parseHeartbeat(body)
        } catch (e: MalformedMessageException) {
            return HttpResponse.refusal(400, e.message.orEmpty())
        }
        val zone = report.zone
        // The fence is asked after the report came in: an answer given now counts from a report sent earlier.
        val token = ownership.token(zone) ?: return elsewhere(report)
        if (report.fencingToken > token) return lost(zone)
        // Claimed, but not everything written before the claim has been read yet: no commands, only the new token.
        val partition = partitions[zone]?.takeIf { it.fencingToken == token } ?: return answer(token, emptyList())
        return when (val decision = partition.applyHeartbeat(report, nowMs())) {
            is HeartbeatDecision.Answer -> answer(decision.fencingToken, decision.commands)
            HeartbeatDecision.Superseded -> lost(zone)
            HeartbeatDecision.Stale -> HttpResponse.refusal(503, "a newer report came before this one")
        }
    }

    private fun lost(zone: String): HttpResponse {
        ownership.leadershipLost(zone)
        return HttpResponse.refusal(503, "$label has lost $zone")
    }

    private fun elsewhere(report: Heartbeat): HttpResponse {
        val zone = report.zone
        val owner = ownership.leaderOf(zone)
        if (owner == null || owner == label) return HttpResponse.refusal(503, "nobody may act for $zone at the moment")
        ownership.workerRedirected(zone, report.machine, report.fencingToken)
        if (ownership.suspectsLeader(
                zone,
            )
        ) {
            return HttpResponse.refusal(503, "$owner seems not to answer the workers of $zone")
        }
        return HttpResponse.json(421, LeaderRedirect.serializer(), LeaderRedirect(owner))
    }

    private fun answer(token: Long, commands: List<HeartbeatCommand>) =
        HttpResponse.json(200, HeartbeatResponse.serializer(), HeartbeatResponse(token, commands))
}
