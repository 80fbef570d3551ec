package io.otterknot.store

/** The result of renewing a store lease. */
enum class LeaseRenewal {
    RENEWED,

    /** The lease does not exist any more, and the store has removed the keys that were put with it. */
    EXPIRED,

    /** The request failed; the lease may or may not have been renewed. */
    FAILED,
}
