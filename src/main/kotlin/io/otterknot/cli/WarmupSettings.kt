package io.otterknot.cli

import io.otterknot.config.Settings
import io.otterknot.config.SettingsFile
import java.nio.file.Files

/** The settings of the controller of the warm-up. */
internal object WarmupSettings {
    /**
     * Reads the settings from a temporary file, so that the classes for reading a settings file are loaded too.
     * [servicePort] is the loopback port of the stub of store and cloud, [controllerPort] the port of the controller.
     */
    fun read(servicePort: Int, controllerPort: Int): Settings {
        val file = Files.createTempFile("otterknot", ".toml")
        return try {
            Files.writeString(file, text(servicePort, controllerPort))
            SettingsFile.read(file)
        } finally {
            Files.delete(file)
        }
    }

    private fun text(servicePort: Int, controllerPort: Int) = """
label = "holt-0"
domain = "a"
bind = "127.0.0.1:$controllerPort"
peer_listen = "127.0.0.1:0"

[[members]]
label = "holt-1"
domain = "b"
endpoint = "127.0.0.1:1"

[endpoints]
cloud = "127.0.0.1:$servicePort"
state = "127.0.0.1:$servicePort"

[facts]
nodes = 1
zones = ["a"]
clock_error_ms = 250.0

[[facts.teams]]
name = "t"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0

[[facts.objectives]]
kind = "wait"
class = "c"
within_s = 8.0
share = 0.93

[facts.workers]
report_s = 0.2
lease_s = 10.0
cancel_s = 35.0

[facts.state]
rps = 1000.0
write_rps = 1000.0
value_kb = 8.0
txn_ops = 40

[facts.cloud]
rps = 100.0
list_lag_s = 4.0
"""
}
