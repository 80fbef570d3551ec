package io.otterknot.controller

import io.otterknot.http.Transport
import io.otterknot.peer.PeerTransport

/** The transports from a controller to the external services and to its peers; tests pass fakes. */
class ControllerTransports(
    /** The key-value store, for everything except the watch. */
    val state: Transport,
    /** The key-value store, for the watch only: it has a separate connection, since a watch stays open for seconds. */
    val watch: Transport,
    val cloud: Transport,
    /** The other controllers by label. */
    val peers: Map<String, PeerTransport>,
)
