package io.otterknot.cloud

/** What came of a request to the cloud that may be repeated without harm. */
sealed interface CloudResult<out T> {
    class Success<T>(val value: T) : CloudResult<T>

    /** No answer, a refusal, or an answer that cannot be read; [error] says which. */
    class Failure(val error: String) : CloudResult<Nothing>
}
