package io.otterknot.store

import io.otterknot.http.HttpStatus

/** What came of a transaction, as far as its sender can know. */
sealed interface TransactionOutcome {
    /** All conditions held, and the changes are in the store since [revision]. */
    data class Applied(val revision: Long) : TransactionOutcome

    /** The conditions on [failedKeys] did not hold at [revision]: nothing was changed. */
    data class Conflict(val failedKeys: List<String>, val revision: Long) : TransactionOutcome

    /** Not carried out, and never will be; [status] is the HTTP status that said so. */
    data class Refused(val status: Int) : TransactionOutcome {
        /** Of a transaction without a lease: a value or the whole is larger than the store accepts now. */
        val isTooLarge: Boolean get() = status == HttpStatus.BAD_REQUEST
    }

    /** Carried out, still to be carried out, or not: only reading the keys tells. */
    data class Unknown(val reason: String) : TransactionOutcome
}
