package io.otterknot.rebalance

/**
 * The share of a cluster that each team is due: weighted max-min fairness of dominant shares above the guarantees. No
 * team is due more than it asks for, each gets its guarantee first, and what is left goes to all that ask for more in
 * proportion to their weights.
 */
object FairShares {
    fun of(teams: List<TeamDemand>): Map<String, Double> {
        val due = teams.associateTo(LinkedHashMap()) { it.team to minOf(it.demand, it.guaranteed) }
        scaleToWhole(due)
        fill(teams, due)
        return due
    }

    /** Guarantees that together pass the cluster are cut alike. */
    private fun scaleToWhole(due: MutableMap<String, Double>) {
        val sum = due.values.sum()
        if (sum <= 1.0) return
        due.replaceAll { _, share -> share / sum }
    }

    /** Raises all that ask for more at the same pace, by weight, until each has what it asks for or nothing is left. */
    private fun fill(teams: List<TeamDemand>, due: MutableMap<String, Double>) {
        var left = 1.0 - due.values.sum()
        var unsatisfied = teams.filter { it.demand - due.getValue(it.team) > SHARE_EPSILON }
        while (left > SHARE_EPSILON && unsatisfied.isNotEmpty()) {
            val weights = unsatisfied.sumOf { it.weight }
            // The pace at which the first of them is satisfied, or the rest used up.
            val pace = minOf(left / weights, unsatisfied.minOf { (it.demand - due.getValue(it.team)) / it.weight })
            for (team in unsatisfied) due.merge(team.team, pace * team.weight, Double::plus)
            left -= pace * weights
            unsatisfied = unsatisfied.filter { it.demand - due.getValue(it.team) > SHARE_EPSILON }
        }
    }

    private const val SHARE_EPSILON = 1e-9
}
