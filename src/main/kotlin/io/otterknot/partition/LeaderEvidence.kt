package io.otterknot.partition

/** What a partition's leader can conclude from times: how long leases last, and until when it was the only leader. */
class LeaderEvidence(val leases: LeaseTimings, val confirmation: LeadershipConfirmation)
