package io.otterknot.rebalance

/**
 * Computes the fair share of a cluster of each team: weighted max-min fairness of dominant shares above the guarantees.
 * No share exceeds the team's demand. Each team gets its guarantee first; the remaining capacity is divided by weight
 * among the teams with unsatisfied demand.
 */
object FairShares {
    fun of(teams: List<TeamDemand>): Map<String, Double> {
        val shares = teams.associateTo(LinkedHashMap()) { it.team to minOf(it.demand, it.guaranteed) }
        scaleToCapacity(shares)
        fill(teams, shares)
        return shares
    }

    /** Reduces all shares by the same factor if the guarantees exceed the cluster in total. */
    private fun scaleToCapacity(shares: MutableMap<String, Double>) {
        val sum = shares.values.sum()
        if (sum <= 1.0) return
        shares.replaceAll { _, share -> share / sum }
    }

    /** Raises the shares of unsatisfied teams by weight until all are satisfied or no capacity is left. */
    private fun fill(teams: List<TeamDemand>, shares: MutableMap<String, Double>) {
        var remaining = 1.0 - shares.values.sum()
        var unsatisfied = teams.filter { it.demand - shares.getValue(it.team) > SHARE_EPSILON }
        while (remaining > SHARE_EPSILON && unsatisfied.isNotEmpty()) {
            val weights = unsatisfied.sumOf { it.weight }
            // Increase per unit of weight that satisfies the first team or uses up the remaining capacity.
            val increasePerWeight =
                minOf(remaining / weights, unsatisfied.minOf { (it.demand - shares.getValue(it.team)) / it.weight })
            for (team in unsatisfied) shares.merge(team.team, increasePerWeight * team.weight, Double::plus)
            remaining -= increasePerWeight * weights
            unsatisfied = unsatisfied.filter { it.demand - shares.getValue(it.team) > SHARE_EPSILON }
        }
    }

    private const val SHARE_EPSILON = 1e-9
}
