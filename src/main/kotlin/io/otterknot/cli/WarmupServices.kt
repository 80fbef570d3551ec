package io.otterknot.cli

import io.otterknot.http.HttpResponse
import kotlinx.coroutines.delay

/** A stub of the key-value store and the cloud for the controller of the warm-up. */
internal object WarmupServices {
    /** Returns a fixed response for each known path, and for any other 404, as the store does for a missing key. */
    suspend fun respond(path: String, body: String): HttpResponse = when {
        path == "/flavors" -> ok(
            """{"Breeds":[{"Name":"g","Cores":16,"Cards":0,"MemoryGb":64,"LocalGb":20,"PullGbPerS":1.0,""" +
                """"Rate":1.0,"SpotPrice":0.4,"ReadyS":1,"Reaches":["a"]}]}""",
        )

        path == "/machines" && body.isEmpty() -> ok("""{"Holts":[],"More":false}""")

        path == "/machines" -> ok("""{"Holts":["m-000001"]}""")

        path.startsWith("/machines") -> ok("{}")

        path == "/watch" -> {
            delay(WATCH_DELAY_MS)
            ok("""{"Tide":6,"Log":[]}""")
        }

        path == "/txn" -> ok("""{"Tide":5}""")

        path.startsWith("/holds") -> ok("""{"Tenure":1}""")

        path == "/store" -> ok(
            """{"Pairs":[{"Key":"o/j/j-000001","V":{"s":${WarmupTraffic.JOB},""" +
                """"a":[{"z":"a","f":0,"u":2}],"t":1},"Mark":4},""" +
                """{"Key":"o/m/a/0","V":{"m":{"m-000001":"g"}},"Mark":4},""" +
                """{"Key":"o/d/a/4-0","V":{"d":{"j-000001":"AQ"}},"Mark":4},""" +
                """{"Key":"o/s/a","V":{"m":0.1,"c":16.0},"Mark":4}],"More":false,"Tide":5}""",
        )

        else -> HttpResponse(404, """{"Tide":6}""".encodeToByteArray())
    }

    private fun ok(text: String) = HttpResponse(200, text.encodeToByteArray())

    /** The duration of a watch request. Without a delay the controller would send watch requests continuously. */
    private const val WATCH_DELAY_MS = 100L
}
