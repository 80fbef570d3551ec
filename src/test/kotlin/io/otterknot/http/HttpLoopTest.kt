package io.otterknot.http

import io.otterknot.net.EventLoop
import io.otterknot.net.HostPort
import io.otterknot.net.TcpConnection
import io.otterknot.net.TcpListener
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.MethodSource
import java.io.IOException

/** Tests the event loop, its sockets and timers, and the HTTP client and server on them, over loopback. */
class HttpLoopTest {
    /** What a client sends, piece by piece, and the statuses of the responses that it must receive. */
    class RequestCase(val name: String, val pieces: List<String>, val statuses: List<Int>, val closes: Boolean) {
        override fun toString() = name
    }

    /** A request without its [rest], for which the server reserves [reservedBytes]. */
    class IncompleteRequest(private val name: String, val text: String, val rest: String, val reservedBytes: Long) {
        override fun toString() = name
    }

    @ParameterizedTest
    @MethodSource("requestCases")
    fun `valid and malformed requests are answered with the expected statuses`(case: RequestCase) =
        withServer { _, address, _ ->
            val connection = TcpConnection.open(loop, address)
            for (piece in case.pieces) {
                connection.send(piece.encodeToByteArray())
                delay(5)
            }
            val statuses = List(case.statuses.size) { readStatus(connection) }
            assertEquals(case.statuses, statuses)
            if (case.closes) assertFalse(connection.receive(), "the connection must be closed after the response")
            connection.close()
        }

    /**
     * A request that begins after a pause on an open connection, and requests that remain incomplete. Guards against a
     * timeout that counts from the previous response, and against connections that stay open for incomplete requests.
     */
    @ParameterizedTest
    @MethodSource("slowRequestCases")
    fun `the request timeout starts at the first byte, and an incomplete request is refused`(case: RequestCase) =
        withServer(limits = ConnectionLimits(idleMs = 100_000, requestMs = 300, checkMs = 25)) { _, address, _ ->
            val connection = TcpConnection.open(loop, address)
            connection.send(GET.encodeToByteArray())
            assertEquals(200, readStatus(connection))
            delay(500)
            for (piece in case.pieces) {
                connection.send(piece.encodeToByteArray())
                delay(60)
            }
            assertEquals(case.statuses, List(case.statuses.size) { readStatus(connection) })
            if (case.closes) assertFalse(connection.receive(), "the connection must be closed after the response")
            connection.close()
        }

    /** Guards against an error in the code of one request that ends the process with all its connections (review/2). */
    @ParameterizedTest
    @MethodSource("handlerFailures")
    fun `a request whose handler fails gets 500, and the server goes on`(failure: Throwable) =
        withServer(failureOf = { failure.takeIf { _ -> it.path == "/fails" } }) { _, address, _ ->
            val client = HttpClient(loop, address)
            for (path in listOf("/", "/fails", "/fails", "/")) {
                val reply = client.call("GET", path, null, CALL_TIMEOUT_MS) as Reply.Answer
                assertEquals(if (path == "/fails") 500 else 200, reply.status, path)
            }
        }

    @Test
    fun `the handler receives method, path, query and body as sent`() = withServer { _, address, requests ->
        val client = HttpClient(loop, address)
        val reply = client.call("POST", "/a/b?c=d", "{}".encodeToByteArray(), CALL_TIMEOUT_MS) as Reply.Answer
        assertEquals(200, reply.status)
        assertEquals("POST /a/b ?c=d {}", requests.single())
    }

    @Test
    fun `handlers, timers and sockets run on one thread, and successive requests reuse one connection`() = withServer {
            server,
            address,
            _,
        ->
        val client = HttpClient(loop, address, maxIdle = 1)
        val loopThread = Thread.currentThread()
        repeat(REQUEST_COUNT) {
            client.call("GET", "/", null, CALL_TIMEOUT_MS)
            assertEquals(loopThread, Thread.currentThread(), "thread after a response")
            delay(1)
            assertEquals(loopThread, Thread.currentThread(), "thread after a delay")
        }
        assertEquals(setOf(loopThread), server.threads, "threads on which the handler ran")
        assertEquals(1, server.acceptedCount)
    }

    @Test
    fun `an idle connection that the server has closed is not reused`() = EventLoop().use { loop ->
        loop.run {
            val listener = TcpListener.bind(loop, HostPort("127.0.0.1", 0))
            val server = launch {
                repeat(2) {
                    val connection = listener.accept()
                    connection.receive()
                    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".encodeToByteArray())
                    connection.close()
                }
            }
            val client = HttpClient(loop, HostPort("127.0.0.1", listener.port))
            repeat(2) {
                assertTrue(client.call("GET", "/", null, CALL_TIMEOUT_MS) is Reply.Answer)
                delay(20)
            }
            server.join()
            listener.close()
        }
    }

    @Test
    fun `a connection above the limit is closed, and closing one allows another`() =
        withServer(maxConnections = 2) { _, address, _ ->
            val openConnections = List(2) { TcpConnection.open(loop, address) }
            openConnections.forEach { it.send(GET.encodeToByteArray()) }
            openConnections.forEach { assertEquals(200, readStatus(it)) }
            val refused = TcpConnection.open(loop, address)
            assertFalse(refused.receive())
            openConnections.first().close()
            delay(20)
            val next = TcpConnection.open(loop, address)
            next.send(GET.encodeToByteArray())
            assertEquals(200, readStatus(next))
            listOf(refused, next, openConnections.last()).forEach { it.close() }
        }

    /** Guards against small requests on many connections that together fill the heap, which ended the process. */
    @ParameterizedTest
    @MethodSource("incompleteRequests")
    fun `incomplete requests use limited memory, and their end makes room for others`(case: IncompleteRequest) =
        withServer(maxRequestMemoryBytes = case.reservedBytes * 3) { _, address, _ ->
            val incomplete = List(3) { TcpConnection.open(loop, address) }
            for (connection in incomplete) connection.send(case.text.encodeToByteArray())
            delay(20)
            val refused = TcpConnection.open(loop, address)
            refused.send(case.text.encodeToByteArray())
            assertEquals(503, readStatus(refused))
            assertFalse(refused.receive(), "the connection must be closed after the response")
            incomplete.first().close()
            delay(20)
            val next = TcpConnection.open(loop, address)
            next.send((case.text + case.rest).encodeToByteArray())
            assertEquals(200, readStatus(next))
            // An answered request has released its memory, too.
            val last = TcpConnection.open(loop, address)
            last.send((case.text + case.rest).encodeToByteArray())
            assertEquals(200, readStatus(last))
            (incomplete + listOf(refused, next, last)).forEach { it.close() }
        }

    @Test
    fun `large bodies are transferred in both directions concurrently`() = withServer { _, address, _ ->
        val client = HttpClient(loop, address, maxIdle = 8)
        val body = ByteArray(MAX_BODY_BYTES) { 'x'.code.toByte() }
        coroutineScope {
            List(8) { async { client.call("POST", "/echo", body, CALL_TIMEOUT_MS) } }.awaitAll().forEach {
                assertEquals(body.size, (it as Reply.Answer).body.size)
            }
        }
    }

    @Test
    fun `timers run in the order of their due times, and a cancelled timer does not run`() = EventLoop().use { loop ->
        val order = ArrayList<Int>()
        loop.run {
            for (ms in listOf(30, 10, 20)) {
                launch {
                    delay(ms.toLong())
                    order.add(ms)
                }
            }
            launch {
                delay(15)
                order.add(15)
            }.cancel()
            assertNull(withTimeoutOrNull(5) { CompletableDeferred<Unit>().await() })
            assertEquals(1, withTimeoutOrNull(Long.MAX_VALUE / 2) { 1 })
        }
        assertEquals(listOf(10, 20, 30), order)
    }

    /** A controller without processor time for a while finds several timers overdue: each must run, and only once. */
    @Test
    fun `overdue timers all run in the order of their due times`() = EventLoop().use { loop ->
        val order = ArrayList<String>()
        loop.run {
            for (ms in listOf(3L, 1L, 2L)) {
                launch {
                    delay(ms)
                    order.add("$ms")
                }
            }
            launch {
                delay(0)
                val startNs = System.nanoTime()
                while (System.nanoTime() - startNs < STALL_NS) Thread.onSpinWait()
            }
        }
        assertEquals(listOf("1", "2", "3"), order)
    }

    @Test
    fun `a task dispatched by another thread wakes the loop, and an exception ends the run`() =
        EventLoop().use { loop ->
            loop.run {
                val taskThread = CompletableDeferred<Thread>()
                val other = Thread { CoroutineScope(loop).launch { taskThread.complete(Thread.currentThread()) } }
                other.start()
                assertEquals(Thread.currentThread(), taskThread.await())
            }
            assertThrows(IOException::class.java) { loop.run { throw IOException("thrown by the test") } }
            Unit
        }

    /** Guards against a response that fills the heap, or whose length makes the client fail. */
    @ParameterizedTest
    @CsvSource(
        "200, 1000, true, false",
        "200, 1001, false, true",
        "200, 99999999999, false, true",
        "503, 1001, false, false",
        "200, -1, false, false",
        "200, 99999999999999999999, false, false",
        "200, x, false, false",
    )
    fun `a response of more bytes than allowed is not received`(
        status: Int,
        length: String,
        isAnswered: Boolean,
        isTooLarge: Boolean,
    ) = EventLoop().use { loop ->
        loop.run {
            val listener = TcpListener.bind(loop, HostPort("127.0.0.1", 0))
            val server = launch {
                val connection = listener.accept()
                connection.receive()
                connection.send("HTTP/1.1 $status Status\r\nContent-Length: $length\r\n\r\n".encodeToByteArray())
                connection.send(ByteArray(1_000))
                connection.receive()
                connection.close()
            }
            val client = HttpClient(loop, HostPort("127.0.0.1", listener.port), maxIdle = 0, maxBodyBytes = 1_000)
            val reply = client.call("GET", "/", null, CALL_TIMEOUT_MS)
            assertEquals(isAnswered, reply is Reply.Answer)
            assertEquals(isTooLarge, (reply as? Reply.None)?.isTooLarge ?: false)
            server.join()
            listener.close()
        }
    }

    @Test
    fun `a call to an address without a listener returns no response`() = EventLoop().use { loop ->
        loop.run {
            val listener = TcpListener.bind(loop, HostPort("127.0.0.1", 0))
            val address = HostPort("127.0.0.1", listener.port)
            listener.close()
            assertTrue(HttpClient(loop, address).call("GET", "/", null, CALL_TIMEOUT_MS) is Reply.None)
        }
    }

    // ---- the server under test

    private class TestServer(private val server: () -> HttpServer) {
        val threads = HashSet<Thread>()
        val acceptedCount: Int get() = server().acceptedCount
    }

    private lateinit var loop: EventLoop

    private fun withServer(
        maxConnections: Int = 16,
        limits: ConnectionLimits = ConnectionLimits(),
        maxRequestMemoryBytes: Long = 64L * MAX_BODY_BYTES,
        failureOf: (HttpRequest) -> Throwable? = { null },
        test: suspend CoroutineScope.(TestServer, HostPort, List<String>) -> Unit,
    ) = EventLoop().use { newLoop ->
        loop = newLoop
        newLoop.run {
            val requests = ArrayList<String>()
            lateinit var server: HttpServer
            val testServer = TestServer { server }
            server = HttpServer(newLoop, maxConnections, MAX_BODY_BYTES, limits, maxRequestMemoryBytes) { request ->
                testServer.threads.add(Thread.currentThread())
                requests.add(describe(request))
                failureOf(request)?.let { throw it }
                HttpResponse(200, request.body)
            }
            val listener = server.bind(HostPort("127.0.0.1", 0))
            val serveJob = launch { server.serve(this, listener) }
            test(testServer, HostPort("127.0.0.1", listener.port), requests)
            serveJob.cancel()
            listener.close()
        }
    }

    private fun describe(request: HttpRequest) =
        "${request.method} ${request.path} ${request.query} ${request.body.decodeToString()}"

    private suspend fun readStatus(connection: TcpConnection): Int {
        var head = ""
        while ("\r\n\r\n" !in head) {
            if (!connection.receive(1)) return NO_RESPONSE
            head += connection.input.readByteArray(1).decodeToString()
        }
        val length = Regex("Content-Length: (\\d+)").find(head)!!.groupValues[1].toLong()
        connection.receive(length)
        connection.input.skip(length)
        return head.split(' ')[1].toInt()
    }

    companion object {
        private const val MAX_BODY_BYTES = 200_000
        private const val CALL_TIMEOUT_MS = 10_000L
        private const val REQUEST_COUNT = 20
        private const val NO_RESPONSE = -1
        private const val STALL_NS = 20_000_000L
        private const val GET = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
        private const val POST = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}"
        private const val CHUNKED = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

        @JvmStatic
        fun handlerFailures() = listOf(
            IllegalStateException("thrown by the test"),
            StackOverflowError("thrown by the test"),
            InternalError("thrown by the test"),
            NoClassDefFoundError("thrown by the test"),
        )

        @JvmStatic
        fun incompleteRequests() = listOf(
            IncompleteRequest("head", "GET / HTTP/1.1\r\nHost: a\r\n", "\r\n", reservedBytes = 16_384),
            IncompleteRequest("body", "POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\n", "x".repeat(9_000), 9_000),
            IncompleteRequest("chunked body", CHUNKED, "0\r\n\r\n", reservedBytes = MAX_BODY_BYTES.toLong()),
        )

        @JvmStatic
        fun slowRequestCases() = listOf(
            RequestCase(
                "complete, in two pieces after a pause",
                listOf(POST.take(20), POST.drop(20)),
                listOf(200),
                false,
            ),
            RequestCase("incomplete head", listOf(GET.take(20)), listOf(400), true),
            RequestCase("head without its body", listOf(POST.dropLast(2)), listOf(400), true),
            RequestCase("incomplete body", listOf(POST.dropLast(1)), listOf(400), true),
            RequestCase("chunked body without the last chunk", listOf(CHUNKED, "2\r\n{}\r\n"), listOf(400), true),
        )

        @JvmStatic
        fun requestCases() = listOf(
            RequestCase("one request", listOf(GET), listOf(200), false),
            RequestCase("two requests, one after the other", listOf(GET, POST), listOf(200, 200), false),
            RequestCase("two requests in one write", listOf(POST + GET), listOf(200, 200), false),
            RequestCase("byte by byte", POST.map { "$it" }, listOf(200), false),
            RequestCase("line feeds without carriage returns", listOf(GET.replace("\r", "")), listOf(200), false),
            RequestCase("empty lines before the head", listOf("\r\n\r\n$GET"), listOf(200), false),
            RequestCase("Connection: close", listOf("GET / HTTP/1.1\r\nConnection: close\r\n\r\n"), listOf(200), true),
            RequestCase("chunked body", listOf(CHUNKED, "2\r\n{}\r\n0", "\r\n\r\n"), listOf(200), true),
            RequestCase("chunk size not a number", listOf(CHUNKED, "zz\r\n{}\r\n0\r\n\r\n"), listOf(400), true),
            RequestCase("negative chunk size", listOf(CHUNKED, "-2\r\n{}\r\n0\r\n\r\n"), listOf(400), true),
            RequestCase("chunk size beyond a long", listOf(CHUNKED, "f".repeat(40) + "\r\n"), listOf(400), true),
            RequestCase("chunk longer than its size", listOf(CHUNKED, "1\r\n{}\r\n0\r\n\r\n"), listOf(400), true),
            RequestCase("chunk size without end", listOf(CHUNKED, "1".repeat(5_000)), listOf(400), true),
            RequestCase("chunked body too large", listOf(CHUNKED, "30d41\r\n", "x".repeat(200_001)), listOf(413), true),
            RequestCase("first line without a version", listOf("what\r\n\r\n"), listOf(400), true),
            RequestCase("another protocol", listOf("GET / SIP/2.0\r\n\r\n"), listOf(400), true),
            RequestCase("header without a name", listOf(GET.replace("Host: a", ": a")), listOf(400), true),
            RequestCase("header line without a colon", listOf(GET.replace("Host: a", "Host")), listOf(400), true),
            RequestCase(
                "line of one character",
                listOf(GET.replace("Host: a", "H\nHost: a")),
                listOf(400),
                true,
            ),
            RequestCase(
                "Content-Length not a number",
                listOf(GET.replace("Host: a", "Content-Length: x")),
                listOf(400),
                true,
            ),
            RequestCase(
                "negative Content-Length",
                listOf(GET.replace("Host: a", "Content-Length: -1")),
                listOf(400),
                true,
            ),
            RequestCase("body too large", listOf(GET.replace("Host: a", "Content-Length: 200001")), listOf(413), true),
            RequestCase("head too large", listOf("GET / HTTP/1.1\r\nA: " + "x".repeat(20_000)), listOf(400), true),
        )
    }
}
