"""A planned stop under full load cuts off no request: entry daemons get SIGTERM
while callers keep sending, with the platform there and with it away. Callers
choose entry VMs as a balancer does, by /readyz."""

import os
import signal
import sys
import threading
import time

from deployment import Deployment, http
from faults import LEASE_MS, merged_catalogue

SECONDS = 6
CALLERS = 24


class Callers:
    def __init__(self, d):
        self.d = d
        self.ready = list(d.vms)
        self.stop = False
        self.sent = 0
        self.cut = []
        self.lock = threading.Lock()

    def watch(self):
        """What the balancer does: an entry VM that is not ready gets no new request."""
        while not self.stop:
            self.ready = [v for v in self.d.vms if v.is_ready()]
            time.sleep(0.2)

    def call(self, number):
        n = 0
        while not self.stop:
            targets = self.ready
            vm = targets[(number + n) % len(targets)]
            n += 1
            status, body = http("POST", "http://%s/v1/requests" % vm.callers, {
                "workspace": "carillon", "kind": "chime-correction", "deadline_ms": 4000,
                "payload": {"echo": number * 100000 + n, "run_ms": 40}}, timeout=8)
            with self.lock:
                self.sent += 1
                if status == 0 or not isinstance(body, dict) or body.get("outcome") == "unknown":
                    self.cut.append((vm.id, status, body))


def run(is_platform_away):
    d = Deployment("run/stop", servers=17, lease_ms=LEASE_MS)
    codes = []
    try:
        d.start(merged_catalogue(d.dir))
        if is_platform_away:
            d.platform_fault(drop=True)
        callers = Callers(d)
        threads = [threading.Thread(target=callers.watch)]
        threads += [threading.Thread(target=callers.call, args=(i,)) for i in range(CALLERS)]
        for t in threads:
            t.start()
        time.sleep(1.5)
        for vm in (d.vms[0], d.vms[4]):
            vm.entryd.send_signal(signal.SIGTERM)
            time.sleep(0.3)
            vm.entryd.send_signal(signal.SIGTERM)  # a second signal does not cut it short
        codes = [vm.entryd.wait(timeout=30) for vm in (d.vms[0], d.vms[4])]
        d.vms[0].entryd = d.vms[4].entryd = None
        time.sleep(1)
        callers.stop = True
        for t in threads:
            t.join()
    finally:
        d.end()
    where = "away" if is_platform_away else "there"
    print("platform %s: %d requests, %d cut off, exit codes %s" % (where, callers.sent, len(callers.cut), codes))
    for cut in callers.cut[:5]:
        print("    " + str(cut)[:200])
    verdict = "ok" if not callers.cut and codes == [0, 0] and callers.sent > 200 else "VIOLATED"
    print("planned stop cuts off no request (platform %s): %s" % (where, verdict))
    return verdict == "ok"


if __name__ == "__main__":
    results = [run(False), run(True)]
    sys.exit(0 if all(results) else 1)
