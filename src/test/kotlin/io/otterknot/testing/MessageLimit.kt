package io.otterknot.testing

/** The limit on request bodies and on lines of responses (PROTOCOL). */
const val MESSAGE_LIMIT_BYTES = 65_536
