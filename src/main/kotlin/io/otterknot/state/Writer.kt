package io.otterknot.state

import io.otterknot.wire.Change
import io.otterknot.wire.Guard
import kotlinx.coroutines.delay
import kotlinx.serialization.json.JsonElement
import org.slf4j.LoggerFactory
import kotlin.random.Random

/** What one owner wants its keys to hold; null: the key shall be absent. */
class Wish(val key: String, val value: JsonElement?)

/**
 * Brings the keys that only a part's owner writes to what it wishes, in batches. Each key's known version is guarded
 * besides the part's key: a transaction that was given up and is carried out late can then change nothing.
 */
class Writer(
    private val client: StateClient,
    private val replica: Replica,
    private val random: Random,
    private val maxChanges: Int,
    private val maxBytes: Int = 40_000,
) {
    private val log = LoggerFactory.getLogger(Writer::class.java)

    /** Sends what differs from the replica; false: nothing to send. */
    suspend fun write(owner: Guard, wishes: List<Wish>, onGuardLost: () -> Unit): Boolean {
        val guards = ArrayList<Guard>()
        val changes = ArrayList<Change>()
        var bytes = 0
        val most = minOf(maxChanges, client.budget.most)
        for (wish in wishes) {
            val entry = replica[wish.key]
            if (entry?.value == wish.value) continue
            val size = wish.key.length * 2 + 80 + (wish.value?.toString()?.length ?: 0)
            if (changes.size >= most || (changes.isNotEmpty() && bytes + size > maxBytes)) break
            guards.add(Guard(wish.key, entry?.version ?: 0))
            changes.add(
                if (wish.value ==
                    null
                ) {
                    Change(remove = wish.key)
                } else {
                    Change(put = wish.key, value = wish.value)
                },
            )
            bytes += size
        }
        if (changes.isEmpty()) return false
        client.budget.takeSpare(changes.size)
        guards.add(owner)
        when (val outcome = client.txn(guards, changes)) {
            is TxnOutcome.Applied -> replica.reach(outcome.revision, REACH_MS)

            is TxnOutcome.Conflict -> {
                log.debug("batch of {} refused by {}", changes.size, outcome.failed)
                if (owner.key in outcome.failed) onGuardLost() else replica.reach(outcome.revision, REACH_MS)
            }

            is TxnOutcome.Refused, is TxnOutcome.Unknown -> {
                log.info("batch of {} not written: {}", changes.size, outcome)
                delay(300 + random.nextLong(500))
            }
        }
        return true
    }

    private companion object {
        const val REACH_MS = 2_000L
    }
}
