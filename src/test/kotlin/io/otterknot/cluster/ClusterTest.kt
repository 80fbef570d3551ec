package io.otterknot.cluster

import io.otterknot.testing.ClusterScenario
import io.otterknot.wire.Priority
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.MethodSource

/** The whole service under one kind of trouble each, with every rule watched. */
class ClusterTest {
    @ParameterizedTest
    @MethodSource("cases")
    fun `no rule breaks and every job ends`(case: ClusterScenario) = case.play()

    companion object {
        @JvmStatic
        fun cases() = listOf(
            ClusterScenario("quiet") { },
            ClusterScenario("a team at its limit", teamLimit = 12.0) { },
            ClusterScenario("a team whose limit is below one task for each partition", teamLimit = 5.0) { },
            ClusterScenario("a team at its limit while controllers restart", teamLimit = 8.0) {
                for (node in nodes) {
                    crash(node)
                    delay(1_500)
                    startNode(node)
                    delay(4_000)
                }
            },
            ClusterScenario("one controller crashes and comes back") {
                crash("holt-a")
                delay(6_000)
                startNode("holt-a")
            },
            ClusterScenario("one controller crashes and comes back at once, again and again") {
                repeat(4) {
                    crash("holt-b")
                    delay(200)
                    startNode("holt-b")
                    delay(3_000)
                }
            },
            ClusterScenario("all controllers crash") {
                nodes.forEach(::crash)
                delay(5_000)
                nodes.forEach(::startNode)
            },
            ClusterScenario("all controllers restart while the cloud is away") {
                // Without remembered machine types nothing is placed until the cloud is back.
                cloudAway = true
                nodes.forEach(::crash)
                nodes.forEach(::startNode)
                val before = starts
                delay(15_000)
                if (starts == before) broken.add("nothing_ran while the cloud was away")
                cloudAway = false
            },
            ClusterScenario("one controller stays away") {
                crash("holt-c")
                delay(60_000)
                startNode("holt-c")
            },
            ClusterScenario("controllers are restarted one after the other") {
                for (node in nodes) {
                    crash(node)
                    delay(4_000)
                    startNode(node)
                    delay(8_000)
                }
            },
            ClusterScenario("the state service is down") {
                state.outage(true)
                delay(20_000)
                state.outage(false)
            },
            ClusterScenario("the state service is down for longer than any lease, and all restart meanwhile") {
                state.outage(true)
                delay(20_000)
                nodes.forEach(::crash)
                delay(10_000)
                nodes.forEach(::startNode)
                delay(10_000)
                state.outage(false)
            },
            ClusterScenario("one controller alone is refused by the state service") {
                state.refusedFor = "holt-a"
                delay(60_000)
                state.refusedFor = null
            },
            ClusterScenario("answers to transactions are lost and some are applied late") {
                state.lossy = 0.3
                delay(40_000)
                state.lossy = 0.0
            },
            ClusterScenario("late transactions while controllers restart") {
                state.lossy = 0.2
                repeat(3) {
                    crash(nodes[it])
                    delay(2_000)
                    startNode(nodes[it])
                    delay(6_000)
                }
                state.lossy = 0.0
            },
            ClusterScenario("cancellations race completions") {
                // Without the guard on the job's version a cancellation would overwrite a job just told to be done.
                state.lossy = 0.1
                for (id in 101..160) {
                    user(spec(id, 1 + id % 2, 1.0), 1_000L + random.nextLong(4_000))
                    delay(100)
                }
                delay(10_000)
                state.lossy = 0.0
            },
            ClusterScenario("machines hang and go on within their lease, and after it") {
                machines().forEachIndexed { index, worker ->
                    worker.hungUntilMs =
                        machines().first().bornMs + 12_000 + 5_000L * (index % 5)
                }
                delay(20_000)
            },
            ClusterScenario("machines hang while their controller restarts") {
                machines().filter { it.zone == "a" }.forEach { it.hungUntilMs = it.bornMs + 30_000 }
                crash("holt-a")
                delay(1_000)
                startNode("holt-a")
                delay(10_000)
            },
            ClusterScenario("troubles in any combination") {
                repeat(12) {
                    val node = nodes.random(random)
                    when (random.nextInt(7)) {
                        0 -> scope.launch {
                            state.refusedFor = node
                            delay(8_000 + random.nextLong(25_000))
                            state.refusedFor =
                                null
                        }

                        1 -> scope.launch {
                            cutNodes.add(node)
                            delay(2_000 + random.nextLong(25_000))
                            cutNodes.remove(node)
                        }

                        2 -> scope.launch {
                            crash(node)
                            delay(200 + random.nextLong(6_000))
                            startNode(node)
                        }

                        3 -> machines().shuffled(random).take(2).forEach { it.hang(3_000 + random.nextLong(25_000)) }

                        4 -> scope.launch {
                            state.lossy = 0.3
                            delay(8_000)
                            state.lossy = 0.0
                        }

                        5 -> scope.launch {
                            lostAnswers = 0.5
                            delay(6_000)
                            lostAnswers = 0.0
                        }

                        6 -> scope.launch {
                            state.outage(true)
                            delay(3_000 + random.nextLong(20_000))
                            state.outage(false)
                        }
                    }
                    delay(random.nextLong(8_000))
                }
                delay(30_000)
            },
            ClusterScenario("reports of some machines arrive, answers to them do not") {
                // Such a machine looks idle and would draw task after task; it must be given back.
                val deaf = machines().take(2).onEach { it.unreached = true }
                delay(45_000)
                if (deaf.any { it in machines() }) broken.add("a machine that no answer reaches is still kept")
            },
            ClusterScenario("answers to a machine are lost from before a take-over on") {
                machines().filter { it.zone == "a" }.forEach { it.unreached = true }
                cloudAway = true
                crash("holt-a")
                delay(300)
                startNode("holt-a")
                delay(30_000)
                for (id in 201..206) user(spec(id, 4, 2.0))
                delay(20_000)
                cloudAway = false
            },
            ClusterScenario("copies of reports come seconds to well over a lease late") {
                copies = 0.3
                delay(20_000)
                crash("holt-b")
                delay(400)
                startNode("holt-b")
                machines().take(2).forEach { it.hang(15_000) }
                delay(40_000)
                copies = 0.0
            },
            ClusterScenario("copies of reports while machines are returned and controllers take over") {
                copies = 0.5
                for (node in nodes) {
                    crash(node)
                    delay(5_000)
                    machines().shuffled(random).take(1).forEach { it.hang(25_000) }
                    startNode(node)
                    delay(8_000)
                }
                copies = 0.0
            },
            ClusterScenario("a controller loses state service and other controllers, not its workers") {
                state.refusedFor = "holt-a"
                peerless.add("holt-a")
                delay(60_000)
                if (removals("holt-a") == 0) broken.add("an isolated node stays in the balancer's choice")
                state.refusedFor = null
                peerless.clear()
            },
            ClusterScenario("a controller alone is refused by the state service, and the others serve it") {
                state.refusedFor = "holt-b"
                val before = starts
                for (id in 201..212) user(spec(id, 3, 2.0))
                delay(30_000)
                if (starts == before ||
                    nodes.any { removals(it) > 0 }
                ) {
                    broken.add("the way round by another controller does not serve")
                }
                state.refusedFor = null
            },
            ClusterScenario("in an outage no node leaves the balancer's choice") {
                state.outage(true)
                delay(18_000)
                if (nodes.any { removals(it) > 0 }) broken.add("nodes flap in an outage")
                state.outage(false)
            },
            ClusterScenario("restarts within a fraction of a second in the middle of claims, transactions late") {
                state.lossy = 0.25
                repeat(8) {
                    val node = nodes.random(random)
                    crash(node)
                    delay(100 + random.nextLong(400))
                    startNode(node)
                    delay(100 + random.nextLong(3_000))
                }
                nodes.forEach(::crash)
                delay(150)
                nodes.forEach(::startNode)
                delay(500)
                nodes.forEach(::crash)
                delay(300)
                nodes.forEach(::startNode)
                delay(20_000)
                state.lossy = 0.0
            },
            ClusterScenario("the largest jobs begin while small ones keep coming") {
                user(spec(301, 60, 5.0))
                user(spec(303, 120, 4.0, "bulk", Priority.BEST_EFFORT, cores = 1.0))
                // More than the machines can do, so that shortest work first would never come to the largest.
                for (round in 0 until 100) {
                    user(spec(400 + round * 2, 3 + round % 3, 6.0, cores = 4.0))
                    user(spec(401 + round * 2, 5, 8.0))
                    delay(2_700)
                }
            },
            ClusterScenario("machines fail every task") {
                machines().take(2).forEach { it.faulty = true }
                delay(20_000)
            },
            ClusterScenario("a crashed controller's partitions are taken over before its machines' leases end") {
                delay(15_000)
                crash("holt-a")
                crash("holt-b")
                delay(9_000)
                if (owners().values.toSet() !=
                    setOf("holt-c")
                ) {
                    broken.add("crashed controllers still own partitions: ${owners()}")
                }
                startNode("holt-a")
                delay(30_000)
                if ("holt-a" !in
                    owners().values
                ) {
                    broken.add("a controller that came back got no partition: ${owners()}")
                }
                startNode("holt-b")
            },
            ClusterScenario("a claim from a live owner, the claimant ends at once") {
                // The first owner may act until its fence ends, whoever claims after the claimant.
                cutNodes.add("holt-a")
                while (owners()["a"] == "holt-a") delay(50)
                val claimant = owners().getValue("a")
                crash(claimant)
                delay(150)
                startNode(claimant)
                delay(3_000)
                crash(claimant)
                delay(30_000)
                cutNodes.clear()
                startNode(claimant)
            },
            ClusterScenario("owners that lose their workers for a while, again and again") {
                repeat(6) {
                    val node = nodes.random(random)
                    cutNodes.add(node)
                    delay(3_000 + random.nextLong(8_000))
                    cutNodes.remove(node)
                    if (random.nextBoolean()) {
                        crash(node)
                        delay(300)
                        startNode(node)
                    }
                    delay(random.nextLong(4_000))
                }
            },
            ClusterScenario("a zone that was cut off comes back to the owner that it has got meanwhile") {
                // Its machines come to any node and have been with none since: that says nothing against the new owner.
                repeat(40) { boot("a", spot = false) }
                delay(6_000)
                cut("a")
                delay(60_000)
                val owner = owners()["a"]
                cut(null)
                delay(8_000)
                if (owner == "holt-a" ||
                    owners()["a"] != owner
                ) {
                    broken.add("the partition of a went from $owner to ${owners()["a"]}")
                }
            },
            ClusterScenario(
                "hundreds of machines: a wave of losses, then all controllers crash in a burst and again in the middle of their claims",
                capacity = 60,
            ) {
                for (zone in zones) repeat(100) { boot(zone, spot = it % 2 == 0) }
                for (id in 201..240) {
                    user(
                        spec(
                            id,
                            30,
                            6.0 + id % 5,
                            if (id % 3 ==
                                0
                            ) {
                                "bulk"
                            } else {
                                "urgent"
                            },
                            if (id % 3 == 0) Priority.BEST_EFFORT else Priority.HIGH,
                        ),
                    )
                }
                delay(8_000)
                machines().filter { it.spot }.shuffled(random).take(60).forEach { take(it) }
                delay(2_000)
                machines().shuffled(random).take(25).forEach { it.hang(14_000) }
                nodes.forEach(::crash)
                delay(1_000)
                nodes.forEach(::startNode)
                for (node in nodes) {
                    delay(600)
                    crash(node)
                    delay(200)
                    startNode(node)
                }
                copies = 0.1
                delay(20_000)
                copies = 0.0
            },
            ClusterScenario(
                "hundreds of machines: an owner stands still, then all workers come to the one controller left",
                capacity = 60,
            ) {
                for (zone in zones) repeat(100) { boot(zone, spot = it % 2 == 0) }
                for (id in 201..240) user(spec(id, 30, 40.0 + id % 5))
                delay(16_000)
                // Nothing that it sends or is sent arrives meanwhile, whatever its clock says.
                cutNodes.add("holt-a")
                peerless.add("holt-a")
                state.refusedFor = "holt-a"
                delay(21_000)
                cutNodes.clear()
                peerless.clear()
                state.refusedFor = null
                delay(3_000)
                crash("holt-a")
                crash("holt-b")
                delay(14_000)
                if (owners().values.toSet() !=
                    setOf("holt-c")
                ) {
                    broken.add("crashed controllers still own partitions: ${owners()}")
                }
                startNode("holt-a")
                startNode("holt-b")
            },
            ClusterScenario("a controller is cut off from the workers") {
                cutNodes.add("holt-b")
                delay(30_000)
                cutNodes.clear()
            },
        )
    }
}
