package io.otterknot.heartbeat

import io.otterknot.http.HttpResponse
import io.otterknot.leadership.Ownership
import io.otterknot.partition.Partition
import io.otterknot.partition.ReportDecision
import io.otterknot.wire.Commands
import io.otterknot.wire.Malformed
import io.otterknot.wire.Redirect
import io.otterknot.wire.Report
import io.otterknot.wire.parseReport

/** Where workers' reports come in: answered by the owner of the machine's partition, redirected by everyone else. */
class ReportEndpoint(
    private val label: String,
    private val ownership: Ownership,
    private val partitions: Map<String, Partition>,
    private val nowMs: () -> Long,
) {
    fun handle(body: ByteArray): HttpResponse {
        val report = try {
            parseReport(body)
        } catch (e: Malformed) {
            return HttpResponse.refusal(400, e.message.orEmpty())
        }
        val zone = report.zone
        // The fence is asked after the report came in: an answer given now counts from a report sent earlier.
        val token = ownership.token(zone) ?: return elsewhere(report)
        if (report.token > token) return lost(zone)
        // Claimed, but not everything written before the claim has been read yet: no commands, only the new token.
        val partition = partitions[zone]?.takeIf { it.token == token } ?: return answer(token, emptyList())
        return when (val decision = partition.report(report, nowMs())) {
            is ReportDecision.Answer -> answer(decision.token, decision.commands)
            ReportDecision.Superseded -> lost(zone)
            ReportDecision.Stale -> HttpResponse.refusal(503, "a newer report came before this one")
        }
    }

    private fun lost(zone: String): HttpResponse {
        ownership.superseded(zone)
        return HttpResponse.refusal(503, "$label has lost $zone")
    }

    private fun elsewhere(report: Report): HttpResponse {
        val zone = report.zone
        val owner = ownership.ownerOf(zone)
        if (owner == null || owner == label) return HttpResponse.refusal(503, "nobody may act for $zone at the moment")
        ownership.sentOn(zone, report.machine, report.token)
        if (ownership.doubtsOwner(
                zone,
            )
        ) {
            return HttpResponse.refusal(503, "$owner seems not to answer the workers of $zone")
        }
        return HttpResponse.json(421, Redirect.serializer(), Redirect(owner))
    }

    private fun answer(token: Long, commands: List<io.otterknot.wire.Command>) =
        HttpResponse.json(200, Commands.serializer(), Commands(token, commands))
}
