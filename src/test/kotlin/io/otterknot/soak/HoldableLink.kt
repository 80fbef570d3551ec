package io.otterknot.soak

import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import io.otterknot.net.TcpConnection
import io.otterknot.net.TcpListener
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.IOException

/**
 * Forwards the connections to [port] to [target]. While [isHeldBack] holds, bytes are kept and connections are not
 * opened; they are delivered in order once it does not hold any more.
 */
class HoldableLink(
    private val loop: EventLoop,
    private val port: Int,
    private val target: HostPort,
    private val isHeldBack: () -> Boolean,
) {
    /** Forwards connections in [scope] until cancelled. */
    suspend fun serve(scope: CoroutineScope) {
        TcpListener.bind(loop, HostPort("127.0.0.1", port)).use { listener ->
            while (true) {
                val accepted = listener.accept()
                scope.launch { forward(accepted) }
            }
        }
    }

    private suspend fun forward(accepted: TcpConnection) {
        accepted.use {
            try {
                awaitRelease()
                TcpConnection.open(loop, target).use { opened ->
                    coroutineScope {
                        launch { copy(accepted, opened) }
                        launch { copy(opened, accepted) }
                    }
                }
            } catch (ignored: IOException) {
                // The other end has closed the connection or its process has ended; both connections are closed.
            }
        }
    }

    /** Copies bytes until one side closes, and then closes both connections. */
    private suspend fun copy(from: TcpConnection, to: TcpConnection) {
        while (from.receive()) {
            awaitRelease()
            to.send(from.input.readByteArray())
        }
        from.close()
        to.close()
    }

    private suspend fun awaitRelease() {
        while (isHeldBack()) delay(CHECK_MS)
    }

    private companion object {
        const val CHECK_MS = 50L
    }
}
