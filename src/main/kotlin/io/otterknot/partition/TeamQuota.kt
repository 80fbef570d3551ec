package io.otterknot.partition

import io.otterknot.records.QuotaAmount

/**
 * A team's weight and quota share in one partition.
 *
 * @property weight by which the team's usage is divided when teams are compared for fair share.
 * @property quotaShare the resources that its tasks may use in this partition at the same time.
 */
class TeamQuota(val name: String, val weight: Double, var quotaShare: QuotaAmount)
