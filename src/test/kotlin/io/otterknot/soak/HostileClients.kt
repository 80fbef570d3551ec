package io.otterknot.soak

import io.otterknot.http.HttpClient
import io.otterknot.http.HttpStatus
import io.otterknot.http.Reply
import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import io.otterknot.net.TcpConnection
import io.otterknot.testing.HostileText
import io.otterknot.testing.MAX_NESTED_LEVELS
import io.otterknot.testing.nested
import io.otterknot.wire.MAX_BODY_BYTES
import kotlinx.coroutines.delay
import java.io.IOException
import kotlin.random.Random

/** The ports of one controller: [requests] for users and workers, [peers] for other controllers. */
class ControllerPorts(val requests: HostPort, val peers: HostPort)

/**
 * Clients that send malformed messages to the [controllers], and messages without end on many connections. Each
 * malformed request must be refused as such, unless the controller is stopped or cannot decide.
 */
class HostileClients(
    private val loop: EventLoop,
    private val random: Random,
    private val controllers: List<ControllerPorts>,
) {
    /** Responses that a malformed request must not get. */
    val violations = LinkedHashSet<String>()

    /** How many malformed requests were refused as such. */
    var refusals = 0
        private set

    /** Sends messages until cancelled. */
    suspend fun run() {
        while (true) {
            try {
                attack(controllers.random(random))
            } catch (ignored: IOException) {
                // The controller is stopped, or has closed the connection.
            }
            delay(random.nextLong(MAX_PAUSE_MS))
        }
    }

    private suspend fun attack(controller: ControllerPorts) = when (random.nextInt(KINDS)) {
        0 -> holdConnections(controller.requests, INCOMPLETE_REQUESTS.random(random))
        1 -> holdConnections(controller.peers, INCOMPLETE_FRAMES.random(random))
        2 -> sendFrame(controller.peers)
        else -> sendRequest(controller.requests)
    }

    /** Sends a request whose body is malformed, for a submission as well as for a heartbeat. */
    private suspend fun sendRequest(address: HostPort) {
        val path = listOf("/submissions", "/v1/report").random(random)
        val body = malformedBody()
        val client = HttpClient(loop, address, maxIdle = 0)
        when (val reply = client.call("POST", path, body, RESPONSE_TIMEOUT_MS)) {
            is Reply.None -> Unit

            is Reply.Answer -> when (reply.status) {
                HttpStatus.BAD_REQUEST -> refusals++
                HttpStatus.SERVICE_UNAVAILABLE -> Unit
                else -> violations.add("malformed: $path got ${reply.status} for ${describe(body)}")
            }
        }
    }

    private fun malformedBody(): ByteArray = when (random.nextInt(4)) {
        0 -> NESTED.random(random).encodeToByteArray()
        1 -> random.nextBytes(random.nextInt(1, MAX_RANDOM_BYTES))
        else -> HostileText(random).json().take(MAX_BODY_BYTES / 2).encodeToByteArray()
    }

    private fun describe(body: ByteArray) =
        "${body.size} bytes beginning with ${body.decodeToString().take(DESCRIBED_CHARS)}"

    private suspend fun sendFrame(address: HostPort) = TcpConnection.open(loop, address).use {
        it.send(random.nextBytes(random.nextInt(1, MAX_RANDOM_BYTES)))
        delay(random.nextLong(MAX_PAUSE_MS))
    }

    /** Opens many connections, sends [start] on each and leaves them open for a while. */
    private suspend fun holdConnections(address: HostPort, start: ByteArray) {
        val connections = ArrayList<TcpConnection>()
        try {
            repeat(random.nextInt(1, MAX_CONNECTIONS)) {
                connections.add(TcpConnection.open(loop, address).also { it.send(start) })
            }
            delay(random.nextLong(MAX_HOLD_MS))
        } finally {
            connections.forEach(TcpConnection::close)
        }
    }

    private companion object {
        const val KINDS = 10
        const val MAX_PAUSE_MS = 200L
        const val MAX_HOLD_MS = 3_000L
        const val RESPONSE_TIMEOUT_MS = 5_000L
        const val MAX_RANDOM_BYTES = 3_000
        const val MAX_CONNECTIONS = 150
        const val DESCRIBED_CHARS = 60

        val NESTED = listOf(
            nested(MAX_NESTED_LEVELS),
            "[".repeat(2 * MAX_NESTED_LEVELS),
            nested(MAX_NESTED_LEVELS / 4, opening = "{\"a\":[", closing = "]}"),
            "{\"Uid\":${nested(MAX_NESTED_LEVELS)}}",
            "{\"Holt\":${nested(MAX_NESTED_LEVELS)}}",
            "{\"Cores\":${"9".repeat(MAX_NESTED_LEVELS)}}",
        )
        val INCOMPLETE_REQUESTS = listOf(
            "GET /ready HTTP/1.1\r\nA: " + "x".repeat(MAX_BODY_BYTES / 5),
            "POST /submissions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n",
            "POST /v1/report HTTP/1.1\r\nContent-Length: $MAX_BODY_BYTES\r\n\r\n" + "x".repeat(MAX_BODY_BYTES - 1),
        ).map { it.encodeToByteArray() }

        /** Frames of the largest size that is allowed, and of the largest that can be written. */
        val INCOMPLETE_FRAMES = listOf(byteArrayOf(0, 2, 0, 0, 1), byteArrayOf(127, -1, -1, -1, 1))
    }
}
