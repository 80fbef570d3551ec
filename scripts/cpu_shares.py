#!/usr/bin/env python3
"""Shares of a controller's processor time by cause, from the call stacks that perf has sampled.

Run the load (README, "Measure"), and while it runs, with PID the controller's:

    perf record -F 999 -g -p PID -o perf.data -- sleep 15
    jcmd PID Compiler.perfmap
    scripts/cpu_shares.py perf.data

The JVM needs -XX:+PreserveFramePointer for this. The first cause whose text stands in a stack counts.
"""
import collections
import subprocess
import sys

# Cause, text in a stack or None, start of a thread's name or None.
CAUSES = [
    ("compiler (C1)", None, "C1 Comp"),
    ("garbage collection, VM", None, "VM Thread"),
    ("report: parse", "parseReport", None),
    ("placement", "placement.Scheduler", None),
    ("report: decide", "Partition.report", None),
    ("report: encode", "HttpResponse$Companion.json", None),
    ("users", "UserApi", None),
    ("HTTP heads", "HttpHead", None),
    ("HTTP: sending", "HttpServer.send", None),
    ("HTTP: the rest", "HttpServer", None),
    ("watch and replica", "Replica", None),
    ("state service", "StateClient", None),
    ("HTTP client", "HttpClient", None),
    ("records", "PartitionRecorder", None),
    ("sweeps", "Partition.sweep", None),
    ("loop: waiting for sockets", "awaitSockets", None),
    ("loop: timers", "runDueTimers", None),
    ("loop: sockets", "TcpConnection", None),
]


def samples(file):
    text = subprocess.run(
        ["perf", "script", "-i", file, "-F", "comm,ip,sym"], capture_output=True, text=True, check=True
    ).stdout
    for block in text.split("\n\n"):
        thread, _, stack = block.strip().partition("\n")
        if thread:
            yield thread, stack


def cause(thread, stack):
    for name, text, thread_name in CAUSES:
        if (thread_name and thread.startswith(thread_name)) or (text and text in stack):
            return name
    return "other (" + thread.strip() + ")"


def main():
    counts = collections.Counter()
    interpreted = collections.Counter()
    for thread, stack in samples(sys.argv[1]):
        name = cause(thread, stack)
        counts[name] += 1
        if "Interpreter" in stack.partition("\n")[0]:
            interpreted[name] += 1
    total = sum(counts.values())
    for name, count in counts.most_common():
        print(f"{100 * count / total:5.1f}%  {name} (interpreted: {100 * interpreted[name] / total:.1f}%)")


if __name__ == "__main__":
    main()
