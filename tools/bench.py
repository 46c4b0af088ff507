"""Benchmarks of the request path, and those of the policy. One line a figure:
name, value, unit, bound, ok or FAIL; raw results go to bench/results.jsonl.
Exit code 1 when a bound is missed."""

import argparse
import json
import os
import subprocess
import sys
import time

from deployment import BUILD, Deployment, http
from faults import merged_catalogue

ADDED_BOUND_MS = 0.2
OVERLOAD_BOUND = 0.9
RESULTS = "bench/results.jsonl"
RATE_OF_ONE = 1500

WORK = """
[load]
rate = 100
[[work]]
name = "%s"
mode = "%s"
workspace = "counters"
kind = "checkout-verification"
deadline_ms = %d
run_ms = %d
"""

OVERLOAD = """
[load]
rate = 100
[[work]]
name = "urgent"
mode = "request"
workspace = "counters"
kind = "checkout-verification"
weight = 1
deadline_ms = 1000
run_ms = 20
[[work]]
name = "batch"
mode = "request"
workspace = "archive"
kind = "pendulum-check"
weight = 9
deadline_ms = 1000
run_ms = 20
"""

failures = 0


def figure(name, value, unit, bound=None, at_least=False):
    global failures
    ok = bound is None or (value >= bound if at_least else value <= bound)
    limit = "-" if bound is None else ("%s %.3f" % (">=" if at_least else "<=", bound))
    print("%-58s %12.4f %-6s bound %-10s %s" % (name, value, unit, limit,
                                               "" if bound is None else "ok" if ok else "FAIL"), flush=True)
    failures += not ok
    with open(RESULTS, "a") as f:
        f.write(json.dumps({"at": int(time.time()), "name": name, "value": value, "unit": unit,
                            "bound": bound, "ok": ok}) + "\n")


def load(d, text, targets, rate, seconds, name="work"):
    path = os.path.join(d.dir, "experiment-%s.toml" % name)
    with open(path, "w") as f:
        f.write(text)
    # one load process saturates at a few thousand calls a second, so several share the rate
    parts = max(1, -(-int(rate) // RATE_OF_ONE))
    args = [os.path.join(BUILD, "currantlane-load"), "--experiment", path, "--seconds", str(seconds),
            "--rate", str(rate / parts), "--drain", "3", "--json"]
    for t in targets:
        args += ["--target", t]
    running = [subprocess.Popen(args + ["--seed", str(k + 1)], stdout=subprocess.PIPE, text=True)
               for k in range(parts)]
    outs = [p.communicate(timeout=seconds + 60)[0] for p in running]
    results = {}
    for line in "".join(outs).splitlines():
        row = json.loads(line)
        results.setdefault(row["name"], []).append(row)
    return {name: merged(rows) for name, rows in results.items()}


def merged(rows):
    """Sums of the counts; the middle one's median and the worst one's tail."""
    out = dict(rows[0])
    for key in ("sent", "done", "failed", "not_run", "unknown", "pending", "goodput"):
        out[key] = sum(r[key] for r in rows)
    out["p50_us"] = sorted(r["p50_us"] for r in rows)[len(rows) // 2]
    for key in ("p90_us", "p99_us", "max_us"):
        out[key] = max(r[key] for r in rows)
    return out


def cpu_seconds(pid):
    with open("/proc/%d/stat" % pid) as f:
        parts = f.read().rsplit(")", 1)[1].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


def memory_mb(pid):
    with open("/proc/%d/status" % pid) as f:
        for line in f:
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024


def added_latency(seconds):
    """Direct calls and calls through an entry VM in one run, one at a time, low load."""
    d = Deployment("run/bench", servers=17, vms=3, threads=2)
    try:
        d.start(merged_catalogue(d.dir))
        entry = [d.vms[0].callers]
        direct_targets = [s["address"] for s in d.servers.values() if s["failure_domain"] == "fd-a"]
        direct = load(d, WORK % ("direct", "direct", 3000, 0), direct_targets, 100, seconds)["direct"]
        plain = load(d, WORK % ("plain", "request", 3000, 0), entry, 100, seconds)["plain"]
        ticket = load(d, WORK % ("ticket", "ticket", 3000, 0), entry, 100, seconds)["ticket"]
        figure("direct call p50", direct["p50_us"] / 1000, "ms")
        figure("added to an idempotent request, p50", (plain["p50_us"] - direct["p50_us"]) / 1000, "ms",
               ADDED_BOUND_MS)
        figure("added to a ticketed request, p50", (ticket["p50_us"] - direct["p50_us"]) / 1000, "ms",
               ADDED_BOUND_MS)
        figure("idempotent request p99", plain["p99_us"] / 1000, "ms")
    finally:
        d.stop()


def throughput(threads, seconds):
    """Highest of a few offered rates that is still served; logging and traces are on."""
    d = Deployment("run/bench", servers=17, vms=3, threads=threads)
    try:
        d.start(merged_catalogue(d.dir))
        best = None
        for rate in (4000, 8000, 12000, 16000, 20000):
            entry = d.vms[0]
            before = cpu_seconds(entry.entryd.pid)
            r = load(d, WORK % ("plain", "request", 1000, 0), [entry.callers], rate, seconds)["plain"]
            used = cpu_seconds(entry.entryd.pid) - before
            if r["done"] < 0.95 * r["sent"]:
                break
            best = (r, used)
        if best:
            r, used = best
            figure("throughput, %d threads" % threads, r["goodput"], "1/s")
            figure("p99 at that rate, %d threads" % threads, r["p99_us"] / 1000, "ms")
            figure("processor time a request, %d threads" % threads, used / max(r["sent"], 1) * 1e6, "us")
            figure("memory of entryd, %d threads" % threads, memory_mb(entry.entryd.pid), "MB")
    finally:
        d.stop()


def overload(seconds):
    """Offered 1, 2 and 4 times what fits: 3 VMs, 8 servers of 8 slots a domain, 20 ms each."""
    d = Deployment("run/bench", servers=2, vms=3, threads=2)
    fits = 3 * 2 * 8 / 0.020 * 0.5
    try:
        path = os.path.join(d.dir, "bench-catalogue")
        os.makedirs(path, exist_ok=True)
        with open(os.path.join(path, "catalogue.toml"), "w") as f:
            f.write('[workspace.counters]\nowner = "a"\n[workspace.archive]\nowner = "a"\n'
                    '[kind.checkout-verification]\nowner = "a"\nworkspace = "counters"\nclass = "urgent"\n'
                    'work = "request"\nidempotent = true\n[kind.pendulum-check]\nowner = "a"\n'
                    'workspace = "archive"\nclass = "batch"\nwork = "request"\nidempotent = true\n')
        d.start(path)
        targets = [v.callers for v in d.vms]
        goodput, urgent = {}, {}
        for factor in (1, 2, 4):
            r = load(d, OVERLOAD, targets, fits * factor, seconds, "overload")
            goodput[factor] = r["urgent"]["goodput"] + r["batch"]["goodput"]
            urgent[factor] = r["urgent"]["done"] / max(r["urgent"]["sent"], 1)
            figure("goodput at %dx" % factor, goodput[factor], "1/s")
            figure("urgent share done at %dx" % factor, urgent[factor], "share", 0.99, True)
            figure("urgent p99 at %dx" % factor, r["urgent"]["p99_us"] / 1000, "ms")
        figure("goodput at 4x / best", goodput[4] / max(goodput.values()), "x", OVERLOAD_BOUND, True)
    finally:
        d.stop()


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    args = parser.parse_args()
    seconds = 3 if args.quick else 6
    added_latency(seconds)
    overload(seconds)
    for threads in ((2,) if args.quick else (1, 4, 8)):
        throughput(threads, seconds)
    codes = [subprocess.run([os.path.join(BUILD, "bench", p)] + (["--quick"] if args.quick else [])).returncode
             for p in ("bench_policy", "bench_cost")]
    print("%d figures of the request path missed their bound" % failures)
    sys.exit(1 if failures or any(codes) else 0)


if __name__ == "__main__":
    main()
