"""Slopes for docs/CAPACITY.md: processor time, memory and loopback bytes of the
daemons against the number of backend servers, running tasks and queued jobs;
rebuild after a takeover; spread of catalogue changes. Prints one line a figure."""

import argparse
import json
import os
import re
import shutil
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

from bench import cpu_seconds, memory_mb
from deployment import NET, Deployment, http, read_ledger

MEASURE_S = 8
LEASE_MS = 6000

CATALOGUE = """
[workspace.all]
owner = "capacity"
[kind.long]
owner = "capacity"
workspace = "all"
class = "normal"
work = "job"
idempotent = true
checkpointable = true
max_gang = 1024
max_accelerators = 8
max_run_s = 86400
"""


def say(name, value, unit):
    print("%-66s %12.4f %s" % (name, value, unit), flush=True)


def socket_bytes(pid):
    """Bytes sent and received by the open connections of a process."""
    out = subprocess.run(["ss", "-tinpH"], capture_output=True, text=True).stdout.splitlines()
    total = 0
    for line, info in zip(out[::2], out[1::2]):
        if "pid=%d," % pid in line:
            total += sum(int(n) for n in re.findall(r"bytes_(?:sent|received):(\d+)", info))
    return total


def catalogue(d):
    path = os.path.join(d.dir, "catalogue")
    shutil.rmtree(path, ignore_errors=True)
    os.makedirs(path)
    with open(os.path.join(path, "all.toml"), "w") as f:
        f.write(CATALOGUE)
    return path


def submit(d, vm, tasks, run_ms=3600000):
    return http("POST", "http://%s/v1/jobs" % vm.callers,
                {"workspace": "all", "kind": "long", "tasks": tasks, "accelerators": 1, "run_ms": run_ms,
                 "failure_domain": vm.domain, "payload": {"work_ms": run_ms}}, timeout=30)


def window(d, vm):
    """Processor time a second and KB a second of entryd and schedd."""
    pids = (vm.entryd.pid, vm.schedd.pid)
    before = [(cpu_seconds(p), socket_bytes(p)) for p in pids]
    start = time.time()
    time.sleep(MEASURE_S)
    took = time.time() - start
    after = [(cpu_seconds(p), socket_bytes(p)) for p in pids]
    return [((a[0] - b[0]) / took * 100, max(a[1] - b[1], 0) / took / 1024) for a, b in zip(after, before)]


def report(d, vm, what):
    (entry_cpu, entry_kb), (sched_cpu, sched_kb) = window(d, vm)
    say(what + ": entryd processor time", entry_cpu, "% of a core")
    say(what + ": entryd traffic", entry_kb, "KB/s")
    say(what + ": entryd memory", memory_mb(vm.entryd.pid), "MB")
    say(what + ": schedd processor time", sched_cpu, "% of a core")
    say(what + ": schedd traffic", sched_kb, "KB/s")
    say(what + ": schedd memory", memory_mb(vm.schedd.pid), "MB")


def servers_and_tasks(sizes):
    for n in sizes:
        d = Deployment("run/capacity", servers=n, vms=3, lease_ms=LEASE_MS)
        try:
            d.start(catalogue(d))
            vm = d.vms[0]
            time.sleep(3)
            report(d, vm, "%d servers idle" % n)
            gangs = n * 8 // 64
            for i in range(gangs):
                submit(d, vm, 64)
            time.sleep(3)
            placed = vm.status()["placed"]
            report(d, vm, "%d servers, %d tasks in %d gangs" % (n, placed * 64, placed))
        finally:
            d.end()


def queue_and_rebuild(counts):
    for count in counts:
        d = Deployment("run/capacity", servers=17, vms=4, lease_ms=LEASE_MS)
        try:
            d.start(catalogue(d))
            vm = d.active_sched("fd-a")
            base = memory_mb(vm.schedd.pid)
            submit(d, vm, 136)
            start = time.time()
            with ThreadPoolExecutor(32) as pool:
                results = list(pool.map(lambda i: submit(d, vm, 136)[0], range(count)))
            took = time.time() - start
            say("%d queued jobs: admitted" % results.count(202), results.count(202) / took, "1/s")
            say("%d queued jobs: memory of schedd above the empty one" % count, memory_mb(vm.schedd.pid) - base, "MB")
            before = cpu_seconds(vm.schedd.pid)
            time.sleep(4)
            say("%d queued jobs: schedd" % count, (cpu_seconds(vm.schedd.pid) - before) / 4 * 100, "% of a core")
            killed = time.time()
            vm.kill("schedd")
            d.wait(lambda: d.active_sched("fd-a"), 30, "a takeover")
            say("%d queued jobs: active again after the kill" % count, time.time() - killed, "s")
            for path in (os.path.join(d.dir, v.id + ".log") for v in d.vms):
                taken = None
                for line in read_ledger(path):
                    if line["event"] == "takeover" and line["time_us"] > killed * 1e6:
                        taken = line["time_us"]
                    if line["event"] == "rebuilt" and taken:
                        say("%d queued jobs: rebuild" % count, (line["time_us"] - taken) / 1000, "ms")
        finally:
            d.end()


def spread(changes):
    d = Deployment("run/capacity", servers=17, vms=8, lease_ms=LEASE_MS)
    try:
        path = catalogue(d)
        d.start(path)
        accepted = {}
        for i in range(changes):
            with open(os.path.join(path, "all.toml"), "w") as f:
                f.write(CATALOGUE + '[workspace.w%d]\nowner = "x"\n' % i)
            d.apply(path, i + 1)
            accepted[i + 2] = time.time() * 1e6
            time.sleep(0.5)
        time.sleep(6)
        lags = []
        for vm in d.vms:
            for program in ("entryd", "schedd"):
                seen = sorted((line["time_us"], int(line["message"].split()[1]))
                              for line in read_ledger(os.path.join(d.dir, vm.id + ".log"))
                              if line["event"] == "catalogue" and line["program"] == program)
                for version, at in accepted.items():
                    lags.append(min(t for t, v in seen if v >= version) / 1e6 - at / 1e6)
        lags.sort()
        say("%d changes to 16 daemons: time to be in force, median" % changes, lags[len(lags) // 2], "s")
        say("%d changes to 16 daemons: time to be in force, longest" % changes, lags[-1], "s")
        counts = http("GET", "http://%s.0.1:17000/admin/counts" % NET)[1]
        before, start = counts["reads"], time.time()
        time.sleep(6)
        reads = http("GET", "http://%s.0.1:17000/admin/counts" % NET)[1]["reads"] - before
        say("reads of the platform by 8 entry VMs at rest", reads / (time.time() - start), "1/s")
        writes = http("GET", "http://%s.0.1:17000/admin/counts" % NET)[1]["writes"]
        time.sleep(6)
        say("writes to the platform by 3 domains at rest",
            (http("GET", "http://%s.0.1:17000/admin/counts" % NET)[1]["writes"] - writes) / 6, "1/s")
    finally:
        d.end()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    servers_and_tasks((17, 50) if args.quick else (17, 50, 100, 200))
    queue_and_rebuild((500,) if args.quick else (500, 2000, 4000))
    spread(10)


if __name__ == "__main__":
    main()
