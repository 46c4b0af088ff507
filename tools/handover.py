"""The VM of the active scheduler is cut off from all backend servers, but not from
the platform: another scheduler must take over and place work again."""

import sys
import time

from deployment import Deployment
from faults import LEASE_MS, merged_catalogue
from reclaim import submit, wait_running

# a lease until the silence counts, one poll and one renewal, and the takeover's 10 s
BOUND_S = LEASE_MS / 1000 + 3 + 10


def main():
    d = Deployment("run/handover", servers=17, lease_ms=LEASE_MS)
    try:
        d.start(merged_catalogue(d.dir))
        old = d.active_sched("fd-a")
        d.server_fault("fd-a-b0", cut=[old.id], all=True)
        start = time.time()
        d.wait(lambda: (d.active_sched("fd-a") or old) is not old, 40, "another scheduler")
        job = submit(d, "archive", "pendulum-study", 8, 8, "fd-a")
        wait_running(d, job, 30)
        took = time.time() - start
        new = d.active_sched("fd-a")
    finally:
        d.end()
    ok = took <= BOUND_S and new is not old
    print("scheduler cut off from the backend servers: %s took over from %s, work placed after %.1f s (bound %.0f)  %s"
          % (new.id, old.id, took, BOUND_S, "ok" if ok else "VIOLATED"))
    sys.exit(0 if ok else 1)


if __name__ == "__main__":
    main()
