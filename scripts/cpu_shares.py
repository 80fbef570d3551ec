#!/usr/bin/env python3
"""Prints the shares of a controller's processor time by cause, from call stacks sampled with perf.

Start the load (README, "Measure"). While it runs, with the process id PID of the controller:

    perf record -F 999 -g -p PID -o perf.data -- sleep 15
    jcmd PID Compiler.perfmap
    scripts/cpu_shares.py perf.data

The controller's JVM needs the option -XX:+PreserveFramePointer for this. A sample counts for the first entry of CAUSES
that matches the thread's name or the call stack.
"""
import collections
import subprocess
import sys

# Cause, text to find in the call stack or None, start of the thread's name or None.
CAUSES = [
    ("compiler (C1)", None, "C1 Comp"),
    ("garbage collection, VM", None, "VM Thread"),
    ("heartbeat: parsing", "parseReport", None),
    ("placement", "placement.Scheduler", None),
    ("heartbeat: decision", "Partition.report", None),
    ("heartbeat: response encoding", "HttpResponse$Companion.json", None),
    ("user requests", "UserApi", None),
    ("HTTP: request heads", "HttpHead", None),
    ("HTTP: sending", "HttpServer.send", None),
    ("HTTP: other", "HttpServer", None),
    ("watch and replica", "Replica", None),
    ("state service", "StateClient", None),
    ("HTTP client", "HttpClient", None),
    ("record writes", "PartitionRecorder", None),
    ("partition sweeps", "Partition.sweep", None),
    ("event loop: waiting for sockets", "awaitSockets", None),
    ("event loop: timers", "runDueTimers", None),
    ("event loop: sockets", "TcpConnection", None),
]


def read_samples(file):
    output = subprocess.run(
        ["perf", "script", "-i", file, "-F", "comm,ip,sym"], capture_output=True, text=True, check=True
    ).stdout
    for block in output.split("\n\n"):
        thread, _, stack = block.strip().partition("\n")
        if thread:
            yield thread, stack


def cause_of(thread, stack):
    for name, stack_text, thread_prefix in CAUSES:
        if (thread_prefix and thread.startswith(thread_prefix)) or (stack_text and stack_text in stack):
            return name
    return "other (" + thread.strip() + ")"


def main():
    counts = collections.Counter()
    interpreted = collections.Counter()
    for thread, stack in read_samples(sys.argv[1]):
        name = cause_of(thread, stack)
        counts[name] += 1
        if "Interpreter" in stack.partition("\n")[0]:
            interpreted[name] += 1
    total = sum(counts.values())
    for name, count in counts.most_common():
        print(f"{100 * count / total:5.1f}%  {name} (interpreted: {100 * interpreted[name] / total:.1f}%)")


if __name__ == "__main__":
    main()
