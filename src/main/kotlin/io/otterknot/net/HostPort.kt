package io.otterknot.net

/** An address of the form `HOST:PORT`; the host name is resolved when a connection is opened or a listener is bound. */
data class HostPort(val host: String, val port: Int) {
    companion object
}
