package io.otterknot.heartbeat

import io.otterknot.http.HttpResponse
import io.otterknot.http.HttpStatus
import io.otterknot.leadership.PartitionLeadership
import io.otterknot.partition.HeartbeatDecision
import io.otterknot.partition.Partition
import io.otterknot.wire.Heartbeat
import io.otterknot.wire.HeartbeatCommand
import io.otterknot.wire.HeartbeatResponse
import io.otterknot.wire.LeaderRedirect
import io.otterknot.wire.MalformedMessageException
import io.otterknot.wire.parseHeartbeat

/**
 * `POST /v1/report`, the heartbeats of workers: the leader of the machine's partition responds with commands, every
 * other controller redirects the worker to that leader.
 *
 * @param label this controller's name among the controllers
 * @param partitions the partitions in service here, by zone
 * @param nowMs a steady clock, in milliseconds
 */
class HeartbeatEndpoint(
    private val label: String,
    private val leadership: PartitionLeadership,
    private val partitions: Map<String, Partition>,
    private val nowMs: () -> Long,
) {
    fun receive(body: ByteArray): HttpResponse {
        val heartbeat = try {
            parseHeartbeat(body)
        } catch (e: MalformedMessageException) {
            return HttpResponse.refusal(HttpStatus.BAD_REQUEST, e.message.orEmpty())
        }
        // The fence is checked after the heartbeat has arrived, so that the worker's lease, which counts from when the
        // heartbeat was sent, starts before the fence was seen to hold.
        val fencingToken = leadership.actingToken(heartbeat.zone) ?: return redirect(heartbeat)
        return respondAsLeader(heartbeat, fencingToken)
    }

    private fun respondAsLeader(heartbeat: Heartbeat, fencingToken: Long): HttpResponse {
        val zone = heartbeat.zone
        if (heartbeat.fencingToken > fencingToken) return leadershipLost(zone)
        // Until all that was written before the acquisition has been read, there are no commands, only the new token.
        val partition = partitions[zone]?.takeIf { it.fencingToken == fencingToken }
            ?: return respond(fencingToken, emptyList())
        return when (val decision = partition.applyHeartbeat(heartbeat, nowMs())) {
            is HeartbeatDecision.Answer -> respond(decision.fencingToken, decision.commands)
            HeartbeatDecision.Superseded -> leadershipLost(zone)
            HeartbeatDecision.Stale -> unavailable("a newer report came before this one")
        }
    }

    /** The worker has seen a higher fencing token than this controller's. */
    private fun leadershipLost(zone: String): HttpResponse {
        leadership.leadershipLost(zone)
        return unavailable("$label has lost $zone")
    }

    private fun redirect(heartbeat: Heartbeat): HttpResponse {
        val zone = heartbeat.zone
        val leader = leadership.leaderOf(zone)
        if (leader == null || leader == label) return unavailable("nobody may act for $zone at the moment")
        leadership.workerRedirected(zone, heartbeat.machine, heartbeat.fencingToken)
        if (leadership.isLeaderSuspected(zone)) return unavailable("$leader seems not to answer the workers of $zone")
        return HttpResponse.json(HttpStatus.MISDIRECTED_REQUEST, LeaderRedirect.serializer(), LeaderRedirect(leader))
    }

    private fun respond(fencingToken: Long, commands: List<HeartbeatCommand>) =
        HttpResponse.json(HttpStatus.OK, HeartbeatResponse.serializer(), HeartbeatResponse(fencingToken, commands))

    /** The worker tries the next controller. */
    private fun unavailable(reason: String) = HttpResponse.refusal(HttpStatus.SERVICE_UNAVAILABLE, reason)
}
