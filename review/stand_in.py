"""A small deployment for the cases: the real entry VMs as processes on loopback, beside stand-ins.

The store, the workers and the HTTP code are those of tools/; what is added here are the settings
of a small deployment (those of vdm-slagwerk), the command of the deploy file, the heartbeats of
the workers, and the record.
"""

import asyncio
import base64
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tools"))

import site_servers  # noqa: E402
import site_store    # noqa: E402
from site_http import Drop, call  # noqa: E402, F401
from soak import end_with_parent, free_ports  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # exit statuses; run.sh exits with 1 for BROKEN, so that no fault of Python does

# of the site vdm-slagwerk
ZONES = ["nl-noord-groningen", "nl-noord-leeuwarden", "nl-noord-assen"]
HEARTBEAT_S = 1.5
ANSWER_S = 0.004
TX_S = 0.008
CONTACT_S = 3.0
CANCEL_S = 3.0
VISIBLE_S = 3.0
STOP_TIMEOUT_S = 0.4
FINISH_S = 14.0
GRACE_S = 6.0
SETTINGS = """node = "{name}"
role = "entry"
class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "nl-noord"
port-range = [{peers},{peers}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
control-mode = "rpc"
[zones]
nl-noord-groningen = "nl-noord"
nl-noord-leeuwarden = "nl-noord"
nl-noord-assen = "nl-noord"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
contact-ms = 3000
ack-ms = 4000
drain-ms = 2000
grace-s = 6
lost-ms = 200
config-ms = 2000
hold-max-ms = 6000
stop-timeout-ms = 400
gang-timeout-ms = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
addr = "127.0.0.1:{store}"
form = "table"
writes-per-s = 800
reads-per-s = 2000
tx-ms = 8.0
part-writes-s = 150
row-bytes = 65536
cross-shard = false
history-s = 20
"""


class Record:
    """What was sent, answered and run; printed as well."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.began = time.monotonic()

    def say(self, text):
        line = "%7.2f  %s" % (time.monotonic() - self.began, text)
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


class Store(site_store.Store):
    """The store of tools/, with the times of the pages.

    A transaction's answer holds "ver", "the newest version" (PROTOCOL.md), as of when it leaves.
    @held_s: by how much an answer takes longer while the store is slow; this time passes
             before the rows of an answer are read, and after those of a transaction are written
    """

    def __init__(self, rng):
        super().__init__(rng)
        self.held_s = 0.0
        site_store.PART_S = TX_S
        site_servers.BEAT_S = HEARTBEAT_S

    async def handle(self, name, method, path, query, headers, document):
        await asyncio.sleep(ANSWER_S + (self.held_s if path != "/-/rows-tx" else 0))
        return await super().handle(name, method, path, query, headers, document)

    async def transaction(self, document):
        status, answer = await super().transaction(document)
        if self.held_s:
            await asyncio.sleep(self.held_s)
            answer["ver"] = self.version
        return status, answer

    def value(self, table, part, key):
        value, version = self.rows.get((table, part, key), (None, 0))
        return (json.loads(base64.b64decode(value)) if value else None), version


class Workers(site_servers.Pool):
    """The workers of tools/, which also write their heartbeats to the store."""

    async def beat(self):
        seq = 1
        while True:
            seq += 1
            for server in list(self.servers):
                if not server.silent:
                    entry = json.dumps(dict(server.entry(), seq=seq))
                    await self.store.put("servers", server.name, base64.b64encode(entry.encode()).decode())
                await asyncio.sleep(HEARTBEAT_S / len(self.servers))


class Vm:
    def __init__(self, site, index):
        self.site, self.name, self.zone = site, "edge-%d" % index, ZONES[index % len(ZONES)]
        self.front, self.ready, self.peers = free_ports(3)
        self.process = None

    async def prepare(self):
        self.settings = os.path.join(self.site.dir, self.name + ".toml")
        store = await self.site.store.add_door(self.name)
        with open(self.settings, "w") as f:
            f.write(SETTINGS.format(name=self.name, zone=self.zone, front=self.front, ready=self.ready,
                                    peers=self.peers, store=store))
        self.start()

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as f:
            command = tomllib.load(f)["roles"]["entry"]["run"].split()
        with open(os.path.join(self.site.dir, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=log, stderr=log, preexec_fn=end_with_parent,
                                            env={"CURRANTLANE_CONFIG": self.settings, "PATH": os.environ["PATH"]})
        self.site.processes.append(self.process)

    async def terminate(self):
        """SIGTERM, and SIGKILL after the grace time."""
        self.process.send_signal(signal.SIGTERM)
        until = time.monotonic() + GRACE_S
        while self.process.poll() is None and time.monotonic() < until:
            await asyncio.sleep(0.05)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Site:
    """@vms, @workers: how many; @queues: name -> priority and attempts"""

    def __init__(self, folder, directory, vms=8, workers=48, per_rack=8, queues=None):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.dir, self.rng = directory, random.Random(1)
        self.store = Store(self.rng)
        self.pool = Workers(self.rng, self.store, workers, per_rack)
        self.vms = [Vm(self, i) for i in range(vms)]
        self.queues = queues or {"batch": (1, 3)}
        self.processes = []
        self.next_id = 0

    async def start(self):
        routes = [{"name": name, "host": "jobs.example", "prefix": "/%s/" % name, "service": "pool", "type": "unsafe",
                   "priority": priority, "attempts": attempts, "stretch-factor": 3.0, "slo-ms": 1000}
                  for name, (priority, attempts) in self.queues.items()]
        text = json.dumps({"version": 1, "routes": routes, "services": [{"name": "pool"}], "limits": {},
                           "tenants": [{"name": "w", "api-keys": ["k"], "guaranteed": {"gpu": 16}}]})
        await self.store.put("op", "config", base64.b64encode(text.encode()).decode())
        await self.pool.start()
        for vm in self.vms:
            await vm.prepare()

    def leader(self):
        """The VM that the store's row names, or None."""
        row, _ = self.store.value("lead", "", "scheduler")
        return next((vm for vm in self.vms if row and vm.name == row["vm"]), None)

    async def wait_for_lead(self, timeout):
        until = time.monotonic() + timeout
        while not self.leader() and time.monotonic() < until:
            await asyncio.sleep(0.1)
        return self.leader()

    def new_job(self, tasks=1, gpu=1, ms=1000, steps=1, queue="batch", **spec):
        self.next_id += 1
        job = {"id": "%016x" % (0x5c0e7a2100000000 + self.next_id), "queue": queue}
        step = {"count": tasks, "cpu": 1000, "mem-mb": 100, "gpu": gpu, "estimate-ms": ms}
        job["document"] = {"spec": json.dumps(dict({"ms": ms, "gang": 0, "fail": 0}, **spec)),
                           "steps": [step] + [dict(step, after=[i]) for i in range(steps - 1)]}
        self.pool.needs[job["id"]] = gpu
        return job

    async def ask(self, method, job, vm, timeout=3.0, path=None):
        headers = {"Host": "jobs.example", "Authorization": "Bearer k", "Content-Type": "application/json",
                   "X-Currantlane-Timeout-Ms": str(int(timeout * 1000))}
        answer = await call(vm.front, method, path or "/%s/%s" % (job["queue"], job["id"]), headers,
                            job["document"] if method == "POST" else None, timeout)
        return (answer[0], answer[2]) if answer else (None, None)

    async def submit(self, job, vm=None):
        """As a client does: again, at another VM, after no answer; True once it was accepted."""
        for _ in range(5):
            at = vm or self.rng.choice(self.vms)
            status, _ = await self.ask("POST", job, at)
            self.record.say("POST %s at %s: %s" % (job["id"], at.name, status))
            if status == 200:
                job["accepted"] = time.monotonic()
                return True
            await asyncio.sleep(0.5)
        return False

    def runs(self, job):
        return [r for r in self.pool.runs if r.task.startswith(job["id"])]

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


def play(folder, case, **site):
    """Runs the case in a temporary folder and exits as a case has to."""
    async def run():
        with tempfile.TemporaryDirectory() as directory:
            deployment = Site(os.path.dirname(os.path.abspath(folder)), directory, **site)
            try:
                await deployment.start()
                return await case(deployment)
            finally:
                deployment.stop()
                keep = os.environ.get("KEEP_LOGS")
                if keep:
                    subprocess.run(["cp", "-r", directory, keep], check=False)

    try:
        code = asyncio.run(run())
    except Exception as fault:
        print("the case could not run: %r" % fault)
        code = COULD_NOT_RUN
    sys.exit(code)
