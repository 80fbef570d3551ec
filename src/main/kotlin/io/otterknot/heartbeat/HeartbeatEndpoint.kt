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
 * Serves `POST /v1/report`, the heartbeats of workers. The leader of the machine's partition responds with commands;
 * every other controller redirects the worker to that leader.
 *
 * @param label the label of this controller
 * @param partitions the partitions in service at this controller, by zone
 * @param nowMs returns the time of a monotonic clock in milliseconds
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
        // The fence is checked after the heartbeat has arrived. The worker's lease counts from the sending of the
        // heartbeat, so it starts before the time at which the fence was found valid.
        val fencingToken = leadership.actingToken(heartbeat.zone) ?: return redirect(heartbeat)
        return respondAsLeader(heartbeat, body.size, fencingToken)
    }

    private fun respondAsLeader(heartbeat: Heartbeat, heartbeatBytes: Int, fencingToken: Long): HttpResponse {
        val zone = heartbeat.zone
        if (heartbeat.fencingToken > fencingToken) return leadershipLost(zone)
        // The response has the new token but no commands until everything written before the acquisition has been read.
        val partition = partitions[zone]?.takeIf { it.fencingToken == fencingToken }
            ?: return respond(fencingToken, emptyList())
        return when (val decision = partition.applyHeartbeat(heartbeat, nowMs(), heartbeatBytes)) {
            is HeartbeatDecision.Answer -> respond(decision.fencingToken, decision.commands)
            HeartbeatDecision.Superseded -> leadershipLost(zone)
            HeartbeatDecision.Stale -> unavailable("a newer report came before this one")
        }
    }

    /** Marks the leadership of [zone] as lost: the worker has seen a higher fencing token than this controller's. */
    private fun leadershipLost(zone: String): HttpResponse {
        leadership.leadershipLost(zone)
        return unavailable("$label has lost $zone")
    }

    private fun redirect(heartbeat: Heartbeat): HttpResponse {
        val zone = heartbeat.zone
        val leader = leadership.leaderOf(zone)
        if (leader == null || leader == label) return unavailable("nobody may act for $zone at the moment")
        leadership.workerRedirected(zone, heartbeat.machine, heartbeat.fencingToken)
        if (leadership.isLeaderSuspected(zone)) return unavailable("leader $leader of $zone appears unresponsive")
        return HttpResponse.json(HttpStatus.MISDIRECTED_REQUEST, LeaderRedirect.serializer(), LeaderRedirect(leader))
    }

    private fun respond(fencingToken: Long, commands: List<HeartbeatCommand>) =
        HttpResponse.json(HttpStatus.OK, HeartbeatResponse.serializer(), HeartbeatResponse(fencingToken, commands))

    /** Makes the worker try the next controller. */
    private fun unavailable(reason: String) = HttpResponse.refusal(HttpStatus.SERVICE_UNAVAILABLE, reason)
}
