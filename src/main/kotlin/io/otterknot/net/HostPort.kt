package io.otterknot.net

/** An address as `HOST:PORT`; the host is resolved when a connection is opened. */
data class HostPort(val host: String, val port: Int) {
    companion object
}
