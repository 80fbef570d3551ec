package io.otterknot.config

import io.otterknot.net.HostPort

private const val MAX_PORT = 65_535

/**
 * Parses [text], the value of the setting [name], as an address.
 *
 * @throws InvalidSettingsException if [text] is not `HOST:PORT`, or the port is above [MAX_PORT]
 */
fun HostPort.Companion.parse(name: String, text: String): HostPort {
    val port = text.substringAfterLast(':', "").toIntOrNull()
    val host = text.substringBeforeLast(':', "")
    val isValid = host.isNotEmpty() && port != null && port in 0..MAX_PORT
    if (!isValid || port == null) {
        throw InvalidSettingsException(
            "$name is ${quoted(text)}, but must be HOST:PORT with a port from 0 to $MAX_PORT",
        )
    }
    return HostPort(host, port)
}
