"""Randomized fault soak of the users' platform: real currantlane-sited processes, faults from outside.

Signals stop, pause, kill and restart the processes; the stand-ins of the store and of the
backend servers delay, refuse, reset, silence, lose and postpone. Clients go on all the
while. What they and the servers see is checked; one line a promise says how often it was
exercised, and 0 times is a failure. SCENARIOS are fixed sequences of faults that once broke
a promise; seeds that did are in REGRESSIONS."""

import argparse
import asyncio
import base64
import concurrent.futures
import ctypes
import json
import math
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

from site_http import call
from site_servers import CAPACITY, CONTACT_S, EVACUATE_S, LEASE_MAX_MS, Pool, ZONES
from site_store import Store
import soak_evacuation

BUILD = os.environ.get("BUILD", "build")
VMS = 5
SERVERS = 12
PER_RACK = 4
ATTEMPTS = 3            # of the queue
CRASHES_TO_GIVE_UP = 2  # servers that crashed under a task, which may then be given up
CRASHES = 3             # servers that crashed under a task, after which it may start
STARTS_AFTER_CRASHES = 3  # fewer times than this
CANCEL_S = 3.0          # no start so long after a cancellation was acknowledged
STOP_MAX_S = 0.5        # stop-timeout-ms of the platform's deployments, and the time to see it
SETTLE_S = 40.0         # all accepted jobs have ended so long after the last fault
IDLE_FROM_S = 14.0      # after the last fault; from then on no job has nothing running, though it could,
IDLE_MAX_S = 3.0        # for so long
SAMPLE_S = 0.1
PENDING_JOBS = 20
LONG_QUEUE = "long" * 45  # longer than a name in a call between VMs
PENDING_SHOWN_S = 5.5   # visible_ms and 2 s, after which half of them have to be told
RENEWED_MS = 300        # since when a server's lease has been renewed as it is cut off, at most
LATE_HOLD_LEFT_MS = 200  # of the lease, as a late hold comes
LATE_START_S = 9.0      # after it was sent, until a server that is cut off carries it out
ENTRY_MAX_S = 1.4       # until the entry of a server that is back changes
LATE_SHARE = 0.5        # of the orders to servers that start again soon
DOWN_MAX_S = 1.2        # until the first of several servers that went down is back
BACK_TO_START_S = 1.5   # from when a server is back until a task that waits for it starts there
VMS_DOWN_S = 9.0        # longer than any lease granted before
RETURN_S = 5.0          # an election, and what is left of 4 s, a lease of 6 s and its margins
WAIT_FOR_LEASES_S = 13.0  # 4 s in which a leader may renew leases alone, leases of 6 s, and an election
IN_FORCE_S = 2.0        # config-ms of the platform's deployments
FENCES_PER_TERM = 100000  # by so much the term of a leader is higher than that of the one before
LARGE_QUEUES = 4200
TINY_LINK = 2.0e5       # bytes a second, 1.6 Mbit/s; such a document takes longer than 5 s
SMALL_LINK = 1.0e6      # bytes a second, 8 Mbit/s; a document of LARGE_QUEUES takes longer than 1 s
PORTS_FIRST = 20000     # plays side by side must not take each other's
PORT_BLOCKS = 100
PORTS_A_BLOCK = 120
given_ports = set()     # of this play
held_block = []         # socket on the first port of the block, once one is taken
PR_SET_PDEATHSIG = 1    # of <sys/prctl.h>
REGRESSIONS = {         # seed -> what it showed
    1: "a leader conflicted for ever, because an answer named a newer version than its transaction's",
    105: "a start that a restarted server had taken was forgotten and given to another",
    124: "the same",
}


class Job:
    def __init__(self, rng, number):
        self.id = "%016x" % (rng.getrandbits(32) << 32 | number)
        gang = rng.random() < 0.4
        self.steps = 2 if number % 3 == 1 else 1
        self.is_cancelled = number % 8 == 5  # so that short plays cancel too
        self.count = rng.randint(2, 4) if gang else rng.randint(1, 6)
        self.gpu = rng.choice([1, 1, 2, 4, 8]) if not gang else rng.choice([1, 2, 4])
        self.spec = {"ms": rng.choice([300, 600, 1500, 3000]), "gang": self.count if gang else 0,
                     "fail": rng.choice([0, 0, 0, 1, ATTEMPTS] if not gang else [0, 0, 1])}
        self.cpu = 1000
        self.route = rng.choice(["urgent", "batch"])
        self.accepted = self.cancelled = self.refused_only = None
        self.asked_to_cancel = False  # a cancellation without an answer may have been performed
        self.seen = {}

    def document(self):
        step = {"count": self.count, "cpu": self.cpu, "mem-mb": 100, "gpu": self.gpu, "estimate-ms": self.spec["ms"]}
        if self.spec["gang"]:
            step["gang"] = True
        if "image" in self.spec:
            step["image"] = self.spec["image"]
        return {"spec": json.dumps(self.spec), "steps": [step] + [dict(step, after=[0])] * (self.steps - 1)}

    def turn(self, done):
        """Tasks whose turn has come, by the tasks that are done."""
        for step in range(self.steps):
            left = [t for t in ("%s.0.%d.%d" % (self.id, step, i) for i in range(self.count)) if t not in done]
            if left:
                return left
        return []

    def tasks(self):
        return ["%s.0.%d.%d" % (self.id, s, i) for s in range(self.steps) for i in range(self.count)]


def first_port():
    """The first port of a block, which this process holds until its end so that no other play takes the block."""
    for i in range(os.getpid(), os.getpid() + PORT_BLOCKS) if not held_block else ():
        try:
            held_block.append(socket.create_server(("127.0.0.1", PORTS_FIRST + i % PORT_BLOCKS * PORTS_A_BLOCK)))
            break
        except OSError:
            pass
    return held_block[0].getsockname()[1]


def free_ports(count):
    """Ports of this process's own block that nothing listens on; below those that connections get."""
    first = first_port()
    free = []
    for port in range(first + 1, first + PORTS_A_BLOCK):
        if port in given_ports or len(free) == count:
            continue
        try:
            socket.create_server(("127.0.0.1", port)).close()
            free.append(port)
        except OSError:
            pass
    given_ports.update(free)
    return free


def end_with_parent():
    """The process ends when the soak does, however that ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Vm:
    def __init__(self, site, index):
        self.site, self.name = site, "edge-%d" % index
        self.front, self.ready, self.peers = free_ports(3)
        self.process = None
        self.paused = False

    async def prepare(self):
        self.store = await self.site.store.add_door(self.name)
        self.settings = os.path.join(self.site.dir, self.name + ".toml")
        self.resize(1.0)
        self.start()

    def resize(self, cores, link_mbps=1000):
        """Its share of a processor, which decides who leads, and its link, from its next start on."""
        with open(self.settings, "w") as f:
            f.write('node = "%s"\nzone = "z%d"\nip = "127.0.0.1"\nport-range = [%d,%d]\n[listen]\n'
                    'front = "127.0.0.1:%d"\nready = "127.0.0.1:%d"\n[bounds]\nstatus_s = %d\n%s[platform]\naddr = "127.0.0.1:%d"\n'
                    '[limits]\ncpu-share = %s\nlink-mbps = %s\n' % (
                        self.name, int(self.name[-1]) % ZONES, self.peers, self.peers, self.front, self.ready,
                        self.site.status_s, "evacuate-ms = %d\n" % (EVACUATE_S * 1000) if self.site.evacuates else "", self.store, cores, link_mbps))

    def start(self):
        """Start it again, unless another fault has done so already."""
        if self.process and self.process.poll() is None:
            return
        self.metrics = free_ports(1)[0]
        log = open(os.path.join(self.site.dir, self.name + ".log"), "ab")
        self.process = subprocess.Popen([BUILD + "/currantlane-sited", "--metrics-port", str(self.metrics),
                                         "--own-servers", "0" if self.site.by_agents else "128"], stdout=log, stderr=log,
                                        env={"CURRANTLANE_CONFIG": self.settings, "PATH": os.environ["PATH"]},
                                        preexec_fn=end_with_parent)
        log.close()
        self.site.processes.append(self.process)

    def send(self, number):
        if self.process.poll() is None:
            self.process.send_signal(number)


class Site:
    def __init__(self, seed, directory, by_agents):
        self.seed, self.rng = seed, random.Random(seed)
        self.status_s = 120     # rows of ended jobs are kept for so long
        self.evacuates = True   # the settings bound evacuations
        self.by_agents = by_agents  # orders to servers go through other entry VMs
        self.dir = directory
        self.store = Store(self.rng)
        self.pool = Pool(self.rng, random.Random("%d late orders" % seed), self.store, SERVERS, PER_RACK)
        self.vms = [Vm(self, i) for i in range(VMS)]
        self.jobs = []
        self.faults = []
        self.restarts = 0       # of servers, beside the faults
        self.processes = []     # all that were ever started
        self.stops = 0          # planned stops
        self.stopping = False
        self.lies = []          # complete, though not all tasks were done
        self.said_complete = 0
        self.following = []     # of jobs
        self.turned_away = []   # (what, whether it went well), at a VM that the store turned away
        self.expected = []      # (what, whether it was so), of the scenario played
        self.quiet_at = None    # end of the traffic and of the faults
        self.samples = 0        # of jobs that had not ended, since then
        self.idle = {}          # id of a job -> since when nothing runs, though it could
        self.idle_too_long = {}  # id of a job -> (seconds after the end, seconds without a run)
        self.run_on = []        # runs of cancelled jobs that did not stop
        self.idle_limit_s = None  # from when servers were gone until the jobs there run again
        self.gone_at = None     # when servers were gone for good
        self.gangs = set()      # ids of the jobs that ran there
        self.gangs_idle_last = None  # when one of them was last without a run
        self.idle_last = 0.0    # seconds after the end until which some job was so

    async def config(self, version, queues=0):
        """With so many further queues, q0 and on."""
        names = [("urgent", 0), ("batch", 1), (LONG_QUEUE, 1)] + [("q%d" % i, 1) for i in range(queues)]
        routes = [{"name": name, "host": "jobs.example", "prefix": "/%s/" % name, "service": "pool", "type": "unsafe",
                   "priority": priority, "attempts": ATTEMPTS, "stretch-factor": 3.0, "slo-ms": 1000}
                  for name, priority in names]
        text = json.dumps({"version": version, "routes": routes, "services": [{"name": "pool"}], "limits": {},
                           "tenants": [{"name": "w", "api-keys": ["k"], "guaranteed": {"gpu": 16}}]})
        await self.store.put("op", "config", base64.b64encode(text.encode()).decode())

    async def start(self):
        await self.config(1)
        await self.pool.start()
        for vm in self.vms:
            await vm.prepare()

    def leader(self):
        value, _ = self.store.rows.get(("lead", "", "scheduler"), (None, 0))
        name = json.loads(base64.b64decode(value))["vm"] if value else ""
        return next((vm for vm in self.vms if vm.name == name), self.vms[0])

    def stored_state(self, job):
        """State in the job's row, None without a row."""
        values = [value for (table, _, key), (value, _) in self.store.rows.items() if (table, key) == ("jobs", job.id)]
        return json.loads(base64.b64decode(values[0]))["state"] if values else None

    async def ask(self, method, job, path=None, timeout=3.0, vm=None):
        vm = vm or self.rng.choice(self.vms)
        headers = {"Host": "jobs.example", "Authorization": "Bearer k", "Content-Type": "application/json"}
        return await call(vm.front, method, path or "/%s/%s" % (job.route, job.id), headers,
                          job.document() if method == "POST" else None, timeout)

    # ---- clients ----

    async def submit(self, job):
        answers = []
        for _ in range(5):
            answer = await self.ask("POST", job)
            answers.append(answer[0] if answer else None)
            if answer and answer[0] == 200:
                job.accepted = time.monotonic()
                return
            if job.is_cancelled and not (answer and answer[0] in (429, 503)):
                await self.give_up(job)
                return
            await asyncio.sleep(0.5)
        job.refused_only = all(a in (429, 503) for a in answers)

    def add_job(self):
        job = Job(self.rng, len(self.jobs))
        self.jobs.append(job)
        self.pool.needs[job.id] = job.gpu
        return job

    async def submit_and_watch(self, job):
        await self.submit(job)
        await self.watch(job)

    async def cancel(self, job, vm=None):
        """A 410 acknowledges it as well: the job never runs."""
        job.asked_to_cancel = True
        answer = await self.ask("DELETE", job, vm=vm)
        if answer and answer[0] in (200, 410):
            job.cancelled = time.monotonic()
        if answer and answer[0] == 410 and job.accepted:
            job.seen["unknown"] = time.monotonic()
        return answer[0] if answer else None

    async def give_up(self, job):
        """A submission without an answer, which may be stored later; it is cancelled at any VM."""
        for _ in range(10):
            await self.cancel(job)
            if job.cancelled:
                return
            await asyncio.sleep(0.3)

    async def watch(self, job):
        if job.accepted and job.is_cancelled:
            await asyncio.sleep(self.rng.uniform(0, 2))
            await self.cancel(job)
        while job.accepted and not job.cancelled:
            await asyncio.sleep(0.3)
            answer = await self.ask("GET", job)
            if answer and answer[0] == 200:
                self.told(job, answer[2]["state"])
            elif answer and answer[0] == 410:
                job.seen["unknown"] = time.monotonic()
            if job.seen.keys() & self.ends_of(job):
                return

    @staticmethod
    def ends_of(job):
        return {"complete", "failed", "cancelled"} if job.asked_to_cancel else {"complete", "failed"}

    def told(self, job, state):
        job.seen.setdefault(state, time.monotonic())
        if state != "complete":
            return
        self.said_complete += 1
        done = {r.task for r in self.pool.runs if r.how == "done"}
        missing = [t for t in job.tasks() if t not in done]
        if missing:
            self.lies.append((job.id, missing))

    async def clients(self, per_second):
        while not self.stopping:
            self.following.append(asyncio.ensure_future(self.submit_and_watch(self.add_job())))
            await asyncio.sleep(self.rng.expovariate(per_second))
        await asyncio.wait(self.following, timeout=SETTLE_S)
        for task in self.following:
            task.cancel()

    # ---- jobs that have nothing running, though they could ----

    def has_room_twice(self, job, tasks):
        """Room for twice the waiting tasks, while less than half of the pool is in use."""
        live = [s for s in self.pool.live() if not self.pool.is_evacuated(s)]
        used = [self.pool.in_use(s) for s in live]
        slots = sum(max(s.capacity["gpu"] - u, 0) // job.gpu for s, u in zip(live, used))
        return sum(used) * 2 < sum(s.capacity["gpu"] for s in live) and slots >= 2 * tasks

    def idle_jobs(self):
        done = {r.task for r in self.pool.runs if r.how == "done"}
        running = {r.task[:16] for s in self.pool.live() for r in s.runs.values()}
        for job in self.jobs:
            if not job.accepted or job.asked_to_cancel or job.seen.keys() & self.ends_of(job):
                continue
            waiting = job.turn(done)
            if not waiting or self.has_used_up_attempts(job):
                continue
            self.samples += 1
            if job.id not in running and self.has_room_twice(job, len(waiting)):
                yield job

    def has_used_up_attempts(self, job):
        failed = {(r.attempt, "" if job.spec["gang"] else r.task) for r in self.pool.runs
                  if r.task[:16] == job.id and r.how == "failed"}
        return any(len([1 for _, task in failed if task == t]) >= ATTEMPTS for _, t in failed)

    def end_of_faults(self):
        """And of the traffic; planned stops may follow."""
        self.stopping, self.quiet_at = True, self.quiet_at or time.monotonic()

    def idle_since_gone(self):
        return self.gangs_idle_last - self.gone_at if self.gangs_idle_last else 0.0

    async def sample(self):
        while True:
            await asyncio.sleep(SAMPLE_S)
            if not self.quiet_at:
                continue
            now = time.monotonic()
            idle = {job.id for job in self.idle_jobs()}
            self.idle = {i: self.idle.get(i, now) for i in idle}
            self.gangs_idle_last = now if idle & self.gangs else self.gangs_idle_last
            if idle:
                self.idle_last = now - self.quiet_at
            for i, since in self.idle.items():
                if now - max(since, self.quiet_at + IDLE_FROM_S) > IDLE_MAX_S:
                    self.idle_too_long[i] = (round(now - self.quiet_at, 1), round(now - since, 1))

    def runs_of_cancelled(self):
        """Those that go on, on servers that can be reached."""
        cancelled = {job.id for job in self.jobs if job.cancelled}
        return ["%s on %s" % (r.task, s.name) for s in self.pool.live() for r in s.runs.values() if r.task[:16] in cancelled]

    async def cancelled_jobs_stop(self):
        """Waits for it, for as long as it may take after the last fault and the last cancellation."""
        last = max([self.quiet_at] + [job.cancelled for job in self.jobs if job.cancelled])
        while self.runs_of_cancelled() and time.monotonic() < last + CONTACT_S + CANCEL_S + STOP_MAX_S:
            await asyncio.sleep(SAMPLE_S)
        self.run_on = self.runs_of_cancelled()

    # ---- faults ----

    def victim(self):
        return self.leader() if self.rng.random() < 0.5 else self.rng.choice(self.vms)

    async def kill(self, vm=None):
        if vm:
            self.faults.append("kill")
        vm = vm or self.victim()
        vm.send(signal.SIGKILL)
        vm.process.wait()
        await asyncio.sleep(self.rng.uniform(0.1, 1.5))
        vm.start()

    async def terminate(self, vm=None):
        vm = vm or self.victim()
        process = vm.process  # another fault may start the next one meanwhile
        vm.send(signal.SIGTERM)
        self.stops += 1
        for _ in range(70):
            await asyncio.sleep(0.1)
            if process.poll() is not None:
                break
        else:
            self.faults.append("not stopped in 7 s: " + vm.name)
            process.kill()
            process.wait()
        vm.start()

    async def pause(self):
        vm = self.victim()
        vm.send(signal.SIGSTOP)
        await asyncio.sleep(self.rng.uniform(0.5, 4))
        vm.send(signal.SIGCONT)

    async def kill_all(self):
        for vm in self.vms:
            vm.send(signal.SIGKILL)
            vm.process.wait()
        await asyncio.sleep(1)
        for vm in self.vms:
            vm.start()

    async def store_mode(self, mode=None, seconds=None):
        self.store.mode = mode or self.rng.choice(["busy", "silent", "reset"])
        await asyncio.sleep(seconds or self.rng.uniform(0.5, 5))
        self.store.mode = "up"

    async def store_slow(self):
        self.store.slow = self.rng.choice([20, 60])
        await asyncio.sleep(self.rng.uniform(1, 4))
        self.store.slow = 1

    async def store_loses(self):
        self.store.lose, self.store.late = 0.3, 0.1
        await asyncio.sleep(self.rng.uniform(1, 4))
        self.store.lose = self.store.late = 0.0

    async def history(self):
        self.store.forget_history()

    async def vm_cut(self, vm=None, seconds=None):
        door = self.store.doors[(vm or self.victim()).name]
        door.mode = self.rng.choice(["busy", "silent", "reset"])
        await asyncio.sleep(seconds or self.rng.uniform(1, 5))
        door.mode = "up"

    async def server_silent(self):
        server = self.rng.choice(self.pool.servers)
        server.silent = True
        server.http.reset_connections()
        await asyncio.sleep(self.rng.uniform(0.5, 9))
        server.silent = False

    async def server_crash(self):
        server = self.rng.choice(self.pool.servers)
        server.http.reset_connections()
        server.reborn()

    async def server_orders(self):
        for server in self.rng.sample(self.pool.servers, 4):
            server.late, server.lose = 0.1, 0.2
        await asyncio.sleep(self.rng.uniform(1, 4))
        for server in self.pool.servers:
            server.late = server.lose = 0.0

    async def server_hangs(self):
        server = self.rng.choice(self.pool.servers)
        server.hang = True
        await asyncio.sleep(self.rng.uniform(3, 8))
        server.hang = False

    async def server_drains(self):
        server = self.rng.choice(self.pool.servers)
        server.draining = True
        await asyncio.sleep(4)
        await self.server_crash_of(server)

    async def server_crash_of(self, server):
        server.http.reset_connections()
        server.reborn()
        server.draining = False

    async def silent_connections(self):
        """Open connections end without a word; new ones work."""
        for door in self.store.doors.values():
            for writer in list(door.writers):
                writer.transport.pause_reading()

    async def servers_start_again(self, seconds, rng):
        """One or two at a time, under their ids, while orders to their former lives are still to be carried out."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            servers = rng.sample(self.pool.servers, rng.randint(1, 2))
            for server in servers:
                server.late = server.late_holds = LATE_SHARE
            await asyncio.sleep(rng.uniform(0.3, 1.5))
            for server in servers:
                server.late = server.late_holds = 0.0
            await asyncio.sleep(rng.uniform(0.2, 4))
            down, entry = rng.uniform(0.05, 0.6), rng.uniform(0, ENTRY_MAX_S)
            up = [server for server in servers if not server.is_down and not server.draining]
            self.restarts += len(up)
            await asyncio.gather(*[server.start_again(down, entry) for server in up])

    async def chaos(self, seconds):
        kinds = [self.kill, self.kill, self.terminate, self.pause, self.kill_all, self.store_mode, self.store_slow,
                 self.store_loses, self.history, self.vm_cut, self.server_silent, self.server_crash,
                 self.server_orders, self.server_hangs, self.server_drains, self.silent_connections]
        running = [asyncio.ensure_future(self.servers_start_again(seconds, random.Random("%d restarts" % self.seed))),
                   asyncio.ensure_future(soak_evacuation.evacuations(self, seconds, random.Random("%d evacuations" % self.seed)))]
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            kind = self.rng.choice(kinds)
            self.faults.append(kind.__name__)
            running.append(asyncio.ensure_future(kind()))
            if self.rng.random() < 0.6:
                await asyncio.sleep(self.rng.uniform(0.3, 3))
        await asyncio.gather(*running)

    # ---- checks ----

    def events(self, name):
        """Log lines of one kind, of all VMs; a line that a kill cut short is passed over."""
        for vm in self.vms:
            with open(os.path.join(self.dir, vm.name + ".log")) as log:
                for line in log:
                    if '"event":"%s"' % name in line and line.endswith("}\n"):
                        yield json.loads(line)

    def check(self):
        """Rows of (promise, times exercised, violations)."""
        runs, jobs = self.pool.runs, {j.id: j for j in self.jobs}
        accepted = [j for j in self.jobs if j.accepted]
        by_task = {}
        for run in runs:
            by_task.setdefault(run.task, []).append(run)
        at_once = [(a, b) for list_ in by_task.values() for a in list_ for b in list_
                   if a is not b and a.began <= b.began and (a.ended is None or b.began < a.ended)]
        again = [(a.task, a.attempt, b.attempt) for a, b in at_once if not a.is_stray and not b.is_stray]
        after_end = [r for r in runs if r.began > self.pool.done_noted.get(r.task, float("inf"))]
        after_done = [r.task for r in after_end if not r.is_stray]
        failed = {}
        for run in runs:
            if run.how == "failed" and (run.task, run.attempt) in self.pool.failed_noted:
                failed.setdefault(run.task, []).append(run.ended)
        beyond = [r for r in runs if len([e for e in failed.get(r.task, []) if e < r.began]) >= ATTEMPTS]
        budget = [r.task for r in beyond if not r.is_stray]
        late = [r.task for r in runs if jobs[r.task[:16]].cancelled and not r.is_before_poll
                and r.began > jobs[r.task[:16]].cancelled + CANCEL_S]
        strays = ["%s twice at once" % a.task for a, b in at_once if a.is_stray or b.is_stray]
        strays += ["%s after its end" % r.task for r in after_end if r.is_stray]
        strays += ["%s beyond its attempts" % r.task for r in beyond if r.is_stray]
        strays += ["%s on a full server" % task for task, _, _ in self.pool.strays_over_capacity]
        done_at = {r.task: r.ended for r in runs if r.how == "done"}
        order = [r.task for r in runs if r.task.split(".")[2] == "1" and not all(
            done_at.get("%s.0.0.%d" % (r.task[:16], i), float("inf")) <= r.began
            for i in range(jobs[r.task[:16]].count))]
        refused = [j for j in self.jobs if j.refused_only]
        refused_ran = [j.id for j in refused if any(t in by_task for t in j.tasks())]
        unfinished = [(j.id, list(j.seen)) for j in accepted if not j.cancelled
                      and not j.seen.keys() & self.ends_of(j)]
        crashed = {}
        for run in runs:
            if run.how == "crashed" and jobs[run.task[:16]].spec.get("deadly", 0) > int(run.task.rsplit(".", 1)[1]):
                crashed.setdefault(run.task, []).append(run.ended)
        deadly = [(t, len(ends)) for t, ends in crashed.items() if len(ends) >= CRASHES
                  and sum(r.began > sorted(ends)[CRASHES - 1] for r in by_task[t]) >= STARTS_AFTER_CRASHES]
        wrongly = [j.id for j in accepted if "failed" in j.seen and j.spec["fail"] < ATTEMPTS
                   and all(sum(r.how == "crashed" for r in by_task.get(t, [])) < CRASHES_TO_GIVE_UP for t in j.tasks())
                   and all(sum(r.how == "failed" for r in by_task.get(t, [])) < ATTEMPTS for t in j.tasks())]
        wins = list(self.events("lead_won"))
        wrong_terms = [w for w in wins if w["term"] != self.store.leads.get(w["row_version"], {}).get("term")]
        value, _ = self.store.rows.get(("lead", "", "scheduler"), (None, 0))
        terms = json.loads(base64.b64decode(value))["term"] // FENCES_PER_TERM if value else 0
        return [("one run of a task at a time", len(runs), again),
                ("no start after an end as done was acknowledged", len(self.pool.done_noted), after_done),
                ("no start beyond the attempts", len(failed), budget),
                ("few starts after three servers have crashed", len(crashed) or 1, deadly),
                ("no start on a full server", len(runs), self.pool.starts_over_capacity),
                ("late calls before a server's first poll break nothing", sum(r.is_stray for r in runs) or 1, strays),
                ("no start before the steps it follows", sum(j.steps > 1 for j in accepted), order),
                ("no start after a cancellation", sum(bool(j.cancelled) for j in self.jobs), late),
                ("a cancelled job stops", sum(bool(j.cancelled) for j in self.jobs), self.run_on),
                ("no start in an evacuated failure domain", len(self.pool.evacuations) or 1, self.pool.starts_in_evacuated()),
                ("a refused job never runs", len(refused) or 1, refused_ran),
                ("an accepted job ends", len(accepted), unfinished),
                ("no job has nothing running while there is room", self.samples or 1,
                 ["%s for %.1f s, %.1f s after the last fault" % (i, for_s, at)
                  for i, (at, for_s) in self.idle_too_long.items()]),
                ("jobs of servers that are gone run again in time", 1, ["%.1f s" % self.idle_since_gone()]
                 if self.idle_limit_s and self.idle_since_gone() > self.idle_limit_s else []),
                ("an accepted job is never unknown", len(accepted), [j.id for j in accepted if "unknown" in j.seen]),
                ("complete means that all is done", self.said_complete, self.lies),
                ("failed means that the attempts are used up", len(accepted), wrongly),
                ("the lead changes hands only for a cause", terms,
                 [terms] if terms > 2 * len(self.faults) + 3 else []),
                ("a leader's term is that of its row", len(wins), wrong_terms),
                ("a VM that the store turns away serves by its peers", len(self.turned_away) or 1,
                 [what for what, went_well in self.turned_away if not went_well]),
                ("what the scenario expects", len(self.expected) or 1, [what for what, was_so in self.expected if not was_so]),
                ("every process stops in its grace time", self.stops or 1, [f for f in self.faults if f.startswith("not ")])]

    def stop(self):
        for process in self.processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                process.wait()


# ---- fixed sequences; each broke a promise once ----

async def end_while_store_is_away(site):
    """Ends of a gang that could not be stored were acknowledged; the next leader ran it again."""
    for _ in range(3):
        outage = asyncio.ensure_future(site.store_mode("busy", 5))
        await asyncio.sleep(4.5)
        await site.kill(site.leader())
        await outage
        await asyncio.sleep(2)


async def claims_are_refused(site):
    """The store refuses what a new leader writes; it must not be pressed while it does."""
    site.store.refused_parts = ["p%d" % i for i in range(32)]
    site.leader().send(signal.SIGKILL)
    await asyncio.sleep(3)
    before = site.store.calls
    await asyncio.sleep(3)
    rate = (site.store.calls - before) / 3
    site.store.refused_parts = ()
    site.expected.append(("under 800 store calls a second, %.0f were" % rate, rate < 800))
    await asyncio.sleep(3)


async def history_is_lost(site):
    """After a lost history the lead was not confirmed any more, and all looks ended 10 s later."""
    site.store.forget_history()
    await asyncio.sleep(16)


async def old_transaction_comes_late(site):
    """A leader that was cut off placed work by a transaction that the store performed after the next took over."""
    site.store.late = 0.5
    await site.vm_cut(site.leader(), 3)
    site.store.late = 0.0
    await site.kill(site.leader())


async def leaders_die_in_turn(site):
    """VMs that saw an old leader gone replaced the one that had just won, for ever."""
    for _ in range(5):
        await site.kill(site.leader())
        await asyncio.sleep(1.5)
    known = len({e["term"] for e in site.events("former_leases")})
    site.expected.append(("of 5 next leaders %d know when the leases of the former one are over" % known, known >= 4))


async def handover_with_a_slow_store(site):
    """Kolkhi's incident d21e: the winner was replaced before it knew that it had won, nine times."""
    site.store.slow = 60
    site.faults.append("terminate")
    site.leader().send(signal.SIGTERM)
    await asyncio.sleep(6)
    site.store.slow = 1


async def leader_leaves_while_the_store_is_slow(site):
    """It took the version in the answer to its transaction for its row's; all VMs contended with that, for ever."""
    site.store.names_newest = True
    for _ in range(2):
        leader, began = site.leader(), time.time() * 1e6
        site.faults += ["slow store", "terminate"]
        site.store.slow = 60
        leader.send(signal.SIGTERM)
        await asyncio.sleep(5)
        site.store.slow = 1
        await asyncio.sleep(2)
        expect_lead(site, began)
        leader.start()
        await asyncio.sleep(1)


def expect_lead(site, since):
    """The row names a VM, which has won after a moment, in microseconds of the time of day, and knows it."""
    value, _ = site.store.rows["lead", "", "scheduler"]
    row = json.loads(base64.b64decode(value))
    knows = any((e["vm"], e["term"]) == (row["vm"], row["term"]) and e["time_us"] > since for e in site.events("lead_won"))
    site.expected.append(("a VM leads; the row names '%s' in term %d" % (row["vm"], row["term"]), knows))


def rpc_call(rng, proc, body):
    """Record of a call to a procedure of the entry VMs' program."""
    words = [rng.getrandbits(32), 0, 2, 0x20004c03, 1, proc, 0, 0, 0, 0]
    data = b"".join(w.to_bytes(4, "big") for w in words) + body
    return (len(data) | 0x80000000).to_bytes(4, "big") + data


async def peer_names_a_version_that_never_was(site):
    """As a VM of an earlier version may; each row of the store was then older, so that nobody could be elected."""
    vacant = 5  # procedure by which a leader hands over
    empty = (0).to_bytes(4, "big")
    for _ in range(2):
        leader, began = site.leader(), time.time() * 1e6
        site.faults += ["wrong version", "kill"]
        body = empty * 3 + (1).to_bytes(8, "big") + (site.store.version + 100000).to_bytes(8, "big")
        for vm in site.vms:
            _, writer = await asyncio.open_connection("127.0.0.1", vm.peers)
            writer.write(rpc_call(site.rng, vacant, body))
            await asyncio.sleep(0.1)
            writer.close()
        leader.send(signal.SIGKILL)
        await asyncio.sleep(4)
        expect_lead(site, began)
        leader.start()
        await asyncio.sleep(1)


async def cancelled_while_the_store_is_slow(site):
    """The leader took the version in the answer to its transaction for its row's, and the cancelled row for an older one."""
    await asyncio.sleep(3)
    site.stopping = True
    await pool_is_idle(site)
    fill = await submit_waiting(site, SERVERS, 3000)
    site.following.append(asyncio.ensure_future(site.watch(fill)))
    while len(runs_of(site, fill)) < SERVERS:
        await asyncio.sleep(0.01)
    turn = min(run.began for run in runs_of(site, fill)) + 3.0
    jobs = [await submit_waiting(site, 1, 60000) for _ in range(SERVERS)]
    site.faults.append("slow answers of the store")
    await asyncio.sleep(turn - 1 - time.monotonic())
    site.store.names_newest, site.store.reads_late, site.store.answers_late = True, 0.5, 0.25
    await asyncio.sleep(turn - site.store.reads_late - time.monotonic())
    for job in jobs:  # the row is read after the leader has stored that the job runs, and before it knows so
        await asyncio.sleep(0.02)
        site.following.append(asyncio.ensure_future(site.cancel(job)))
    await asyncio.sleep(2)
    site.store.reads_late = site.store.answers_late = 0.0
    cancelled = sum(bool(job.cancelled) for job in jobs)
    site.expected.append(("all cancellations are acknowledged, %d were" % cancelled, cancelled == len(jobs)))


async def cancelled_before_its_late_submission(site):
    """A cancel was answered 410 while a transaction of the submission was on its way; the job ran seconds later."""
    site.faults += ["late store", "kill"]
    jobs, first, second = [site.add_job() for _ in range(8)], site.vms[0], site.vms[1]
    for job in jobs:
        job.count, job.steps, job.gpu, job.is_cancelled, job.route = 1, 1, 0, False, "urgent"
        job.spec, site.pool.needs[job.id] = {"ms": 20000, "gang": 0, "fail": 0}, 0
    site.store.late = 1.0
    answers = await asyncio.gather(*[site.ask("POST", job, vm=first, timeout=0.6) for job in jobs])
    site.store.late = 0.0
    site.expected.append(("no submission has an answer, %s" % answers, not any(answers)))
    told = [await site.cancel(job, second) for job in jobs]
    site.expected.append(("jobs are cancelled before they are stored, %s" % told, 410 in told))
    never = site.add_job()
    answers = [await site.ask(method, never) for method in ("DELETE", "GET", "DELETE")]
    answers = [answer and answer[0] for answer in answers]
    site.expected.append(("a job that nobody handed in is not shown, %s" % answers, answers == [410] * 3))
    await site.kill(site.leader())
    await asyncio.sleep(4)
    again = [await site.ask("POST", job) for job in jobs]
    site.expected.append(("one sent again is known, %s" % again, all(a and a[0] == 200 for a in again)))
    await asyncio.sleep(1)
    states = [answer[2] for answer in [await site.ask("GET", job) for job in jobs] if answer]
    site.expected.append(("and cancelled, %s" % states, states == [{"state": "cancelled"}] * len(jobs)))
    unstored = {task for job, answer in zip(jobs, told) if answer == 410 for task in job.tasks()}
    started = unstored & {run.task for run in site.pool.runs}
    site.expected.append(("none starts that was answered 410, %s did" % started, not started))


async def unknown_ids_are_cancelled(site):
    """Each leaves a row, so that the leader's memory and the store grow if they are not removed as fast."""
    rows, count = [], 1000
    ids = ["%016x" % (0xabc << 48 | i) for i in range(count)]

    def left():
        return len([key for table, _, key in site.store.rows if table == "jobs" and key in ids])
    for i in range(0, count, 20):
        await asyncio.gather(*[site.ask("DELETE", None, "/batch/" + name) for name in ids[i:i + 20]])
    rows.append(left())
    for _ in range(50):
        await asyncio.sleep(1)
        if not left():
            break
    rows.append(left())
    site.expected.append(("a row for each id, then none: %s" % rows, rows == [count, 0]))


async def servers_restart_with_a_start_in_flight(site):
    """The new incarnation ran the task and fell silent; nobody waited for its lease, as it had never answered."""
    servers = site.pool.servers[::2]
    for server in servers:
        server.restarts_at_start = True
    site.faults += ["server crash"] * len(servers)
    for _ in range(60):
        await asyncio.sleep(0.1)
        if all(server.silent for server in servers):
            break
    site.expected.append(("servers restart as they start a task", any(server.silent for server in servers)))
    await asyncio.sleep(4)
    for server in servers:
        server.restarts_at_start = server.silent = False


async def until(condition, seconds):
    for _ in range(int(seconds / SAMPLE_S)):
        if condition():
            return True
        await asyncio.sleep(SAMPLE_S)
    return False


async def fail_one(site):
    """So that a scenario with few jobs asks for the promise on attempts too."""
    job = site.add_job()
    job.count, job.steps, job.gpu, job.is_cancelled = 1, 1, 0, False
    job.spec, site.pool.needs[job.id] = {"ms": 300, "gang": 0, "fail": 1}, 0
    await site.submit(job)
    site.following.append(asyncio.ensure_future(site.watch(job)))


async def servers_start_again_before_a_start(site):
    """A restarted server took a start before its entry changed; that run was forgotten, and the task ran elsewhere too."""
    await fail_one(site)
    site.stopping, watched = True, []
    await pool_is_idle(site)
    for change in (None, None, site.kill, site.terminate):
        servers = site.rng.sample(site.pool.servers, 2)
        down, entry = site.rng.uniform(0.1, 1.2), site.rng.uniform(0.4, 1.45)
        site.faults += ["server crash"] * 2
        await asyncio.gather(*[server.start_again(down, entry) for server in servers])
        job = await submit_waiting(site, SERVERS - 1, 2500)
        watched.append(asyncio.ensure_future(site.watch(job)))
        if change:
            await asyncio.sleep(site.rng.uniform(0.1, 0.6))
            await change(site.leader())
        ended = await until(lambda: done_tasks(site, job) == set(job.tasks()), 15)
        site.expected.append(("a job ends although servers start again under their ids", ended))
        runs = [r for r in site.pool.runs if r.task[:16] == job.id]
        site.expected.append(("%d tasks run once each, in %d runs" % (job.count, len(runs)), len(runs) == job.count))
        await asyncio.sleep(1.5)
    await asyncio.wait(watched, timeout=SETTLE_S)


async def servers_start_again_and_are_lost(site):
    """A lease counted by the clock of a server's former life, so that its task waited for as long as that had lasted."""
    await fail_one(site)
    site.stopping, watched, left, lost_with_task = True, [], list(site.pool.servers[1::2]), 0
    await pool_is_idle(site)
    for change, runs_on in ((None, False), (None, True), (site.kill, True), (site.terminate, False)):
        server = left.pop(site.rng.randrange(len(left)))
        site.faults += ["server crash", "server lost"]
        await server.start_again(site.rng.uniform(0.1, 1.2), float("inf"))
        job = await submit_waiting(site, len(site.pool.live()), 2500)
        watched.append(asyncio.ensure_future(site.watch(job)))
        await until(lambda: server.runs, 1)
        await asyncio.sleep(site.rng.uniform(0.0, 1.3))
        lost_with_task += bool(server.runs)
        lost = asyncio.ensure_future(server.leave_for_good(True, runs_on))
        if change:
            await change(site.leader())
        ended = await until(lambda: "complete" in job.seen, IDLE_FROM_S + IDLE_MAX_S + 2.5)
        site.expected.append(("a task of a server that started again and was lost runs again in time", ended))
        await lost
    site.expected.append(("servers are lost with a task, %d were" % lost_with_task, lost_with_task))
    await asyncio.wait(watched, timeout=SETTLE_S)


async def begin_with_copies(site, count, ms, fail):
    """A job; each of its servers keeps the first sending of the start, unanswered, and takes the second one."""
    for server in site.pool.servers:
        server.keeps, server.kept = ["/-/run-start"], []
    job = await submit_waiting(site, count, ms, fail)
    await until(lambda: len({r.task for r in site.pool.runs if r.task[:16] == job.id}) == count, 5)
    for server in site.pool.servers:
        server.keeps = []
    return job, [server for server in site.pool.servers if server.kept]


async def start_again_polled(site, servers, fence):
    """Under their ids, with new entries at once; whether each has been polled since, with a fence above that."""
    site.faults += ["server crash"] * len(servers)
    await asyncio.gather(*[server.start_again(site.rng.uniform(0.1, 0.4), 0) for server in servers])
    await asyncio.gather(*[server.announce() for server in servers])
    return await until(lambda: all(server.is_polled and server.fence > fence for server in servers), 8)


async def copies_reach_a_later_life(site, restarts, change=None):
    """Of starts of tasks that were done in the former life, then of tasks that failed there and run elsewhere."""
    await fail_one(site)
    site.stopping = True
    await pool_is_idle(site)
    if change:  # this leader has polled two lives of each server before it sends the starts, the next leader none
        for _ in range(2):
            polled = await start_again_polled(site, site.pool.servers, 0)
            site.expected.append(("servers that started again are polled", polled))
        await asyncio.sleep(2)
    for is_done in (True, False):
        job, servers = await begin_with_copies(site, 3, 300 if is_done else 12000, 0 if is_done else 1)
        watch = asyncio.ensure_future(site.watch(job))
        if is_done:
            over = await until(lambda: all(task in site.pool.done_noted for task in job.tasks()), 5)
        else:
            for run in runs_of(site, job):
                run.server.end(run, "failed")
            over = await until(lambda: len([r for r in runs_of(site, job) if r.attempt == 2]) == job.count, 5)
        site.expected.append(("%d servers keep copies of starts that are over" % len(servers), over and servers))
        fence = max(args[2]["fence"] for server in servers for args in server.kept) if change else 0
        changing = asyncio.ensure_future(change(site.leader())) if change else None
        for _ in range(restarts):
            polled = await start_again_polled(site, servers, fence)
            site.expected.append(("servers that started again are polled before the copies come%s" % (
                ", with a higher fence" if change else ""), polled))
        await asyncio.sleep(site.rng.uniform(0.3, 1.0))
        before = len(site.pool.runs)
        for server in servers:
            server.carry_out_kept()
        began = ["%s attempt %d" % (r.task, r.attempt) for r in site.pool.runs[before:]]
        site.expected.append(("no copy of a former life's start begins a run, %s did" % began, not began))
        await asyncio.wait([watch] + ([changing] if change else []), timeout=SETTLE_S)


async def late_start_reaches_the_next_life(site):
    """A copy of a start whose task was done, or ran elsewhere, began a run on a server that had started again."""
    await copies_reach_a_later_life(site, 1)


async def late_start_reaches_the_life_after_the_next(site):
    """The same, with a second restart before the copy came."""
    await copies_reach_a_later_life(site, 2)


async def late_start_of_a_dead_leader_reaches_the_next_life(site):
    """The same, where the next leader had polled the server since."""
    await copies_reach_a_later_life(site, 1, site.kill)


async def late_start_of_a_leader_that_left_reaches_the_next_life(site):
    """The same, after a hand-over."""
    await copies_reach_a_later_life(site, 1, site.terminate)


async def late_start_reaches_a_life_not_yet_polled(site):
    """The same, before the entry of the new life came; nothing tells the copy from a start that is in time."""
    await fail_one(site)
    site.stopping = True
    await pool_is_idle(site)
    job, servers = await begin_with_copies(site, 3, 300, 0)
    await site.watch(job)
    await until(lambda: all(task in site.pool.done_noted for task in job.tasks()), 5)
    site.faults += ["server crash"] * len(servers)
    await asyncio.gather(*[server.start_again(0.2, ENTRY_MAX_S) for server in servers])
    before = len(site.pool.runs)
    for server in servers:
        server.carry_out_kept()
    began = site.pool.runs[before:]
    site.expected.append(("copies begin %d runs" % len(began), began and all(run.is_stray for run in began)))
    await until(lambda: all(run.ended for run in began), 5)


async def late_start_reaches_a_life_that_may_have_it(site):
    """Copies came before the first poll of the new life, and the tasks had been given to other servers meanwhile."""
    await fail_one(site)
    site.stopping = True
    await pool_is_idle(site)
    job, servers = await begin_with_copies(site, 3, 6000, 0)
    watch = asyncio.ensure_future(site.watch(job))
    site.faults += ["server crash"] * len(servers)
    await asyncio.gather(*[server.start_again(0.2, 1.0) for server in servers])
    for server in servers:
        server.carry_out_kept()
    runs = [r for r in site.pool.runs if r.task[:16] == job.id]
    site.expected.append(("the copies begin runs, %d runs in all" % len(runs), len(runs) == 2 * job.count))
    await asyncio.wait([watch], timeout=SETTLE_S)
    runs = [r for r in site.pool.runs if r.task[:16] == job.id]
    site.expected.append(("which go on, %d runs in all" % len(runs), len(runs) == 2 * job.count))


async def late_start_reaches_a_life_that_is_cut_off(site):
    """The leader waits for a start as if it could be 4 s late, as it can't see what runs there."""
    await fail_one(site)
    site.stopping = True
    await pool_is_idle(site)
    job, (server,) = await begin_with_copies(site, 1, 20000, 0)
    watch, sent_at = asyncio.ensure_future(site.watch(job)), time.monotonic()
    site.faults += ["server crash", "server silent"]
    await server.start_again(0.2, 0)
    server.silent = True
    server.http.reset_connections()
    await server.announce()
    await asyncio.sleep(sent_at + LATE_START_S - time.monotonic())
    server.carry_out_kept()
    await until(lambda: not server.runs, LEASE_MAX_MS / 1000 + 1)
    server.silent = False
    for run in runs_of(site, job):
        run.server.end(run, "done")
    await asyncio.wait([watch], timeout=SETTLE_S)


async def start_for_a_former_life_is_rejected(site):
    """The answer to it was taken for a sign of a newer leader."""
    await fail_one(site)
    site.stopping = True
    await pool_is_idle(site)
    for _ in range(3):
        servers = site.rng.sample(site.pool.servers, 2)
        site.faults += ["server crash"] * len(servers)
        await asyncio.gather(*[server.start_again(0.2, float("inf")) for server in servers])
        for server in servers:
            server.lists_itself_at_start = True
        await site.watch(await submit_waiting(site, SERVERS, 300))
    void = len(list(site.events("order_void")))
    given_up = [e["why"] for e in site.events("lead_given_up")]
    site.expected.append(("%d orders are void, and no leader gives up, %s" % (void, given_up), void and not given_up))


async def cut_off_until_its_lease_ends(site, server):
    """From when a poll has renewed it; then the orders that the server keeps are carried out."""
    renewed = await until(lambda: server.lease - server.clock() > LEASE_MAX_MS - RENEWED_MS, 3)
    site.faults.append("server silent")
    server.silent = True
    server.http.reset_connections()
    while server.runs and server.lease - server.clock() > LATE_HOLD_LEFT_MS:
        await asyncio.sleep(0.02)
    site.expected.append(("%s is cut off as it runs a task, till its lease ends" % server.name, renewed and bool(server.runs)))
    server.carry_out_kept()


async def late_hold_prolongs_leases_of_the_next_life(site):
    """Its deadline, by a clock that had run for an hour, held a lease for longer than the leader waited for a silent server."""
    await fail_one(site)
    site.stopping = True
    await pool_is_idle(site)
    servers = site.rng.sample(site.pool.servers[1::2], 2)
    others = site.rng.sample([s for s in site.pool.servers if s not in servers], 2)
    job = await submit_waiting(site, SERVERS, 60000)
    watch = asyncio.ensure_future(site.watch(job))
    full = await until(lambda: len(runs_of(site, job)) == SERVERS, 10)
    await asyncio.sleep(2)  # until holds renew leases
    for server in servers:
        server.keeps, server.kept = ["/-/hold"], []
    kept = await until(lambda: all(server.kept for server in servers), 5)
    renews = kept and all("deadline-ms" in server.kept[0][2] for server in servers)
    site.expected.append(("the pool is full, and a renewal is kept on two servers", full and renews))
    polled = await start_again_polled(site, servers, 0)
    again = await until(lambda: all(server.runs for server in servers), 5)
    site.expected.append(("they are polled and run tasks again", polled and again))
    await asyncio.sleep(0.3)
    for server in others:
        for run in list(server.runs.values()):
            server.end(run, "done")
    tasks = {task for server in servers for task in server.runs}
    await asyncio.gather(*[cut_off_until_its_lease_ends(site, server) for server in servers])
    elsewhere = await until(lambda: all(any(r.task == task and not r.server.silent for r in runs_of(site, job))
                                        for task in tasks), 15)
    site.expected.append(("their tasks start elsewhere", elsewhere))
    await until(lambda: not any(server.runs for server in servers), 10)
    for server in servers:
        server.silent = False
    for run in runs_of(site, job):
        run.server.end(run, "done")
    await asyncio.wait([watch], timeout=SETTLE_S)


async def idle_servers_are_down_as_a_job_comes(site):
    """Its starts counted as carried out by servers that had crashed before, and the job was given up."""
    await fail_one(site)
    site.stopping, watched = True, []
    await pool_is_idle(site)
    for is_dark, as_another in ((False, True), (False, False), (True, True)):
        filler = await submit_waiting(site, SERVERS, 12000)
        await until(lambda: len(runs_of(site, filler)) == SERVERS, 10)
        idle = sorted(site.rng.sample(site.pool.servers, 3), key=lambda s: s.first_name)  # in the order of placement
        for server in idle:
            for run in list(server.runs.values()):
                server.end(run, "done")
        await asyncio.sleep(2.5)
        site.faults += ["server crash"] * 3
        down_s = site.rng.uniform(0.6, DOWN_MAX_S)
        for i, server in enumerate(idle):
            asyncio.ensure_future(server.go_down(down_s * (i + 1), is_dark, as_another))
        await asyncio.sleep(site.rng.uniform(0.0, 0.4))
        job, since = await submit_waiting(site, 1, 2000), time.monotonic()
        watched += [asyncio.ensure_future(site.watch(j)) for j in (filler, job)]
        await until(lambda: job.seen.keys() & {"complete", "failed"}, IDLE_FROM_S + IDLE_MAX_S + 2)
        began = [r.began - since for r in site.pool.runs if r.task[:16] == job.id]
        site.expected.append(("a job that no server has begun is not shown as failed", "failed" not in job.seen))
        site.expected.append(("it begins once, in time, %s" % began, len(began) == 1 and began[0] < (
            IDLE_FROM_S + IDLE_MAX_S if is_dark else DOWN_MAX_S + BACK_TO_START_S)))
        await until(lambda: "complete" in filler.seen, 30)
    await asyncio.wait(watched, timeout=SETTLE_S)


async def jobs_wait_while_leaders_change(site):
    """A leader that had not read the jobs told that none was pending, and others passed its count on."""
    await fail_one(site)
    site.stopping, told, watched = True, {}, []
    await pool_is_idle(site)
    filler = await submit_waiting(site, SERVERS, 30000)
    await until(lambda: len(runs_of(site, filler)) == SERVERS, 10)
    jobs = [await submit_waiting(site, 1, 100) for _ in range(PENDING_JOBS)]
    beyond = site.add_job()
    beyond.count, beyond.steps, beyond.gpu, beyond.is_cancelled, beyond.route = 1, 1, 8, False, LONG_QUEUE
    beyond.spec, site.pool.needs[beyond.id] = {"ms": 100, "gang": 0, "fail": 0}, 8
    await site.submit(beyond)
    watched += [asyncio.ensure_future(site.watch(job)) for job in [filler, beyond] + jobs]
    site.store.slow = 4
    await asyncio.sleep(PENDING_SHOWN_S)

    async def ask(vm):
        while not any(run.task[:16] == job.id for run in site.pool.runs for job in jobs):
            answer = await site.ask("GET", jobs[0], path="/%s/" % jobs[0].route, vm=vm, timeout=1.0)
            if answer and answer[0] == 200:
                told.setdefault(vm.name, []).append(answer[2]["pending"])
            await asyncio.sleep(0.02)

    asking = [asyncio.ensure_future(ask(vm)) for vm in site.vms]
    for change in (site.terminate, site.kill, site.terminate, site.kill):
        await asyncio.sleep(site.rng.uniform(0.3, 1.0))
        await change(site.leader())
    await asyncio.sleep(2)
    for task in asking:
        task.cancel()
    few = {name: min(counts) for name, counts in told.items() if min(counts) * 2 < PENDING_JOBS}
    site.expected.append(("each VM tells that %d jobs are pending, %s" % (PENDING_JOBS, few), not few))
    site.expected.append(("all VMs tell it, %d do" % len(told), len(told) == VMS))
    answers = [await site.ask("GET", beyond, path="/%s/" % LONG_QUEUE, vm=vm) for vm in site.vms]
    told = [answer[2].get("pending") if answer else None for answer in answers]
    site.expected.append(("a queue with a long name has one or nobody knows, %s" % told, set(told) == {1, None}))
    site.store.slow = 1
    await asyncio.wait(watched, timeout=SETTLE_S)


def done_tasks(site, job):
    return {r.task for r in site.pool.runs if r.task[:16] == job.id and r.how == "done"}


async def submit_waiting(site, count, ms, fail=0):
    """A job whose tasks need whole servers."""
    job = site.add_job()
    job.count, job.steps, job.gpu, job.is_cancelled, job.route = count, 1, 8, False, "urgent"
    job.spec, site.pool.needs[job.id] = {"ms": ms, "gang": 0, "fail": fail}, 8
    await site.submit(job)
    return job


async def winner_hears_of_its_win_from_others(site):
    """It counted its own win twice, so that the next leader's orders had the same term."""
    site.store.answers_late = 0.5
    await site.kill(site.leader())
    await asyncio.sleep(3)
    site.store.answers_late = 0.0


async def refused_after_a_lost_answer(site):
    """A VM answered 503 to a job whose earlier transaction, without an answer, was performed seconds later."""
    vm, jobs = site.vms[0], [site.add_job() for _ in range(6)]
    site.faults.append("late and reset store")
    site.store.late = 1.0
    first = [asyncio.ensure_future(site.ask("POST", job, vm=vm, timeout=4.0)) for job in jobs]
    await asyncio.sleep(0.2)
    site.store.mode = "reset"
    lost = [bool(answer) and answer[0] == 504 for answer in await asyncio.gather(*first)]
    again = [await site.ask("POST", job, vm=vm) for job in jobs]
    refused = [job.id for job, was_lost, answer in zip(jobs, lost, again) if was_lost and answer and answer[0] == 503]
    site.expected.append(("transactions without an answer, %d" % sum(lost), any(lost)))
    site.expected.append(("no job is refused while its transaction may be performed, %s were" % refused, not refused))
    hasty = [a for a in again if a and a[0] == 504 and "retry-after" not in a[1]]
    site.expected.append(("a 504 says when to come back, %d did not" % len(hasty), not hasty))
    site.store.mode, site.store.late = "up", 0.0
    await asyncio.sleep(5)
    for job in jobs:
        job.accepted = time.monotonic()
        site.following.append(asyncio.ensure_future(site.watch(job)))


async def all_vms_see_the_store_return(site):
    """Followers saw it with the first answer to a feed, which the store holds back until a row changes."""
    site.stopping = True  # no submissions, whose answers would show it too
    await asyncio.sleep(1)
    await site.store_mode("reset", 3)
    back = time.time() * 1e6
    await asyncio.sleep(2)
    seen = {e["vm"]: e["time_us"] for e in site.events("store_regained") if e["time_us"] > back}
    late = [vm.name for vm in site.vms if seen.get(vm.name, math.inf) > back + 500000]
    site.expected.append(("all VMs see within 0.5 s that the store answers again, %s did not" % late, not late))


async def one_vm_is_turned_away(site):
    """It kept callers for 2.7 s and answered 504, though all other VMs reached the store."""
    vm = next(v for v in site.vms if v is not site.leader())
    cut = asyncio.ensure_future(site.vm_cut(vm, 5))
    await asyncio.sleep(1.5)
    for _ in range(6):
        job = site.add_job()
        answer = await site.ask("POST", job, vm=vm)
        site.turned_away.append((job.id, bool(answer) and answer[0] == 200))
        job.accepted = time.monotonic() if site.turned_away[-1][1] else None
        site.following.append(asyncio.ensure_future(site.watch(job)))
    await site.config(2)
    await asyncio.sleep(1)
    taken = [e for e in site.events("config_taken") if e["vm"] == vm.name and e["version"] == 2]
    site.turned_away.append(("configuration", bool(taken)))
    await cut


async def leader_wakes_after_its_time(site):
    """It placed work on a permission from before it was paused, while another led."""
    for _ in range(3):
        leader = site.leader()
        site.faults.append("pause")
        leader.send(signal.SIGSTOP)
        await asyncio.sleep(2.5)
        leader.send(signal.SIGCONT)
        await asyncio.sleep(1.5)
    wins = sorted(site.events("lead_won"), key=lambda e: e["time_us"])
    for before, after in zip(wins, wins[1:]):
        late = [e for e in site.events("placed") if e["vm"] == before["vm"] != after["vm"]
                and after["time_us"] < e["time_us"] < after["time_us"] + 6e6]
        again = [w["time_us"] for w in wins if w["vm"] == before["vm"] and w["time_us"] > after["time_us"]]
        late = [e for e in late if not again or e["time_us"] < min(again)]
        site.expected.append(("%s places nothing under term %d" % (before["vm"], after["term"]), not late))


async def servers_are_silent_for_a_while(site):
    """Work on servers that had been silent for 3 s was taken to stand still and started elsewhere."""
    for _ in range(4):
        job = site.add_job()
        job.count, job.steps, job.spec = 2, 1, {"ms": 15000, "gang": 0, "fail": 0}
        await site.submit(job)
        site.following.append(asyncio.ensure_future(site.watch(job)))
    await asyncio.sleep(3)
    frozen = [s for s in site.pool.servers if any(r.spec["ms"] == 15000 for r in s.runs.values())]
    for server in frozen:
        server.silent = server.hang = True
    await asyncio.sleep(3)
    for server in frozen:
        server.silent = server.hang = False
    await asyncio.sleep(6)
    stalled = list(site.events("task_stalled"))
    site.expected.append(("nothing is taken to stand still, %d were" % len(stalled), bool(frozen) and not stalled))


async def server_answers_no_more(site):
    """Looks without an answer put off the end of the leases, so its tasks never ran elsewhere."""
    server = max(site.pool.servers, key=lambda s: len(s.runs))
    server.silent = True
    server.http.reset_connections()
    await asyncio.sleep(12)


def restart_as_small(vms):
    for vm in vms:
        vm.resize(0.12)
        vm.send(signal.SIGKILL)
        vm.process.wait()
        vm.start()


async def small_leader_hands_over(site):
    """A small VM led for the rest of the day, because pings did not say that their sender was large."""
    large = site.vms[0]
    large.send(signal.SIGKILL)
    restart_as_small(site.vms[1:])
    await asyncio.sleep(3)
    large.start()
    await asyncio.sleep(8)
    site.expected.append(("the large VM leads", site.leader() is large))


def agent_of(site, server):
    """A VM of the server's failure domain that does not lead: it carries out orders."""
    vms = [v for v in site.vms if v is not site.leader() and int(v.name[-1]) % ZONES == int(server.zone[1:])]
    return vms[0] if vms else next(v for v in site.vms if v is not site.leader())


async def agents_die_in_turn(site):
    """Orders that an agent had taken and not carried out, or carried out and not answered."""
    for server in site.pool.servers[:2 * ZONES]:
        await site.kill(agent_of(site, server))
        await asyncio.sleep(0.7)


async def agents_wake_with_old_orders(site):
    """An agent that was paused carries out seconds later what the leader has given to others since."""
    for server in site.pool.servers[:ZONES]:
        agent = agent_of(site, server)
        agent.send(signal.SIGSTOP)
        await asyncio.sleep(4.5)
        agent.send(signal.SIGCONT)
        await asyncio.sleep(0.5)


async def agent_wakes_under_the_next_leader(site):
    """The agent holds orders of a leader that has been replaced meanwhile."""
    for server in site.pool.servers[:ZONES]:
        leader, agent = site.leader(), agent_of(site, server)
        agent.send(signal.SIGSTOP)
        await asyncio.sleep(0.3)
        await site.kill(leader)
        await asyncio.sleep(2.5)
        agent.send(signal.SIGCONT)
        await asyncio.sleep(1)


async def leader_and_agent_die_together(site):
    for server in site.pool.servers[:ZONES]:
        agent = agent_of(site, server)
        await asyncio.gather(site.kill(site.leader()), site.kill(agent))
        await asyncio.sleep(2)


async def agents_renew_while_nobody_leads(site):
    """The leader dies while the store is away, so none can be elected; what runs must not lapse."""
    for _ in range(6):
        job = site.add_job()
        job.count, job.steps, job.spec = 1, 1, {"ms": 16000, "gang": 0, "fail": 0}
        await site.submit(job)
        site.following.append(asyncio.ensure_future(site.watch(job)))
    await asyncio.sleep(2)
    outage = asyncio.ensure_future(site.store_mode("busy", 5))
    await asyncio.sleep(0.2)
    site.leader().send(signal.SIGKILL)
    await outage
    await asyncio.sleep(4)
    lapsed = [r.task for r in site.pool.runs if r.how == "lapsed"]
    site.expected.append(("no lease lapses, %d did" % len(lapsed), not lapsed))


async def agent_is_cut_off_from_servers(site):
    """Answers of an agent say that servers are silent, while the leader reaches them."""
    site.pool.servers[0].silent = True
    await asyncio.sleep(1.5)
    site.pool.servers[0].silent = False
    await asyncio.sleep(2)


async def peers_send_what_cannot_be_read(site):
    """Bytes, records and calls at the port of the entry VMs; a process must outlive them all."""
    def record(data, last=True):
        return (len(data) | (0x80000000 if last else 0)).to_bytes(4, "big") + data

    for vm in site.vms:
        process = vm.process
        for i in range(40):
            body = site.rng.randbytes(site.rng.randrange(0, 400))
            data = site.rng.choice([body, record(body), record(body, False), b"\xff\xff\xff\xff" + body,
                                    rpc_call(site.rng, site.rng.randrange(0, 14), body),
                                    rpc_call(site.rng, site.rng.randrange(7, 10), b"\0" * 400)])
            _, writer = await asyncio.open_connection("127.0.0.1", vm.peers)
            writer.write(data)
            await asyncio.sleep(0.01)
            writer.close()
        await asyncio.sleep(0.2)
        site.expected.append((vm.name + " goes on", process.poll() is None))


async def agent_is_started_again(site):
    """It has no payloads of jobs that the leader takes it to have; their starts must still be made."""
    job = site.add_job()
    job.count, job.steps, job.spec = 40, 1, {"ms": 1500, "gang": 0, "fail": 0}
    await site.submit(job)
    site.following.append(asyncio.ensure_future(site.watch(job)))
    await asyncio.sleep(0.5)
    for server in site.pool.servers[:ZONES]:
        await site.kill(agent_of(site, server))
    await asyncio.sleep(8)


async def large_vm_takes_over_after_an_outage(site):
    """A small VM won, because the transactions of the large ones were lost in the outage."""
    restart_as_small(site.vms[2:])
    await asyncio.sleep(6)
    leader, large, began = site.leader(), [vm.name for vm in site.vms[:2]], time.time() * 1e6
    site.faults += ["kill", "silent store"]
    outage = asyncio.ensure_future(site.store_mode("silent", 3))
    await asyncio.sleep(0.3)
    leader.send(signal.SIGKILL)
    await outage
    await asyncio.sleep(1.5)
    small = [w["vm"] for w in site.events("lead_won") if w["time_us"] > began and w["vm"] not in large]
    site.expected.append(("a large VM wins, %s did" % small, not small))


def runs_of(site, job):
    return [r for r in site.pool.runs if r.task[:16] == job.id and not r.ended]


async def start_gangs(site):
    await asyncio.sleep(1.5)
    jobs = [site.add_job() for _ in range(3)]
    for job in jobs:
        job.count, job.steps, job.gpu, job.is_cancelled, job.route = 3, 1, 2, False, "urgent"
        job.spec = {"ms": 8000, "gang": 3, "fail": 0}
        site.pool.needs[job.id] = job.gpu
        await site.submit(job)
        site.following.append(asyncio.ensure_future(site.watch(job)))
    for _ in range(100):
        await asyncio.sleep(0.1)
        if all(len(runs_of(site, job)) == job.count for job in jobs):
            break
    else:
        site.expected.append(("all gangs run", False))
    return jobs


def leave_for_good(site, gangs, is_unlisted, runs_on=False):
    """A server of each gang."""
    for server in {runs_of(site, job)[0].server for job in gangs if runs_of(site, job)}:
        asyncio.ensure_future(server.leave_for_good(is_unlisted, runs_on))
    site.gone_at, site.gangs = time.monotonic(), {job.id for job in gangs}


async def gangs_lose_servers(site, is_unlisted, runs_on=False):
    leave_for_good(site, await start_gangs(site), is_unlisted, runs_on)


async def two_leaders_die_after_servers(site, is_unlisted):
    await gangs_lose_servers(site, is_unlisted)
    await site.kill(site.leader())
    await asyncio.sleep(2)
    await site.kill(site.leader())


async def unlisted_servers_and_two_leaders_die(site):
    """Each leader waited anew for the end of leases that only the first one can have renewed."""
    await two_leaders_die_after_servers(site, True)


async def silent_servers_and_two_leaders_die(site):
    """The same; the servers stay in the list."""
    await two_leaders_die_after_servers(site, False)


async def planned_stops_after_servers_died(site):
    """Each leader that stopped knew until when its servers held leases; the next one waited from the start."""
    await gangs_lose_servers(site, True)
    await site.kill(site.leader())
    site.end_of_faults()
    for _ in range(2):
        await asyncio.sleep(3.5)
        site.following.append(asyncio.ensure_future(site.terminate(site.leader())))
    site.idle_limit_s = WAIT_FOR_LEASES_S


async def planned_stops_after_servers_were_cut_off(site):
    """The servers run on as long as their leases last; nothing of theirs may run elsewhere meanwhile."""
    await gangs_lose_servers(site, False, True)
    for _ in range(3):
        site.faults.append("terminate")
        site.following.append(asyncio.ensure_future(site.terminate(site.leader())))
        await asyncio.sleep(1.5)
    site.idle_limit_s = WAIT_FOR_LEASES_S


async def small_leader_hands_over_after_servers_died(site):
    """The same, as a small VM led in between."""
    large = site.vms[0]
    restart_as_small(site.vms[1:])
    await asyncio.sleep(7)
    site.expected.append(("the large VM leads", site.leader() is large))
    await gangs_lose_servers(site, True)
    site.faults += ["kill", "hand-over"]
    large.send(signal.SIGKILL)
    large.process.wait()
    await asyncio.sleep(2)
    large.start()
    site.idle_limit_s = WAIT_FOR_LEASES_S


async def all_vms_are_down_for_longer_than_a_lease(site):
    """The leader that followed waited as if the former one had granted leases until then."""
    gangs = await start_gangs(site)
    await asyncio.sleep(1.5)  # for jobs that are cancelled
    leave_for_good(site, gangs, False)
    site.end_of_faults()
    site.faults.append("kill all")
    for vm in site.vms:
        vm.send(signal.SIGKILL)
        vm.process.wait()
    await asyncio.sleep(VMS_DOWN_S)
    for vm in site.vms:
        vm.start()
    site.idle_limit_s = VMS_DOWN_S + RETURN_S


async def third_leader_falls_silent_after_servers_died(site):
    """Machines of two leaders and of the next fall silent; the silence of a new leader is tolerated for longer."""
    gangs, loop = await start_gangs(site), asyncio.get_running_loop()
    for i in range(3):
        leader = site.leader()
        site.faults.append("pause")
        if i == 2:
            leave_for_good(site, gangs, True)
        leader.send(signal.SIGSTOP)
        loop.call_later(30, leader.send, signal.SIGCONT)
        while i < 2 and site.leader() is leader:
            await asyncio.sleep(0.1)


async def history_is_lost_while_a_leader_loads(site):
    """It followed no jobs any more, and knew only those of which the VM that stored them told it."""
    site.store.forgets_after_lead = 0.02
    await site.kill(site.leader())
    await asyncio.sleep(3)
    site.expected.append(("the history was lost", site.store.forgets_after_lead is None and site.store.oldest > 0))
    vm = next(v for v in site.vms if v is not site.leader())
    job = site.add_job()
    job.is_cancelled = False
    site.store.answers_late = 0.6
    asyncio.ensure_future(site.ask("POST", job, vm=vm))
    await asyncio.sleep(0.4)
    await site.kill(vm)
    site.store.answers_late = 0.0
    site.expected.append(("the job is stored", any(k[0] == "jobs" and k[2] == job.id for k in site.store.rows)))
    job.accepted = time.monotonic()
    site.following.append(asyncio.ensure_future(site.watch(job)))


async def half_started_gang_is_taken_over(site):
    """The next leader stopped no member that it had not yet found at work, so they waited alone for the others."""
    halves = site.pool.servers[::2], site.pool.servers[1::2]
    half_started = []
    for i in range(4):
        for server in halves[i % 2]:
            server.loses_starts = True
        job = site.add_job()
        job.count, job.steps, job.gpu, job.is_cancelled, job.route = 8, 1, 2, False, "urgent"
        job.spec = {"ms": 1000, "gang": job.count, "fail": 0}
        site.pool.needs[job.id] = job.gpu
        site.following.append(asyncio.ensure_future(site.submit_and_watch(job)))
        for _ in range(100):
            await asyncio.sleep(0.02)
            if runs_of(site, job):
                break
        await asyncio.sleep(0.05)
        half_started += [job.id] if 0 < len(runs_of(site, job)) < job.count else []
        death = asyncio.ensure_future(site.kill(site.leader()))
        await asyncio.sleep(0)  # the leader is dead; those of its successor arrive
        for server in site.pool.servers:
            server.loses_starts = False
        await death
        await asyncio.sleep(3)
    alone = [r.task for r in site.pool.runs if r.how == "alone" and r.task[:16] in half_started]
    site.expected.append(("gangs were half started, %d" % len(half_started), bool(half_started)))
    site.expected.append(("no member waits alone, %s did" % alone[:3], not alone))


async def all_servers_hang_for_a_while(site):
    """Each task that stood still doubled the time for which its server got nothing, up to 60 s."""
    for _ in range(12):
        job = site.add_job()
        job.count, job.steps, job.gpu, job.is_cancelled, job.route = 8, 1, 1, False, "urgent"
        job.spec = {"ms": 6000, "gang": 0, "fail": 0}
        site.pool.needs[job.id] = job.gpu
        site.following.append(asyncio.ensure_future(site.submit_and_watch(job)))
    await asyncio.sleep(2.5)
    for server in site.pool.servers:
        server.hang = True
    await asyncio.sleep(6)
    for server in site.pool.servers:
        server.hang = False


async def jobs_fail_by_their_own_fault(site):
    """Servers on which tasks of different jobs had failed got nothing for 8 s to 60 s, though the jobs were at fault."""
    for i in range(60):
        job = site.add_job()
        job.count, job.steps, job.gpu, job.is_cancelled, job.route = 2, 1, 1, False, "batch"
        job.spec = {"ms": 300, "gang": 0, "fail": ATTEMPTS if i < 50 else 0}
        site.pool.needs[job.id] = job.gpu
        site.following.append(asyncio.ensure_future(site.submit_and_watch(job)))
        await asyncio.sleep(0.1)


async def submit_checkpointing(site, steps, count, snapshot):
    """A job whose tasks checkpoint so many bytes each and fail once, so that its rows must hold these."""
    job = site.add_job()
    job.steps, job.count, job.gpu, job.cpu, job.route, job.is_cancelled = steps, count, 0, 300, "batch", False
    job.spec = {"ms": 4000, "gang": 0, "fail": 1, "snapshot": snapshot}
    site.pool.needs[job.id] = 0
    await site.submit(job)
    site.following.append(asyncio.ensure_future(site.watch(job)))
    return job


async def small_jobs_beside(site, wide, limit=400):
    """Small jobs until three have fallen into the wide one's partition; all must end within 15 s."""
    part = next(p for t, p, k in site.store.rows if t == "jobs" and k == wide.id)
    jobs, beside = [], []
    while len(jobs) < limit and len(beside) < 3:
        job = site.add_job()
        job.count, job.steps, job.gpu, job.is_cancelled, job.spec = 1, 1, 0, False, {"ms": 100, "gang": 0, "fail": 0}
        site.pool.needs[job.id] = 0
        jobs.append(job)
        await site.submit(job)
        site.following.append(asyncio.ensure_future(site.watch(job)))
        beside += [job] if ("jobs", part, job.id) in site.store.rows else []
    for _ in range(15):
        await asyncio.sleep(1)
        stuck = [j.id for j in jobs if "complete" not in j.seen]
        if not stuck:
            break
    site.expected.append(("the small jobs end, %d of %d of its partition, did not: %s" % (len(beside), len(jobs), stuck),
                          beside and not stuck))


def expect_no_invalid_call(site):
    invalid = [e["message"] for e in site.events("store_invalid")]
    site.expected.append(("the store takes all calls, %d were invalid: %s" % (len(invalid), invalid[:1]), not invalid))


async def a_step_is_wider_than_a_row(site):
    """Rows exceeded the store's limit by the number of tasks or by their snapshots; they were sent for ever."""
    job = await submit_checkpointing(site, 1, 1024, 80)
    await submit_checkpointing(site, 1, 100, 1000)
    await asyncio.sleep(8)
    await site.kill(site.leader())
    await small_jobs_beside(site, job)
    expect_no_invalid_call(site)
    without = [e["message"] for e in site.events("snapshots_not_stored")]
    site.expected.append(("rows beyond the limit are stored without snapshots, %d were" % len(without), without))


async def submit_image(site, count, spec):
    """A job without accidents whose tasks need one accelerator."""
    job = site.add_job()
    job.steps, job.count, job.gpu, job.route, job.is_cancelled = 1, count, 1, "batch", False
    job.spec = dict(spec, gang=0, fail=0)
    site.pool.needs[job.id] = 1
    await site.submit(job)
    return asyncio.ensure_future(site.watch(job))


def share_beside(runs, others):
    """Of @runs, those beside which one of @others ran."""
    beside = [r for r in runs if any(o.server is r.server and o.began < (r.ended or r.began) and
                                     (o.ended or time.monotonic()) > r.began for o in others)]
    return len(beside) / max(len(runs), 1)


async def workloads_slow_each_other(site):
    """Tasks were put beside those that slow them although other servers were idle."""
    await asyncio.sleep(1)
    site.stopping = True
    await asyncio.sleep(4)
    watched = []
    for i in range(90):
        if i % 3 == 0:
            watched.append(await submit_image(site, 6, {"ms": 2500, "image": "train"}))
        watched.append(await submit_image(site, 8, {"ms": 500, "image": "render", "slowed-by": "train"}))
        await asyncio.sleep(0.4)
    await asyncio.wait(watched, timeout=SETTLE_S)
    found = [e for e in site.events("interference_found")
             if (e["workload"]["image"], e["beside"]["image"]) == ("render", "train")]
    others = [e for e in site.events("interference_found") if e not in found]
    site.expected.append(("the pair that slows is found once, %d times" % len(found), len(found) == 1))
    site.expected.append(("no other pair is found: %s" % others[:1], not others))
    if not found:
        return
    at = found[0]["time_us"] / 1e6 - time.time() + time.monotonic()
    render = [r for r in site.pool.runs if r.spec.get("image") == "render"]
    train = [r for r in site.pool.runs if r.spec.get("image") == "train"]
    before = share_beside([r for r in render if r.began < at], train)
    after = share_beside([r for r in render if r.began >= at], train)
    site.expected.append(("work is kept apart from then on, %.2f beside before, %.2f after" % (before, after),
                          after < before / 2))


async def an_operator_asks_where_a_job_would_go(site):
    """Nothing may start, be stored or wait because an operator asked."""
    await asyncio.sleep(1)
    site.stopping = True
    await asyncio.sleep(4)
    path = os.path.join(site.dir, "asked.json")
    leader = site.leader()
    others = ["127.0.0.1:%d" % vm.metrics for vm in site.vms if vm is not leader]

    async def ask(addresses, **step):
        with open(path, "w") as f:
            json.dump({"spec": "x" * 20000, "steps": [dict({"cpu": 1000, "mem-mb": 100, "estimate-ms": 500}, **step)]}, f)
        process = await asyncio.create_subprocess_exec(
            BUILD + "/currantlane", "--json", "explain", "urgent", path, *addresses, stdout=asyncio.subprocess.PIPE)
        out = (await process.communicate())[0]
        return process.returncode, json.loads(out)["steps"][0] if out else {}

    code, step = await ask(others + ["127.0.0.1:%d" % leader.metrics], count=3, gpu=8)
    site.expected.append(("tasks would go to a server each, as far as there is room: %s" % step,
                          code == 0 and len(step["on"]) == step["placed"] == min(3, step["with_room"])))
    code, step = await ask(["127.0.0.1:%d" % leader.metrics], count=SERVERS * 2, gpu=8, gang=True)
    site.expected.append(("a gang that is too large has a reason: %s" % step, code == 0 and not step["on"] and step["why"]))
    code, step = await ask(others, count=1)
    site.expected.append(("only the leader can tell, exit %d" % code, code == 4))
    known = [k for _, _, k in site.store.rows] + [r.task for r in site.pool.runs]
    site.expected.append(("no row was written and no task started", not [k for k in known if k.startswith("0" * 16)]))


async def wide_steps_change_in_one_outage(site):
    """The rows that changed in an outage, each within the limits, made a transaction of more than 1 MB."""
    job = await submit_checkpointing(site, 21, 60, 1000)
    running = []
    for _ in range(200):
        await asyncio.sleep(0.1)
        running = [r for s in site.pool.servers for r in s.runs.values() if r.task.startswith(job.id)]
        if len(running) > 1100:
            break
        for run in running:
            run.worked = 4.0 if run.task.split(".")[2] == "0" else 0.0
    site.expected.append(("%d tasks run at the beginning of the outage, more than 1100" % len(running), len(running) > 1100))
    site.faults.append("busy store")
    outage = asyncio.ensure_future(site.store_mode("busy", 4))
    await asyncio.sleep(0.5)
    for run in running:
        run.worked = 4.0
    await outage
    await small_jobs_beside(site, job)
    expect_no_invalid_call(site)


async def the_store_refuses_the_rows_of_one_job(site):
    """All jobs of its partition waited with it, because its rows were in each of their transactions."""
    job = site.add_job()
    job.is_cancelled, site.store.rejected = False, job.id
    await site.submit(job)
    site.following.append(asyncio.ensure_future(site.watch(job)))
    await small_jobs_beside(site, job)
    site.expected.append(("no start of the refused rows' job", not any(r.task.startswith(job.id) for r in site.pool.runs)))
    site.store.rejected = None


async def need_all_servers(site, count):
    """Urgent jobs with a task for each server, one after another; all tasks begin within 1 s. The last fail once."""
    watched = []  # apart from site.following, which is cancelled once submissions have stopped
    for i in range(count):
        job = site.add_job()
        job.count, job.gpu, job.steps, job.spec = SERVERS, 8, 1, {"ms": 1000, "gang": 0, "fail": i == count - 1}
        job.route, job.is_cancelled, site.pool.needs[job.id], began = "urgent", False, 8, time.monotonic()
        answer = await site.ask("POST", job, vm=site.leader())
        job.accepted = time.monotonic() if answer and answer[0] == 200 else None
        watched.append(asyncio.ensure_future(site.watch(job)))
        await asyncio.sleep(1)
        runs = [r for r in site.pool.runs if r.task.startswith(job.id) and r.began < began + 1]
        site.expected.append(("all servers run a task within 1 s, %d did" % len(runs), len(runs) == SERVERS))
        await asyncio.sleep(2)
    await asyncio.wait(watched, timeout=SETTLE_S)


async def domains_lose_their_vms(site):
    """Idle servers of domains whose entry VMs were gone got no work for a minute, though they answered."""
    await asyncio.sleep(1.5)
    site.stopping = True  # no submissions, so that servers are idle
    await asyncio.sleep(4)
    kept = int(site.leader().name[-1]) % ZONES
    gone = [vm for vm in site.vms if int(vm.name[-1]) % ZONES != kept]
    for vm in gone:
        site.faults.append("kill")
        vm.send(signal.SIGKILL)
        vm.process.wait()
    await asyncio.sleep(16)  # servers that are suspect because jobs failed there are used again
    await need_all_servers(site, 3)


async def domain_is_cut_off(site):
    """Its servers get nothing meanwhile, and are used again soon after."""
    await asyncio.sleep(1.5)
    site.stopping = True
    await asyncio.sleep(14)
    zone = (int(site.leader().name[-1]) + 1) % ZONES
    vms = [vm for vm in site.vms if int(vm.name[-1]) % ZONES == zone]
    servers = [s for s in site.pool.servers if s.zone == "z%d" % zone]
    for vm in vms:
        vm.send(signal.SIGSTOP)
    for server in servers:
        server.silent = True
        server.http.reset_connections()
    await asyncio.sleep(1.2)
    began = time.time() * 1e6
    job = site.add_job()
    job.count, job.gpu, job.steps, job.spec = 2 * SERVERS, 8, 1, {"ms": 1000, "gang": 0, "fail": 0}
    job.is_cancelled, site.pool.needs[job.id] = False, 8
    await site.submit(job)
    watch = asyncio.ensure_future(site.watch(job))
    await asyncio.sleep(4)
    for vm in vms:
        vm.send(signal.SIGCONT)
    for server in servers:
        server.silent = False
    names = [server.name for server in servers]
    sent = [e for e in site.events("task_start") if e["time_us"] > began and set(names) & set(e["servers"])]
    site.expected.append(("no start is sent into the domain, %d were" % len(sent), not sent))
    await asyncio.sleep(1.5)
    await need_all_servers(site, 2)
    await watch


async def servers_refuse_for_a_while(site):
    """Each refusal doubled the time for which a server was not asked again, up to a minute."""
    await asyncio.sleep(1.5)
    site.stopping = True
    await asyncio.sleep(10)
    refusing, watched = site.pool.servers[::ZONES], []
    for server in refusing:
        server.refuse = True
    for _ in range(10):
        job = site.add_job()
        job.count, job.gpu, job.steps, job.spec = SERVERS, 8, 1, {"ms": 300, "gang": 0, "fail": 0}
        job.is_cancelled, site.pool.needs[job.id] = False, 8
        await site.submit(job)
        watched.append(asyncio.ensure_future(site.watch(job)))
        await asyncio.sleep(1)
    for server in refusing:
        server.refuse = False
    await asyncio.sleep(9)
    await asyncio.wait(watched, timeout=SETTLE_S)
    await need_all_servers(site, 2)


async def servers_hang_for_a_while(site):
    """Each of the tasks there counted as a fault of its own, so that the servers got no work for a minute."""
    await asyncio.sleep(1.5)
    site.stopping = True
    await asyncio.sleep(10)
    job = site.add_job()
    job.count, job.gpu, job.steps, job.spec = 8 * SERVERS, 1, 1, {"ms": 8000, "gang": 0, "fail": 0}
    job.is_cancelled, site.pool.needs[job.id] = False, 1
    await site.submit(job)
    watch = asyncio.ensure_future(site.watch(job))
    await asyncio.sleep(2)
    for server in site.pool.servers[::ZONES]:
        server.hang = True
    await asyncio.sleep(5)
    for server in site.pool.servers:
        server.hang = False
    await asyncio.sleep(17)
    await watch
    await need_all_servers(site, 2)


async def many_connections_fall_silent(site):
    """After an outage, each call took another of the dead connections, and gave it up only after 1.5 s."""
    await asyncio.sleep(1)
    site.faults += ["busy store", "silent connections"]
    await site.store_mode("busy", 4)  # each call meanwhile opens a connection
    await asyncio.sleep(0.5)
    await site.silent_connections()
    await asyncio.sleep(8)
    began = time.monotonic()
    await asyncio.sleep(4)
    starts = len([r for r in site.pool.runs if r.began > began])
    site.expected.append(("tasks start from 8 s on, %d did" % starts, starts > 5))


async def store_takes_no_writes_for_a_while(site):
    """Reads go on, so that nobody else can lead; what runs must keep its leases."""
    await start_gangs(site)
    began = time.monotonic()
    site.faults.append("store takes no writes")
    await site.store_mode("read-only", 6)
    await asyncio.sleep(7)
    lapsed = [r.task for r in site.pool.runs if r.how == "lapsed" and r.ended > began]
    site.expected.append(("no lease lapses, %d did" % len(lapsed), not lapsed))


async def vms_start_as_the_store_returns(site):
    """Their own calls succeeded while the leader's still failed, so they replaced a healthy leader."""
    for _ in range(3):
        leader, terms = site.leader(), len(site.store.leads)
        others = [vm for vm in site.vms if vm is not leader]
        site.faults += ["silent store", "kill"]
        site.store.mode = "silent"
        await asyncio.sleep(2.5)
        for vm in others:
            vm.send(signal.SIGKILL)
            vm.process.wait()
        site.store.mode = "up"
        for vm in others:
            vm.start()
        await asyncio.sleep(3)
        site.expected.append(("the leader stays, %d terms began" % (len(site.store.leads) - terms),
                              len(site.store.leads) == terms))


async def vms_without_queue(site, name):
    """Names of the VMs that don't know a queue, by their answers to its callers."""
    answers = await asyncio.gather(*[site.ask("GET", None, "/%s/" % name, vm=vm) for vm in site.vms])
    return [vm.name for vm, answer in zip(site.vms, answers) if not answer or answer[0] == 404]


async def change_queues(site, version, count):
    """A change of the configuration, which must be in force on all VMs IN_FORCE_S after it was stored."""
    await site.config(version, count)
    await asyncio.sleep(IN_FORCE_S)
    behind = await vms_without_queue(site, "q%d" % (count - 1))
    site.expected.append(("version %d of %d queues is in force everywhere, on %s it was not" % (version, count, behind),
                          not behind))


async def configuration_outgrows_small_links(site):
    """VMs gave up transfers that took longer than the limit of a call, and began anew, for ever."""
    for door in site.store.doors.values():
        door.bytes_per_s = SMALL_LINK
    await change_queues(site, 2, 1500)
    await change_queues(site, 3, LARGE_QUEUES)
    site.faults.append("busy store")
    await site.store_mode("busy", 1)
    await change_queues(site, 4, LARGE_QUEUES + 1)


async def only_one_vm_has_a_large_link(site):
    """The whole document went to each VM at each change, over links that need longer for it than there is."""
    small = site.vms[1:]
    for vm in small:
        vm.resize(0.12, TINY_LINK * 8 / 1e6)
        site.store.doors[vm.name].bytes_per_s = TINY_LINK
    await site.config(2, LARGE_QUEUES)
    for vm in small:
        vm.send(signal.SIGKILL)
        vm.process.wait()
        vm.start()
    await asyncio.sleep(2 * IN_FORCE_S)
    for i in range(1, 4):
        await change_queues(site, 2 + i, LARGE_QUEUES + 200 * i)
    for i in range(10):  # one after another, faster than the document travels
        await site.config(6 + i, LARGE_QUEUES + 601 + i)
        await asyncio.sleep(0.2)
    await change_queues(site, 16, LARGE_QUEUES + 700)
    site.faults.append("kill")
    site.vms[0].send(signal.SIGKILL)  # the others go on with what they have, and by themselves
    site.vms[0].process.wait()
    await asyncio.sleep(0.5)
    site.vms[0].start()
    await asyncio.sleep(2 * IN_FORCE_S)
    await change_queues(site, 17, LARGE_QUEUES + 10)


async def configuration_changes_with_another_row(site):
    """A change was lost when the same answer of the store began with another row of the operator's table."""
    site.faults.append("busy store")
    outage = asyncio.ensure_future(site.store_mode("busy", 1))
    await asyncio.sleep(0.5)
    await site.store.put("op", "wave/1", base64.b64encode(b"{}").decode())
    await site.config(2, 10)
    await outage
    await asyncio.sleep(IN_FORCE_S)
    behind = await vms_without_queue(site, "q9")
    site.expected.append(("the change is in force everywhere, on %s it was not" % behind, not behind))


async def servers_change_as_a_leader_reads_them(site):
    """The version in the answer to a read was newer than its rows, so that the feed left out the changes in between."""
    site.store.names_newest = True
    site.faults += ["slow store", "kill"]
    began, site.store.slow = time.time() * 1e6, 150
    site.leader().send(signal.SIGKILL)
    for _ in range(200):
        await asyncio.sleep(0.02)
        if any(e["time_us"] > began for e in site.events("lead_won")):
            break
    for server in site.pool.servers:  # within the time that the read of the list takes
        await asyncio.sleep(0.025)
        server.draining = True
        await server.announce()
    await asyncio.sleep(2)
    site.store.slow = 1
    listed = {e["server"]: e["presence"] for e in sorted(site.events("server_listed"), key=lambda e: e["time_us"])}
    missed = [server.name for server in site.pool.servers if listed[server.name] != "draining"]
    site.expected.append(("the leader sees that servers drain, of %s it does not" % missed, not missed))
    for server in site.pool.servers:
        server.draining = False
    for vm in site.vms:
        vm.start()


async def tasks_crash_their_servers(site):
    """Nothing counted the servers that crashed under a task, which was started on one after another, for ever."""
    deadly = []
    for i in range(6):
        job = site.add_job()
        job.count, job.steps, job.gpu, job.is_cancelled, job.route = 3, 1, 2, False, "urgent"
        job.spec = {"ms": 2000, "gang": 3 if i % 3 == 2 else 0, "fail": 0, "deadly": 1}
        site.pool.needs[job.id] = job.gpu
        deadly.append(job)
        site.following.append(asyncio.ensure_future(site.submit_and_watch(job)))
        await asyncio.sleep(1)
        if i in (1, 3):
            await site.kill(site.leader())
    for server in site.pool.servers[:4]:  # for a reason of their own
        site.faults.append("server crash")
        await server.crash(False)
    for _ in range(300):
        await asyncio.sleep(0.1)
        if all("failed" in job.seen for job in deadly):
            break
    left = [job.id for job in deadly if "failed" not in job.seen]
    site.expected.append(("jobs whose tasks crash their servers are given up, %s were not" % left, not left))


async def servers_shrink_and_grow(site):
    """Their capacity changes while they run, also as assignments wait for a store that is slow or away."""
    for gpu in (3, 8, 2, 8):
        asyncio.ensure_future(site.store_mode("busy", 4.5) if gpu == 3 else site.store_slow())
        for server in site.pool.servers:
            server.resize(gpu)
        for _ in range(8):
            job = site.add_job()
            job.count, job.steps, job.gpu, job.is_cancelled, job.route = 6, 1, 1, False, "urgent"
            job.spec = {"ms": 600, "gang": 0, "fail": 0}
            site.pool.needs[job.id] = 1
            site.following.append(asyncio.ensure_future(site.submit_and_watch(job)))
        await asyncio.sleep(5)
    for server in site.pool.servers:
        server.resize(CAPACITY["gpu"])


async def pool_is_idle(site):
    """Nothing runs, and servers that are suspect because jobs failed there are used again."""
    for _ in range(200):
        if not any(server.runs for server in site.pool.servers):
            break
        await asyncio.sleep(0.1)
    await asyncio.sleep(9)


async def odd_entries_among_the_servers(site):
    """An entry from another writer that is odd in one field; one from the future kept its server out for good."""
    deep, long = "[" * 100000 + "]" * 100000, json.dumps("x" * 60000)
    odd = [("capacity", v) for v in (deep, "1e300", "1e400", "-1", '{"cpu":1e300,"mem-mb":1e300,"gpu":1e300}',
                                     '{"cpu":-1,"mem-mb":9223372036854775807,"gpu":99999999999999}')]
    odd += [("addr", v) for v in ('"127.0.0.1:0"', '"127.0.0.1:99999"', '"nowhere"', deep, long, "7", '"\\u0000:1"')]
    odd += [("born", v) for v in ("9223372036854775807", "4102444800000", "1e300", "-1", deep)]
    odd += [("labels", v) for v in (deep, "[%s]" % ",".join([long[:300] + '"'] * 100), "{}", "[1e400]")]
    odd += [("service", v) for v in (long, "null", deep)] + [("zone", v) for v in (long, "7")]
    odd += [("remaining-ms", "9223372036854775807"), ("state", '"resting"'), ("state", deep)]
    await asyncio.sleep(1.5)
    processes = [vm.process for vm in site.vms]
    for i, (field, value) in enumerate(odd):
        server = site.pool.servers[i % SERVERS]
        entry = json.dumps(dict(server.entry(), **{field: "ODD"})).replace('"ODD"', value)
        value = base64.b64encode(entry.encode()).decode()
        await site.store.put("servers", "odd-%d" % i, value)
        await site.store.put("servers", server.name, value)
        await asyncio.sleep(0.05)
        server.listed = None  # it says again what is so
    await site.store.put("servers", "odd-bytes", base64.b64encode(b"\xff\x00{").decode())
    await site.store.put("servers", "odd-text", "this is not base64")
    site.stopping = True
    await pool_is_idle(site)
    await need_all_servers(site, 1)
    await site.kill(site.leader())  # the next leader reads the whole list
    await pool_is_idle(site)
    ended = [vm.name for vm, process in zip(site.vms, processes) if process.poll() not in (None, -signal.SIGKILL)]
    site.expected.append(("no process ends, %s did" % ended, not ended))
    await need_all_servers(site, 1)


async def odd_keys_among_the_servers(site):
    """A key of another writer went into a URL as it was, so that the next leader read the list for ever."""
    await fail_one(site)
    site.stopping = True
    keys = ["%s%02d" % (key, i) for i, key in enumerate(
        ["r&d/scanner-", "a#", "a ", "a+", "%7E", "a\n", "a\r\nX-Other: 1", "a\0", "a\"", "\u00e9", " ", "j?x=", "zz"] * 2)]
    for i, key in enumerate(keys):
        value = site.rng.randbytes(60000)
        if i % 3 == 1:  # an entry that could be a server's, but for its key
            value = json.dumps(dict(site.pool.servers[0].entry(), addr="127.0.0.1:%d" % free_ports(1)[0])).encode()
        await site.store.put("servers", key, base64.b64encode(value).decode())
    for i in range(620):  # more than one page of small ones
        await site.store.put("servers", "r&d/small-%03d" % i, base64.b64encode(b"\0").decode())
    site.store.rows["op", "", "r&d"] = site.store.rows["status", "", "a#"] = (base64.b64encode(b"{\0").decode(), 1)
    began = time.time() * 1e6
    for change in (site.terminate, site.kill, site.history):
        await (change() if change == site.history else change(site.leader()))
        await until(lambda: any(e["time_us"] > began for e in site.events("lead_loaded")), 8)
        began, job = time.time() * 1e6, await submit_waiting(site, 4, 500)
        await asyncio.wait([asyncio.ensure_future(site.watch(job))], timeout=10)
        site.expected.append(("a job is done after %s" % change.__name__, "complete" in job.seen))
    site.store.repeats_pages, calls, at = True, site.store.calls, time.monotonic()
    await site.kill(site.leader())
    await asyncio.sleep(4)
    rate = (site.store.calls - calls) / (time.monotonic() - at)
    site.store.repeats_pages = False
    stalled = sum(1 for _ in site.events("read_stalled"))
    site.expected.append(("a read that makes no progress is logged and not repeated at once, %d times, %d calls a second" % (
        stalled, rate), 0 < stalled < 20 and rate < 300))
    job = await submit_waiting(site, 4, 500)
    await asyncio.wait([asyncio.ensure_future(site.watch(job))], timeout=10)
    site.expected.append(("a job is done once pages go on", "complete" in job.seen))


# the first leader takes over while answers name the versions of the rows written
OWN_VERSIONS_FIRST = [cancelled_while_the_store_is_slow]
SHORT_STATUS = [unknown_ids_are_cancelled]
BY_AGENTS = [
    domains_lose_their_vms, domain_is_cut_off, agent_is_started_again, agents_die_in_turn,
    agents_wake_with_old_orders, agent_wakes_under_the_next_leader, leader_and_agent_die_together,
    agents_renew_while_nobody_leads, agent_is_cut_off_from_servers, peers_send_what_cannot_be_read] + soak_evacuation.BY_AGENTS
# the longest, played first so that none of them is left alone at the end
LONGEST = [
    tasks_crash_their_servers, only_one_vm_has_a_large_link, odd_entries_among_the_servers, servers_shrink_and_grow]
SCENARIOS = LONGEST + BY_AGENTS + soak_evacuation.SCENARIOS + [
    all_vms_are_down_for_longer_than_a_lease, jobs_fail_by_their_own_fault, planned_stops_after_servers_died,
    small_leader_hands_over_after_servers_died, large_vm_takes_over_after_an_outage, end_while_store_is_away,
    claims_are_refused, history_is_lost, old_transaction_comes_late, leaders_die_in_turn, handover_with_a_slow_store,
    cancelled_before_its_late_submission, servers_restart_with_a_start_in_flight, servers_start_again_before_a_start,
    servers_start_again_and_are_lost, late_start_reaches_the_next_life, late_start_reaches_the_life_after_the_next,
    late_start_of_a_dead_leader_reaches_the_next_life, late_start_of_a_leader_that_left_reaches_the_next_life,
    late_hold_prolongs_leases_of_the_next_life, late_start_reaches_a_life_that_may_have_it,
    start_for_a_former_life_is_rejected, idle_servers_are_down_as_a_job_comes,
    jobs_wait_while_leaders_change, odd_keys_among_the_servers,
    leader_leaves_while_the_store_is_slow, cancelled_while_the_store_is_slow, peer_names_a_version_that_never_was,
    refused_after_a_lost_answer, all_vms_see_the_store_return, winner_hears_of_its_win_from_others,
    servers_hang_for_a_while, all_servers_hang_for_a_while, servers_refuse_for_a_while, one_vm_is_turned_away,
    leader_wakes_after_its_time, servers_are_silent_for_a_while, server_answers_no_more, small_leader_hands_over,
    an_operator_asks_where_a_job_would_go, a_step_is_wider_than_a_row, wide_steps_change_in_one_outage, the_store_refuses_the_rows_of_one_job,
    history_is_lost_while_a_leader_loads, half_started_gang_is_taken_over,
    vms_start_as_the_store_returns, store_takes_no_writes_for_a_while, many_connections_fall_silent,
    configuration_outgrows_small_links, servers_change_as_a_leader_reads_them, configuration_changes_with_another_row]
# what make check plays; make soak-all plays all
IN_CHECK = [
    servers_start_again_before_a_start, servers_start_again_and_are_lost, late_start_reaches_the_next_life,
    late_hold_prolongs_leases_of_the_next_life, idle_servers_are_down_as_a_job_comes,
    jobs_wait_while_leaders_change, odd_keys_among_the_servers, servers_restart_with_a_start_in_flight,
    cancelled_before_its_late_submission, agents_renew_while_nobody_leads, old_transaction_comes_late,
    refused_after_a_lost_answer] + soak_evacuation.IN_CHECK
# too long to be played with the others, or known to fail
BY_NAME = [
    workloads_slow_each_other, unknown_ids_are_cancelled, late_start_reaches_a_life_not_yet_polled,
    late_start_reaches_a_life_that_is_cut_off,
    unlisted_servers_and_two_leaders_die, silent_servers_and_two_leaders_die,
    planned_stops_after_servers_were_cut_off, third_leader_falls_silent_after_servers_died]


async def cancel_one(site):
    """So that a scenario in which few jobs last long enough asks for the promise on cancellations too."""
    job = site.add_job()
    job.count, job.steps, job.gpu, job.is_cancelled = 1, 1, 0, False
    job.spec, job.asked_to_cancel, site.pool.needs[job.id] = {"ms": 20000, "gang": 0, "fail": 0}, True, 0
    await site.submit(job)
    await site.cancel(job)


def draw_reading(seed, scenario):
    """Whether the store's answers name its newest version; apart from the numbers that the seed's faults go by."""
    return random.Random("%d %s" % (seed, scenario.__name__ if scenario else "")).random() < 0.5


async def play(seed, seconds, scenario, directory, per_second):
    site = Site(seed, directory, seed % 2 == 0 or scenario in BY_AGENTS)
    site.status_s = 1 if scenario in SHORT_STATUS else site.status_s
    site.evacuates = scenario not in soak_evacuation.NOT_ASKED_FOR
    site.store.names_newest = scenario not in OWN_VERSIONS_FIRST and draw_reading(seed, scenario)
    try:
        await site.start()
        await asyncio.sleep(1.5)
        clients = asyncio.ensure_future(site.clients(per_second))
        sampler = asyncio.ensure_future(site.sample())
        if scenario:
            await asyncio.sleep(2)
            await cancel_one(site)
            await scenario(site)
        else:
            await site.chaos(seconds)
        site.end_of_faults()
        await clients
        await site.cancelled_jobs_stop()
        sampler.cancel()
        return site, site.check()
    finally:
        site.stop()


def play_and_report(seed, scenario, args, is_alone):
    """Text of the report, and the promises that were broken."""
    directory = tempfile.mkdtemp(prefix="currantlane-soak-")
    given_ports.clear()
    function = next((f for f in SCENARIOS + BY_NAME if f.__name__ == scenario), None)
    site, rows = asyncio.run(play(seed, args.seconds, function, directory, args.per_second))
    bad = [promise for promise, times, violations in rows if violations or not times]
    idle = "%.1f s after the end" % site.idle_last
    if site.gone_at:
        idle += ", of gangs %.1f s after their servers were gone" % site.idle_since_gone()
    late = ", ".join("%d %s (%d)" % (all_, kind, later) for kind, (all_, later) in sorted(site.pool.late_orders.items()))
    lines = ["seed %d, %s: %d jobs, %d runs, late (by a later life): %s, %d ends lost so, the last idle %s: %s" % (
        seed, scenario or "%d faults and %d restarts" % (len(site.faults), site.restarts), len(site.jobs),
        len(site.pool.runs), late or "none", site.pool.ends_lost, idle, "FAIL: " + "; ".join(bad) if bad else "ok")]
    for promise, times, violations in rows:
        if violations or not times or is_alone:
            lines.append("  %-50s exercised %5d, %s" % (promise, times, "VIOLATED %d: %s" % (
                len(violations), violations[:3]) if violations else "ok" if times else "TOO LITTLE"))
    if bad:
        lines.append("  faults: %s" % " ".join(site.faults))
    if bad and args.keep:
        kept = os.path.join(args.keep, "%d-%s" % (seed, os.path.basename(directory)))
        os.makedirs(args.keep, exist_ok=True)
        shutil.move(directory, kept)
        with open(os.path.join(kept, "servers.log"), "w") as log:
            log.writelines(note + "\n" for note in site.pool.notes)
        lines.append("  logs: %s" % kept)
    shutil.rmtree(directory, ignore_errors=True)
    return "\n".join(lines), bad


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="play so many seeds from the first on")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--per-second", type=float, default=4, help="jobs submitted")
    parser.add_argument("--scenario", choices=[s.__name__ for s in SCENARIOS + BY_NAME] + ["all", "check"],
                        help="all but the longest, or those of make check")
    parser.add_argument("--regressions", action="store_true", help="the seeds that ever failed")
    parser.add_argument("--jobs", type=int, default=1, help="plays side by side")
    parser.add_argument("--keep", help="folder for the logs of failed plays")
    args = parser.parse_args()
    plays = []
    if args.scenario:
        plays += [(args.seed, s.__name__) for s in SCENARIOS + BY_NAME
                  if args.scenario == s.__name__ or args.scenario == "all" and s not in BY_NAME
                  or args.scenario == "check" and s in IN_CHECK]
    if args.regressions:
        plays += [(seed, None) for seed in REGRESSIONS]
    if not plays:
        plays = [(seed, None) for seed in range(args.seed, args.seed + args.seeds)]
    failed = 0
    with concurrent.futures.ProcessPoolExecutor(args.jobs) as pool:
        waiting = [pool.submit(play_and_report, seed, scenario, args, len(plays) == 1) for seed, scenario in plays]
        for future in concurrent.futures.as_completed(waiting):
            text, bad = future.result()
            print(text, flush=True)
            failed += bool(bad)
    print("%d plays, %d failed" % (len(plays), failed))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
