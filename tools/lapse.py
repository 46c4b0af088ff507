"""A gang that loses a server while no scheduler is there and the platform is away:
the entry VMs alone must let the rest of it lapse, and must go on renewing whole
gangs. The server stays dead, or comes back at once having forgotten everything."""

import sys
import time

import promises
from deployment import Deployment, http
from faults import GANG_WINDOW_S, LEASE_MS, merged_catalogue
from reclaim import submit, wait_running

WATCH_S = GANG_WINDOW_S + 2


def ends(d, job):
    return [a for a in promises.load_acts(d.dir) if a.get("job") == job and a["act"] == "task_end"]


def run(comes_back):
    d = Deployment("run/lapse", servers=17, lease_ms=LEASE_MS)
    try:
        d.start(merged_catalogue(d.dir))
        broken = submit(d, "archive", "pendulum-study", 8, 8, "fd-a")
        whole = submit(d, "archive", "pendulum-study", 8, 1, "fd-a")
        wait_running(d, broken, 10)
        wait_running(d, whole, 10)
        servers = {a["server"] for a in promises.load_acts(d.dir)
                   if a.get("job") == broken and a["act"] == "task_start"}
        shared = {a["server"] for a in promises.load_acts(d.dir)
                  if a.get("job") == whole and a["act"] == "task_start"}
        d.platform_fault(drop=True)
        for vm in d.vms:
            if vm.domain == "fd-a":
                vm.kill("schedd")
        time.sleep(LEASE_MS / 1000 + 1)
        victim = sorted(servers - shared)[0]
        died = time.time()
        d.server_fault(victim, dead=True)
        if comes_back:
            time.sleep(0.3)
            d.server_fault(victim, dead=False)
        while time.time() - died < WATCH_S and len(ends(d, broken)) < len(servers):
            time.sleep(0.2)
        took = time.time() - died
        lapsed = len(ends(d, broken)) == len(servers)
        time.sleep(LEASE_MS / 1000)
        kept = not ends(d, whole)
    finally:
        d.end()
    verdict = "ok" if lapsed and took <= GANG_WINDOW_S and kept else "VIOLATED"
    print("server %-22s rest of the gang lapsed after %5.1f s (bound %.0f), whole gang goes on: %s  %s"
          % ("comes back empty" if comes_back else "stays dead", took, GANG_WINDOW_S, kept, verdict))
    return verdict == "ok"


if __name__ == "__main__":
    results = [run(False), run(True)]
    sys.exit(0 if all(results) else 1)
