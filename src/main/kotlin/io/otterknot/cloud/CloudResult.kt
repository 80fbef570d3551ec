package io.otterknot.cloud

/** The result of an idempotent request to the cloud. */
sealed interface CloudResult<out T> {
    class Success<T>(val value: T) : CloudResult<T>

    /** No response, a refusal, or a response that cannot be decoded; [error] describes which. */
    class Failure(val error: String) : CloudResult<Nothing>
}
