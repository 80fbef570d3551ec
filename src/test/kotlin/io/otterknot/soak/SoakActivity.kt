package io.otterknot.soak

/** What happened in a soak run. A run in which one of these did not happen has tested too little, and fails. */
class SoakActivity(
    val starts: Int,
    val cancellations: Int,
    val leaderChanges: Int,
    val faults: Int,
    val refusals: Int,
) {
    override fun toString() = "starts $starts cancellations $cancellations leader changes $leaderChanges " +
        "faults $faults refusals $refusals"

    fun problems(): List<String> = listOfNotNull(
        "nothing_ran: no task was started".takeIf { starts == 0 },
        "no job was cancelled".takeIf { cancellations == 0 },
        "no partition changed its leader".takeIf { leaderChanges == 0 },
        "no fault was injected".takeIf { faults == 0 },
        "no malformed request was refused".takeIf { refusals == 0 },
    )
}
