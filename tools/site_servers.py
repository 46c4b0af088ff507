"""Stand-in of the backend servers: fences, leases, ends, gangs, and a ledger of all runs.

What a task does stands in the job's text, a JSON object: "ms" (run time of a task),
"gang" (number of members that only work together, 0 for none), "fail" (attempts
that fail), "snapshot" (length of what it checkpoints, none when missing) and "deadly" (number of its first tasks that crash
their server as they start). The ledger is what the checks of the soak go by.
"""

import asyncio
import base64
import json
import random
import time

from site_http import Drop, Server

BEAT_S = 0.5
LEASE_MAX_MS = 6000
STOP_S = 0.05
CONTACT_S = 3.0  # contact-ms of the platform's deployments
LATE_MIN_S = 1.0  # after an order came, until one without an answer is carried out
LATE_MAX_S = 12.0
UNANSWERED_S = 2.0  # until the connection of such an order ends
POLLED_MAX_S = 0.35     # a start waits for no longer until its server is polled
STEP_S = 0.01
DEADLY_S = 0.01  # after its start a task crashes its server
CRASHED_S = 1.5  # until that server is back
GANG_WAIT_S = 3.0
EVACUATE_S = 5.0  # evacuate-ms: from then on no task starts in an evacuated domain
ZONES = 3
UP_BEFORE_MS = 3600 * 1000  # half of the servers have been up for so long
SLOW_CLOCK = 0.98  # rate of the clock of some servers
CAPACITY = {"cpu": 64000, "mem-mb": 262144, "gpu": 8}


class Run:
    """One attempt of one task on one server."""

    def __init__(self, server, task, attempt, spec, sender_fence):
        self.server, self.task, self.attempt, self.spec = server, task, attempt, spec
        self.fence = sender_fence
        self.is_before_poll = server.is_late_before_poll  # begun by such a call
        self.is_stray = self.is_before_poll and server.pool.is_over(task, attempt)
        self.began = time.monotonic()
        self.worked = 0.0
        self.ended = None
        self.how = None
        self.stopping_at = None

    @property
    def snapshot(self):
        """Differs between tasks; it ends in the task's name."""
        return self.task.rjust(self.spec.get("snapshot", 0), "0") if "snapshot" in self.spec else ""

    @property
    def group(self):
        return self.task.rsplit(".", 1)[0], self.attempt


class BackendServer:
    def __init__(self, pool, name, rack, zone, rate):
        self.pool, self.name, self.rack, self.zone, self.rate = pool, name, rack, zone, rate
        self.first_name = name
        self.capacity = CAPACITY
        self.shrunk_at, self.capacity_before = 0.0, CAPACITY
        self.http = Server(self.handle)
        self.silent = False     # answers nothing, works on
        self.is_down = False    # nothing works, late orders are lost
        self.listed_from = 0.0  # its entry in the store does not change before
        self.late = 0.0         # share of starts and stops carried out seconds later, unanswered
        self.late_holds = 0.0   # share of holds
        self.keeps = []         # paths of the next orders that are kept, unanswered, until carry_out_kept()
        self.kept = []          # arguments of carry_out_late()
        self.is_late_before_poll = False  # it carries out a late call to a former life, and has not been polled in this one
        self.lose = 0.0         # share of orders carried out and not answered
        self.loses_starts = False  # they are neither carried out nor answered
        self.restarts_at_start = False  # it starts again under its id, takes the start, and falls silent
        self.hang = False       # tasks make no progress
        self.lists_itself_at_start = False  # it takes the next start once its new entry has led to a poll
        self.refuse = False     # turns starts away, as an unhealthy server does
        self.draining = False
        self.listed = None
        self.life = 0
        self.runs = {}
        self.reborn()

    def reborn(self):
        """A new incarnation: nothing runs, nothing is known."""
        self.lose_runs()
        self.life += 1
        self.pool.note(self, "begins")
        self.born = int(time.time() * 1000)
        self.barred = {}        # task -> highest attempt that may not start any more
        self.ends = []
        self.lapsed_end = 0     # number of the last end that was listed as the lease lapsed
        self.next_end = 1
        self.is_polled = False  # a hold that came in time was taken
        self.fence = 0
        self.lease = 0
        self.event = asyncio.Event()

    def lose_runs(self):
        crashed, self.runs = list(self.runs.values()), {}
        for run in crashed:
            self.pool.close(run, "crashed")

    async def crash(self, as_another):
        """It is silent, then back as a new incarnation, under its id or under another."""
        self.silent = self.is_down = True
        self.http.reset_connections()
        self.reborn()
        former = self.name
        if as_another:
            self.name = "%s-%d" % (self.first_name, self.life)
        await asyncio.sleep(CRASHED_S)
        self.silent, self.is_down, self.listed = False, False, None
        if as_another:
            await self.pool.store.apply([("servers", "", former, None)])

    async def start_again(self, down_s, entry_s):
        """Under its id, after so long; the entry of its former life stays for so long after that."""
        port = self.http.port
        self.listed_from, self.is_down = float("inf"), True
        self.http.stop()
        self.lose_runs()
        await asyncio.sleep(down_s)
        self.reborn()
        await self.http.start(port)
        self.is_down = False
        self.listed_from = time.monotonic() + entry_s

    async def go_down(self, down_s, is_dark, as_another):
        """It refuses connections, or is dark; then it is back, idle, and its entry follows at once."""
        port, former = self.http.port, self.name
        self.silent, self.is_down = is_dark, True
        self.http.stop() if not is_dark else self.http.reset_connections()
        self.listed_from = float("inf")
        self.lose_runs()
        await asyncio.sleep(down_s)
        self.reborn()
        if as_another:
            self.name = "%s-%d" % (self.first_name, self.life)
        if not is_dark:
            await self.http.start(port)
        self.silent, self.is_down, self.listed, self.listed_from = False, False, None, 0.0
        await self.announce()
        if as_another:
            await self.pool.store.apply([("servers", "", former, None)])

    async def leave_for_good(self, is_unlisted, runs_on):
        """It crashes, or runs on as long as its leases last; its entry is removed after three beats, or stays."""
        self.silent = True
        self.http.reset_connections()
        if not runs_on:
            self.is_down = True
            self.reborn()
        if is_unlisted:
            await asyncio.sleep(3 * BEAT_S)
            await self.pool.store.apply([("servers", "", self.name, None)])

    def clock(self):
        return int((time.time() * 1000 - self.born) * self.rate) + 1

    def entry(self):
        return {"service": "pool", "addr": "127.0.0.1:%d" % self.http.port, "zone": self.zone, "version": "v1",
                "slots": 8, "state": "draining" if self.draining else "ready", "cold-left-ms": 0,
                "remaining-ms": 4000, "capacity": self.capacity, "labels": ["a", self.rack], "born": self.born, "seq": 1}

    def resize(self, gpu):
        """While it runs; what it says of itself shows it at the next beat."""
        self.shrunk_at, self.capacity_before = time.monotonic(), self.capacity
        self.capacity = dict(CAPACITY, gpu=gpu)

    def limit(self):
        """Accelerators over which no start may bring it; a smaller capacity counts a little later."""
        if time.monotonic() < self.shrunk_at + CONTACT_S + BEAT_S:
            return max(self.capacity["gpu"], self.capacity_before["gpu"])
        return self.capacity["gpu"]

    async def announce(self):
        if time.monotonic() < self.listed_from:
            return
        entry = json.dumps(self.entry())
        if entry != self.listed:
            self.listed = entry
            await self.pool.store.put("servers", self.name, base64.b64encode(entry.encode()).decode())

    async def handle(self, method, path, _query, headers, document):
        if self.silent:
            await asyncio.sleep(30)
            raise Drop
        if self.is_down:
            raise Drop
        if headers.get("x-currantlane-target-instance", self.name) != self.name:
            return 421, {}
        order = {"/-/run-start": self.start, "/-/run-stop": self.stop, "/-/hold": self.take_hold}.get(path)
        if not order:
            return 404, {}
        if self.lists_itself_at_start and order == self.start:
            self.lists_itself_at_start, self.listed_from = False, 0.0
            await self.announce()
            await self.until_polled()
        if path in self.keeps:
            self.keeps.remove(path)
            self.kept.append((path, order, document, self.name, self.life))
            await asyncio.sleep(UNANSWERED_S)
            raise Drop
        if path == "/-/hold":
            if self.late_holds and self.pool.late_rng.random() < self.late_holds:
                await self.postpone(path, order, document)
            return await self.hold(document)
        if self.refuse and order == self.start:
            return 503, {}
        if self.loses_starts and order == self.start:
            await asyncio.sleep(2)
            raise Drop
        if self.restarts_at_start and order == self.start:
            self.restarts_at_start = False
            self.reborn()
            self.silent = True
            order(document)
            entry = json.dumps(self.entry())
            await self.pool.store.put("servers", self.name, base64.b64encode(entry.encode()).decode())
            self.http.reset_connections()
            raise Drop
        if self.pool.rng.random() < self.late:
            await self.postpone(path, order, document)
        answer = order(document)
        if self.pool.rng.random() < self.lose:
            raise Drop
        return answer

    async def until_polled(self):
        for _ in range(int(POLLED_MAX_S / STEP_S)):
            if self.is_polled:
                break
            await asyncio.sleep(STEP_S)

    async def postpone(self, path, order, document):
        """It gets no answer, and is carried out late."""
        asyncio.get_running_loop().call_later(self.pool.late_rng.uniform(LATE_MIN_S, LATE_MAX_S), self.carry_out_late,
                                              path, order, document, self.name, self.life)
        await asyncio.sleep(UNANSWERED_S)
        raise Drop

    def carry_out_kept(self):
        """By whichever life is up, as all late orders."""
        kept, self.kept = self.kept, []
        for order in kept:
            self.carry_out_late(*order)

    def carry_out_late(self, path, order, document, name, life):
        """By whichever life is up under the id that the order names."""
        if self.is_down or name != self.name:
            return
        counts = self.pool.late_orders.setdefault(path.rsplit("/", 1)[1], [0, 0])
        counts[0] += 1
        counts[1] += life != self.life
        was_polled = self.is_polled
        self.is_late_before_poll = life != self.life and not was_polled
        if order == self.take_hold:
            answer = 200 if self.take_hold(document, acknowledges=life == self.life or was_polled) else 409
        else:
            answer, _ = order(document)
        self.is_late_before_poll = False
        self.pool.note(self, "%s for life %d carried out late, %s: %d, %s" % (
            path, life, "polled" if was_polled else "not polled yet", answer, document))

    def reply(self, status, **more):
        """Only lists of runs name the life that answers."""
        life = {"born": self.born} if "running" in more else {}
        return status, dict(more, **{"clock-ms": self.clock()}, **life)

    def is_fenced_off(self, document):
        if document["fence"] < self.fence:
            return True
        self.fence = document["fence"]
        return False

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + LEASE_MAX_MS))

    def start(self, document):
        task, attempt = document["task"], document["attempt"]
        if self.is_fenced_off(document):
            return self.reply(409, reason="fence")
        if document["deadline-ms"] <= self.clock():
            return self.reply(409, reason="late")
        self.extend(document["deadline-ms"])
        run = self.runs.get(task)
        if run and run.attempt == attempt:
            return self.reply(200)
        if attempt <= self.barred.get(task, 0):
            return self.reply(409, reason="old")
        run = Run(self, task, attempt, json.loads(document["spec"]), document["fence"])
        self.runs[task] = run
        self.pool.began(run)
        if int(task.rsplit(".", 1)[1]) < run.spec.get("deadly", 0):
            asyncio.get_running_loop().call_later(DEADLY_S, self.crash_under, self.life)
        return self.reply(200)

    def crash_under(self, life):
        if life == self.life:
            asyncio.ensure_future(self.crash(self.pool.rng.random() < 0.5))

    def stop(self, document):
        if self.is_fenced_off(document):
            return self.reply(409, reason="fence")
        task, attempt = document["task"], document["attempt"]
        self.barred[task] = max(self.barred.get(task, 0), attempt)
        self.pool.over.add((task, attempt))
        run = self.runs.get(task)
        if run and run.attempt <= attempt and not run.stopping_at:
            run.stopping_at = time.monotonic() + STOP_S
        return self.reply(200)

    def end(self, run, how):
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.attempt)
        if self.runs.get(run.task) is run:
            del self.runs[run.task]
        self.ends.append([self.next_end, run.task, run.attempt, how, run.snapshot])
        self.next_end += 1
        self.pool.close(run, how)
        self.event.set()

    def take_hold(self, document, acknowledges=True):
        """Whether it is taken."""
        if self.is_fenced_off(document):
            return False
        seen = [e for e in self.ends if e[0] <= document["last-seen"]]
        for end in seen if acknowledges else []:
            self.pool.noted(end[1], end[2], end[3], end[0] <= self.lapsed_end)
        self.pool.ends_lost += 0 if acknowledges else len(seen)
        self.ends = [e for e in self.ends if e[0] > document["last-seen"]]
        if "deadline-ms" in document:
            self.extend(document["deadline-ms"])
        return True

    async def hold(self, document):
        if not self.take_hold(document):
            return self.reply(409, reason="fence")
        self.is_polled = True
        born = self.born
        if not self.ends and document.get("wait-ms"):
            self.event.clear()
            try:
                await asyncio.wait_for(self.event.wait(), document["wait-ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        if self.silent or born != self.born:
            raise Drop
        running = [[r.task, r.attempt, r.snapshot, r.percent()] for r in self.runs.values()]
        self.pool.over.update((task, attempt) for _, task, attempt, _, _ in self.ends[:500])
        return self.reply(200, running=running, ended=self.ends[:500])

    def step(self, passed):
        if self.clock() > self.lease:
            self.lapsed_end = self.next_end - 1
            for run in list(self.runs.values()):
                self.end(run, "lapsed")
        for run in list(self.runs.values()):
            if run.stopping_at and time.monotonic() >= run.stopping_at:
                self.end(run, "stopped")
            elif not self.hang:
                self.pool.work(run, passed)


def percent(run):
    return min(100, int(100 * run.worked * 1000 / max(run.spec["ms"], 1)))


Run.percent = percent


class Pool:
    """All backend servers, and the ledger of what ran on them."""

    def __init__(self, rng, *args):
        """Arguments: rng, late_rng, store, count, per_rack. The scripts under review/ pass no late_rng."""
        if len(args) == 3:
            args = (random.Random(0), *args)
        self.rng = rng
        self.late_rng, self.store, count, per_rack = args  # late_rng: of late orders
        self.notes = []         # of late orders, restarts and runs
        self.servers = [BackendServer(self, "i-%02d" % i, "r%d" % (i // per_rack), "z%d" % (i % ZONES),
                                      SLOW_CLOCK if i % 4 == 0 else 1.0) for i in range(count)]
        for server in self.servers[1::2]:
            server.born -= UP_BEFORE_MS
        self.runs = []          # every Run ever begun
        self.open = {}          # (group, attempt) -> runs under way
        self.done_noted = {}    # task -> time at which its end as done was acknowledged
        self.over = set()       # (task, attempt) that was stopped or listed as ended, in whichever life
        self.failed_noted = set()  # (task, attempt) whose end as failed was acknowledged
        self.starts_over_capacity = []
        self.strays_over_capacity = []  # with a stray run on the server
        self.late_orders = {}   # kind -> [carried out late, of these by a later life than the one that got them]
        self.ends_lost = 0      # removed by holds for a former life, before its next one could be known
        self.evacuations = []   # [failure domain, when the request was acknowledged, when it ended]
        self.needs = {}         # id of a job -> accelerators of a task

    async def start(self):
        for server in self.servers:
            await server.http.start()
            await server.announce()
        asyncio.ensure_future(self.beat())
        asyncio.ensure_future(self.tick())

    def is_over(self, task, attempt):
        """The leader may have given the task to another server by now."""
        return (task, attempt) in self.over or any(r.task == task and r.attempt > attempt for r in self.runs)

    def note(self, server, what):
        self.notes.append("%d %s life %d: %s" % (time.time() * 1e6, server.name, server.life, what))

    def began(self, run):
        self.note(run.server, "%s attempt %d begins" % (run.task, run.attempt))
        self.runs.append(run)
        self.open.setdefault(run.group, []).append(run)
        used = self.in_use(run.server)
        if used > run.server.limit():
            is_stray = any(r.is_stray for r in run.server.runs.values())
            (self.strays_over_capacity if is_stray else self.starts_over_capacity).append((run.task, run.server.name, used))

    def close(self, run, how):
        self.note(run.server, "%s attempt %d ends, %s" % (run.task, run.attempt, how))
        run.ended, run.how = time.monotonic(), how
        members = self.open.get(run.group, [])
        if run in members:
            members.remove(run)
        if run.spec["gang"] and how != "done":
            for other in list(members):
                if not other.ended and other.server.runs.get(other.task) is other and not other.server.silent:
                    other.server.end(other, "broken")

    def noted(self, task, attempt, how, has_lapsed):
        """A failure counts unless the server's lease lapsed between the end and its acknowledgement."""
        if how == "done":
            self.done_noted.setdefault(task, time.monotonic())
        elif how == "failed" and not has_lapsed:
            self.failed_noted.add((task, attempt))

    def work(self, run, passed):
        members = self.open.get(run.group, [])
        if run.spec["gang"] and len(members) < run.spec["gang"]:
            if time.monotonic() - run.began > GANG_WAIT_S:
                run.server.end(run, "alone")
            return
        if any(r.spec.get("image") == run.spec.get("slowed-by", "") for r in run.server.runs.values()):
            passed /= 2
        run.worked += min(passed, time.monotonic() - run.began)  # it may have begun within the tick
        if run.worked * 1000 < run.spec["ms"]:
            return
        if run.attempt <= run.spec["fail"]:
            run.server.end(run, "failed")
        elif not run.spec["gang"]:
            run.server.end(run, "done")
        elif all(m.worked * 1000 >= m.spec["ms"] for m in members):
            for member in list(members):
                member.server.end(member, "done")

    async def evacuate(self, zone, value=b""):
        """The operator's request; it counts from the store's answer on."""
        await self.store.put("op", "evacuate/" + zone, base64.b64encode(value).decode())
        self.evacuations.append([zone, time.monotonic(), float("inf")])

    async def take_back(self, zone):
        """The request ends as the row may be gone."""
        for evacuation in self.evacuations:
            if evacuation[0] == zone:
                evacuation[2] = min(evacuation[2], time.monotonic())
        await self.store.apply([("op", "", "evacuate/" + zone, None)])

    def is_evacuated(self, server):
        return any(zone == server.zone and until == float("inf") for zone, _, until in self.evacuations)

    def starts_in_evacuated(self):
        """A server must not carry out a start whose deadline has passed, so late ones count too."""
        return ["%s on %s, %.2f s after the request" % (r.task, r.server.name, r.began - since)
                for r in self.runs for zone, since, until in self.evacuations
                if r.server.zone == zone and since + EVACUATE_S < r.began < until]

    def in_use(self, server):
        return sum(self.needs.get(r.task[:16], 1) for r in server.runs.values())

    def live(self):
        """Servers that take work."""
        return [s for s in self.servers if not s.silent and not s.draining]

    async def tick(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for server in self.servers:
                server.step(now - last)
            last = now

    async def beat(self):
        while True:
            await asyncio.sleep(BEAT_S)
            for server in self.servers:
                if not server.silent:
                    await server.announce()
