package io.otterknot.partition

import io.otterknot.records.QuotaAmount

/**
 * A team in one partition.
 *
 * @property weight divides what the team uses when teams are compared for fair share.
 * @property quotaShare what its tasks may use in this partition at a time.
 */
class TeamQuota(val name: String, val weight: Double, var quotaShare: QuotaAmount)
