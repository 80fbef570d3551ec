package io.otterknot.time

/**
 * The time, in milliseconds of a steady clock, of something that has not happened yet: longer ago than any interval
 * that is compared with, and still far enough from the smallest number that a difference to it cannot overflow.
 */
const val NEVER_MS = Long.MIN_VALUE / 2
