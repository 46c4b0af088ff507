"""Guarantees and urgent work end to end: a failure domain is filled with borrowed
work; then its owner asks for a guaranteed shape, and urgent work without a
guarantee arrives, with the scheduler alive and just killed."""

import sys
import time

from deployment import Deployment, http
from faults import LEASE_MS, merged_catalogue

URGENT_S = 6.3
RECLAIM_MS = 2000
RECLAIM_S = RECLAIM_MS / 1000 + 1.5  # the deadline, and prepare, start and being looked at
ROUNDS = 3


def submit(d, workspace, kind, tasks, accelerators, domain, work_ms=600000):
    status, job = http("POST", "http://%s/v1/jobs" % d.vms[0].callers,
                       {"workspace": workspace, "kind": kind, "tasks": tasks, "accelerators": accelerators,
                        "run_ms": min(work_ms, 3000000), "failure_domain": domain,
                        "payload": {"work_ms": work_ms}}, timeout=20)
    if status != 202:
        raise RuntimeError("%s: %s %s" % (kind, status, job))
    return job["id"]


def wait_running(d, job, seconds):
    start = time.time()
    while time.time() - start < seconds:
        _, body = http("GET", "http://%s/v1/jobs/%s" % (d.vms[1].callers, job), timeout=10)
        if isinstance(body, dict) and body.get("state") in ("running", "ended"):
            return time.time() - start
        time.sleep(0.02)
    return seconds


def fill(d, domain):
    for _ in range(13):
        submit(d, "archive", "pendulum-study", 8, 1, domain)
    for _ in range(8):
        submit(d, "insurers", "claim-survey", 8, 1, domain)
    d.wait(lambda: d.active_sched(domain).status()["free"] <= 24, 20, "a full failure domain")


def main():
    d = Deployment("run/reclaim", servers=17, lease_ms=LEASE_MS)
    rows = []
    try:
        d.start(merged_catalogue(d.dir))
        for domain in ("fd-a", "fd-b", "fd-c"):
            fill(d, domain)
        print("free accelerators left: %s" % [d.active_sched(x).status()["free"] for x in ("fd-a", "fd-b", "fd-c")])
        for i in range(ROUNDS):
            job = submit(d, "calibration", "calibration-reconciliation", 8, 8, "fd-b", 300)
            rows.append(("a guaranteed rack of 64 is reclaimed", wait_running(d, job, 20), RECLAIM_S))
            job = submit(d, "carillon", "ceremony-plan", 2, 8, "fd-c", 300)
            rows.append(("urgent work without a guarantee starts", wait_running(d, job, 20), URGENT_S))
            time.sleep(2)
        d.active_sched("fd-c").kill("schedd")
        start = time.time()
        job = submit(d, "carillon", "ceremony-plan", 2, 8, "fd-c", 300)
        rows.append(("urgent work starts though the scheduler was killed",
                     time.time() - start + wait_running(d, job, 20), URGENT_S))
        faults = [s["policy_fault"] for s in (d.active_sched(x).status() for x in ("fd-a", "fd-b", "fd-c"))]
    finally:
        d.end()
    bad = any(faults)
    for name, took, bound in rows:
        bad = bad or took > bound
        print("%-52s %6.2f s  bound %.1f s  %s" % (name, took, bound, "ok" if took <= bound else "VIOLATED"))
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
