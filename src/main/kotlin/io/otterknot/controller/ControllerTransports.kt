package io.otterknot.controller

import io.otterknot.http.Transport
import io.otterknot.peer.PeerTransport

/** How a controller reaches the services and its peers; tests pass stand-ins. */
class ControllerTransports(
    /** The key-value store, for everything except the watch. */
    val state: Transport,
    /** The key-value store, for the watch alone: a connection of its own, since a watch stays open for seconds. */
    val watch: Transport,
    val cloud: Transport,
    /** The other controllers by label. */
    val peers: Map<String, PeerTransport>,
)
