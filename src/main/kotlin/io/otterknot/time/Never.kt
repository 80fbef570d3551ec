package io.otterknot.time

/**
 * The time of an event that has not happened yet, in milliseconds of a monotonic clock. It is further in the past than
 * any interval that it is compared with, and far enough above [Long.MIN_VALUE] that subtracting it cannot overflow.
 */
const val NEVER_MS = Long.MIN_VALUE / 2
