package io.otterknot.store

import io.otterknot.http.HttpStatus

/** The outcome of a transaction, as far as its sender can determine it. */
sealed interface TransactionOutcome {
    /** All conditions held, and the changes were applied at [revision]. */
    data class Applied(val revision: Long) : TransactionOutcome

    /** The conditions on [failedKeys] did not hold at [revision]; nothing was changed. */
    data class Conflict(val failedKeys: List<String>, val revision: Long) : TransactionOutcome

    /** The transaction was not applied and never will be; [status] is the HTTP status of the store's refusal. */
    data class Refused(val status: Int) : TransactionOutcome {
        /**
         * Whether a value or the whole transaction is larger than the store accepts at present. Valid only for a
         * transaction without a lease, because the store also answers status 400 if the lease does not exist any more.
         */
        val isTooLarge: Boolean get() = status == HttpStatus.BAD_REQUEST
    }

    /** The transaction may have been applied, may still be applied, or not; only reading its keys can show which. */
    data class Unknown(val reason: String) : TransactionOutcome
}
