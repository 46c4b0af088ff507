"""A small deployment for the scripts of review/11 to review/15: real currantlane-sited processes,
started with the command of the deploy file, beside the project's stand-ins of the platform's store
and of the backend servers. What is sent, answered and run goes into record.txt."""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path.insert(0, os.path.join(ROOT, "tools"))

from site_http import call
from site_servers import Pool
from site_store import Store

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
HOST, KEY, PREFIX = "jobs.example", "key-of-w", "/batch/"
VISIBLE_S = 3.0         # visible_ms
READY_S = 15.0          # until a VM leads and all report ready
CALL_S = 3.0            # a client waits for so long
PLAY_S = 95.0           # a case ends by then
# The file's settings, with the figures that SYSTEM.md names for the small deployments.
SETTINGS = """node = "{name}"
role = "entry"
class = "edge"
serves = ["edge"]
ip = "127.0.0.1"
zone = "{zone}"
region = "r"
port-range = [{peers},{peers}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat-ms = 1500
control-mode = "rpc"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = 260
max-fds = 4100
link-mbps = 1000.0
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
early_ms = 250
finish_s = 14
status_s = 120
[platform]
addr = "127.0.0.1:{store}"
form = "table"
writes-per-s = 800
reads-per-s = 2000
row-bytes = 65536
history-s = 20
"""


def deploy_command():
    """The words of `run` in the deploy file."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as f:
        return re.search(r'^run = "(.*)"$', f.read(), re.M).group(1).split()


def free_port():
    with socket.create_server(("127.0.0.1", 0)) as s:
        return s.getsockname()[1]


class Vm:
    def __init__(self, site, index):
        self.site, self.name, self.zone = site, "edge-%d" % index, "z%d" % (index % 3)
        self.front, self.ready, self.peers, self.metrics = (free_port() for _ in range(4))
        self.process = None

    async def prepare(self):
        self.settings = os.path.join(self.site.dir, self.name + ".toml")
        with open(self.settings, "w") as f:
            f.write(SETTINGS.format(name=self.name, zone=self.zone, peers=self.peers, front=self.front,
                                    ready=self.ready, store=await self.site.store.add_door(self.name)))
        self.start()

    def start(self):
        words = deploy_command()
        words[words.index("--metrics-port") + 1] = str(self.metrics)
        with open(os.path.join(self.site.dir, self.name + ".log"), "ab") as log:
            self.process = subprocess.Popen([os.path.join(ROOT, words[0])] + words[1:], stdout=log, stderr=log, cwd=ROOT,
                                            env={"CURRANTLANE_CONFIG": self.settings, "PATH": os.environ["PATH"]})
        self.site.processes.append(self.process)
        self.site.say("%s started, pid %d" % (self.name, self.process.pid))


class Site:
    """`vms` entry VMs, `servers` backend servers of 64 cores and 8 accelerators, in 3 zones."""

    def __init__(self, folder, vms=3, servers=8, per_rack=8, attempts=3, trouble=True):
        rng = random.Random(3)
        self.trouble, self.attempts = trouble, attempts
        self.started = time.monotonic()
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.dir = tempfile.mkdtemp(prefix="currantlane-review-")
        self.processes = []
        self.store = Store(rng)
        self.pool = Pool(rng, random.Random(4), self.store, servers, per_rack)
        self.vms = [Vm(self, i) for i in range(vms)]
        self.say("TROUBLE=%d" % trouble)

    def say(self, text):
        line = "%8.3f %s" % (time.monotonic() - self.started, text)
        self.record.write(line + "\n")
        self.record.flush()
        print(line, flush=True)

    async def config(self, version):
        route = {"name": "batch", "host": HOST, "prefix": PREFIX, "service": "pool", "type": "unsafe", "timeout-ms": 3000,
                 "priority": 1, "attempts": self.attempts, "stretch-factor": 3.0, "slo-ms": 1000, "public": False}
        text = json.dumps({"version": version, "routes": [route], "services": [{"name": "pool"}], "limits": {},
                           "tenants": [{"name": "w", "api-keys": [KEY], "guaranteed": {"gpu": 16}}]})
        await self.store.put("op", "config", base64.b64encode(text.encode()).decode())

    async def start(self):
        """Returns once a VM leads and all report ready."""
        await self.config(1)
        await self.pool.start()
        for vm in self.vms:
            await vm.prepare()
        end = time.monotonic() + READY_S
        while time.monotonic() < end:
            ready = [await call(vm.ready, "GET", "/-/ready", {}, None, 1.0) for vm in self.vms]
            if all(a and a[0] == 200 for a in ready) and self.leader() and all(s.fence for s in self.pool.servers):
                self.say("all VMs are ready, %s leads" % self.leader().name)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the deployment did not become ready")

    def leader(self):
        value, _ = self.store.rows.get(("lead", "", "scheduler"), (None, 0))
        name = json.loads(base64.b64decode(value))["vm"] if value else ""
        return next((vm for vm in self.vms if vm.name == name), None)

    async def ask(self, vm, method, job_id, document=None, quiet=False):
        headers = {"Host": HOST, "Authorization": "Bearer " + KEY, "Content-Type": "application/json",
                   "X-Currantlane-Timeout-Ms": "3000"}
        answer = await call(vm.front, method, PREFIX + job_id, headers, document, CALL_S)
        if not quiet:
            self.say("client: %s %s%s at %s -> %s" % (method, PREFIX, job_id, vm.name, (answer[0], answer[2]) if answer else None))
        return answer

    def runs(self, job_id):
        return [r for r in self.pool.runs if r.task.startswith(job_id)]

    async def until(self, what, condition, seconds):
        """Waits for the condition; raises when it does not come about."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise RuntimeError("not within %d s: %s" % (seconds, what))
            await asyncio.sleep(0.02)

    def end_processes(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()

    def stop(self):
        self.end_processes()
        for note in self.pool.notes:
            self.record.write("worker: %s\n" % note)
        self.record.close()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            shutil.copytree(self.dir, logs, dirs_exist_ok=True)
        shutil.rmtree(self.dir, ignore_errors=True)


def job(count, ms, gpu, **more):
    """A job of one step, each task of which works for ms."""
    spec = {"ms": ms, "gang": 0, "fail": 0}
    return {"spec": json.dumps(spec), "steps": [dict({"count": count, "cpu": 1000 * gpu, "mem-mb": 1000, "gpu": gpu,
                                                       "estimate-ms": ms}, **more)]}


def main(folder, play, **options):
    """Plays a case and ends the process: 0 when the rule held, 1 when it was broken, 2 when it could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    site = None

    async def run():
        nonlocal site
        site = Site(folder, trouble=trouble, **options)
        try:
            await site.start()
            return await asyncio.wait_for(play(site), PLAY_S)
        finally:
            site.end_processes()
            await asyncio.sleep(0.1)

    try:
        code = asyncio.run(run())
    except Exception as e:
        code = COULD_NOT_RUN
        if site:
            site.say("could not run: %r" % e)
    finally:
        if site:
            site.say("the rule %s" % {HELD: "held", BROKEN: "was broken", COULD_NOT_RUN: "was not tried"}[code])
            site.stop()
    sys.stdout.flush()
    os._exit(code)  # calls to the stand-ins may be under way
