package io.otterknot.store

/** What came of the renewal of a store lease. */
enum class LeaseRenewal {
    RENEWED,

    /** The store no longer knows the lease, and has removed the keys that were put with it. */
    EXPIRED,

    /** No usable answer: the lease may or may not have been renewed. */
    FAILED,
}
