package io.otterknot.cli

import io.otterknot.http.HttpClient
import kotlinx.coroutines.delay

/** Sends requests of a user, a worker and the load balancer to the controller of the warm-up; ignores the responses. */
internal object WarmupTraffic {
    /** The JSON of a job, both in a submission and in the store. */
    const val JOB = """{"Uid":"j-000001","Ilk":"c","Crew":"t","Sort":"sweep","Rank":"high","Chores":2,""" +
        """"Cores":1.0,"Cards":0.0,"MemoryGb":1.0,"Pelt":"i","SizeGb":1.0,"Breeds":null,"Reach":null,""" +
        """"SamePlace":false,"Scatter":false,"Driftwood":true,""" +
        """"GuessS":1.0,"CacheS":0.0,"StashS":0.0,"DueS":null}"""

    private const val ROUNDS = 30
    private const val PAUSE_MS = 50L
    private const val TIMEOUT_MS = 1_000L

    /** Sends each kind of request to [controller] [ROUNDS] times. The first ones fail if its port is not bound yet. */
    suspend fun send(controller: HttpClient) = repeat(ROUNDS) { round ->
        delay(PAUSE_MS)
        controller.call("GET", "/ready", null, TIMEOUT_MS)
        controller.call("POST", "/submissions", JOB.encodeToByteArray(), TIMEOUT_MS)
        controller.call("GET", "/submissions/j-000001", null, TIMEOUT_MS)
        controller.call("POST", "/submissions/j-000001/withdraw", ByteArray(0), TIMEOUT_MS)
        controller.call("POST", "/v1/report", heartbeat(round + 1).encodeToByteArray(), TIMEOUT_MS)
    }

    private fun heartbeat(sequence: Int) =
        """{"Holt":"m-000001","Endpoint":"127.0.0.1:9","Breed":"g","Reach":"a","Driftwood":false,""" +
            """"Dive":1,"Ripple":$sequence,"Warrant":5,"WarningS":null,""" +
            """"Chores":[{"Chore":"j-000001/0","Try":1,"Mood":"running"},""" +
            """{"Chore":"j-000001/1","Try":2,"Mood":"exited","Cause":"done"}]}"""
}
