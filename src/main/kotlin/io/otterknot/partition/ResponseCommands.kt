package io.otterknot.partition

import io.otterknot.wire.CommandSize
import io.otterknot.wire.HeartbeatCommand

/**
 * The commands of the response to one heartbeat, at most as many as one response may hold. What is left out is due
 * again after the next heartbeat, which shows what the worker has carried out until then.
 */
class ResponseCommands {
    private val commands = ArrayList<HeartbeatCommand>()
    private var bytes = 0
    private var isFull = false

    /**
     * Adds [command] unless it or an earlier one does not fit. Returns whether it was added. After a command that does
     * not fit, no smaller one is added either, because the order of commands matters.
     */
    fun add(command: HeartbeatCommand): Boolean {
        val size = CommandSize.of(command)
        if (bytes + size > CommandSize.MAX_COMMANDS_BYTES) isFull = true
        if (isFull) return false
        bytes += size
        commands.add(command)
        return true
    }

    fun toList(): List<HeartbeatCommand> = commands
}
