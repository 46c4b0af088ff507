"""Stand-in of the platform's store: versioned rows, conditional transactions, feeds, faults."""

import asyncio
import base64
import json
import random
import time

from site_http import Drop, Server

PART_S = 0.002  # a transaction holds its part for so long
OTHERS_WRITE = 0.3  # share of the answers while which others write
# Limits of the published protocol.
ROW_BYTES = 65536          # of a value
CALL_BYTES = 1000000       # of the body of a call, and of a page
TX_ENTRIES = 100
PAGE_ROWS = 500
NAME_BYTES = 200


def fault_of(document, body_bytes):
    """Why a transaction is invalid; None for a valid one."""
    entries = document["expect-rev"] + document["put"] + document["remove"]
    if body_bytes > CALL_BYTES:
        return "a call of %d bytes" % body_bytes
    if len(entries) > TX_ENTRIES:
        return "%d entries" % len(entries)
    if len({e["part"] for e in entries}) != 1:
        return "no part, or several"
    if any(len(e[name].encode()) > NAME_BYTES for e in entries for name in ("table", "part", "key")):
        return "a name is too long"
    sizes = [(len(base64.b64decode(p["value"])), p["key"]) for p in document["put"]]
    if max(sizes, default=(0, ""))[0] > ROW_BYTES:
        return "a value of %d bytes in row %s" % max(sizes)
    return None


class Store:
    def __init__(self, rng):
        self.rng = rng
        self.rows = {}  # (table, part, key) -> (value, version)
        self.log = []   # changed keys in order of their versions
        self.version = 0
        self.oldest = 0  # feeds can't go on from before
        self.changed = asyncio.Event()  # set, and replaced by a new one, at each change
        self.locks = {}
        self.mode = "up"  # up, busy, silent, reset, read-only
        self.slow = 1
        self.lose = 0.0   # share of writes that are done and not answered
        self.late = 0.0   # share of writes that are done seconds later
        self.rejected = None     # start of the keys of rows that are called invalid
        self.refused_parts = ()  # parts whose transactions get 429
        self.answers_late = 0.0  # seconds between a write and its answer
        self.reads_late = 0.0    # seconds until the rows that a call asks for are read
        self.repeats_pages = False  # a read begins at the first key, whatever key its range names
        self.ignores_ranges_of = None  # a table of which each read begins so, also with a limit
        self.sorts_bytes = False    # keys are bytes that need be no text, and sort as bytes
        self.forgets_after_lead = None  # seconds after the next win of a leader, loses the history then
        self.leads = {}   # version of a row that says who leads -> its document
        self.names_newest = False  # answers name the store's newest version as they leave, not that of their rows
        self.luck = random.Random(0)  # apart from rng, whose numbers the seeds' faults go by
        self.calls = 0
        self.doors = {}   # name of a VM -> Server, so that one VM can be turned away

    async def add_door(self, name):
        """An address of its own for each caller."""
        door = Server(lambda *args: self.handle(name, *args))
        door.mode = "up"
        await door.start()
        self.doors[name] = door
        return door.port

    async def put(self, table, key, value):
        """What the operator and the servers write."""
        await self.apply([(table, "", key, value)])

    async def apply(self, entries):
        self.version += 1
        version = self.version
        for table, part, key, value in entries:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, version)
            if table == "lead":
                self.leads[version] = json.loads(base64.b64decode(value))
                if self.leads[version]["vm"] and self.forgets_after_lead:
                    asyncio.get_running_loop().call_later(self.forgets_after_lead, self.forget_history)
                    self.forgets_after_lead = None
            self.log.append((version, table, part, key))
        self.changed.set()
        self.changed = asyncio.Event()
        return version

    def row(self, table, part, key):
        value, version = self.rows.get((table, part, key), (None, 0))
        row = {"table": table, "part": part, "key": key, "ver": version}
        if value is None:
            row["removed"] = True
        else:
            row["value"] = value
        return row

    def forget_history(self):
        self.oldest = self.version
        self.log.clear()
        for door in self.doors.values():
            door.reset_connections()

    async def handle(self, name, method, path, query, headers, document):
        self.calls += 1
        for mode in (self.mode, self.doors[name].mode):
            if mode == "busy":
                return 503, {}
            if mode == "reset":
                raise Drop
            if mode == "silent":
                await asyncio.sleep(30)
                raise Drop
        await asyncio.sleep(0.001 * self.slow + (self.reads_late if path != "/-/rows-tx" else 0))
        if path == "/-/rows-tx" and self.refuses_writes_to(document):
            status, answer = 429, {}
        elif path == "/-/rows-tx":
            fault = fault_of(document, int(headers["content-length"]))
            if self.rejected and any(p["table"] == "groups" and p["key"].startswith(self.rejected) for p in document["put"]):
                fault = "a row of " + self.rejected
            status, answer = (400, {"error": fault}) if fault else await self.transaction(document)
        elif path == "/-/rows-get":
            status, answer = self.read(query)
        elif path == "/-/rows-feed":
            status, answer = await self.feed(query)
        else:
            status, answer = 404, {}
        if path in ("/-/rows-tx", "/-/rows-get"):
            answer = await self.send(answer, self.answers_late if path == "/-/rows-tx" else 0.0)
        return status, dict(answer, **{"now-ms": int(time.monotonic() * 1000)})

    async def send(self, answer, late):
        """The version is that of some moment on the way. Others may write meanwhile, in tables that nobody here reads."""
        if not self.names_newest:
            await asyncio.sleep(late)
            return answer
        late += 0.001 * self.slow
        named_after = late * self.luck.random()
        await asyncio.sleep(named_after)
        if self.luck.random() < OTHERS_WRITE:
            self.version += 1
        answer = dict(answer, ver=self.version)
        await asyncio.sleep(late - named_after)
        return answer

    def refuses_writes_to(self, document):
        part = (document["put"] + document["remove"] + document["expect-rev"])[0]["part"]
        return self.mode == "read-only" or part in self.refused_parts

    async def transaction(self, document):
        part = (document["put"] + document["remove"] + document["expect-rev"])[0]["part"]
        if self.rng.random() < self.late:
            asyncio.ensure_future(self.transact_later(document, part))
            await asyncio.sleep(0.3)
            raise Drop
        answer = await self.transact(document, part)
        if self.rng.random() < self.lose:
            raise Drop
        return answer

    async def transact_later(self, document, part):
        await asyncio.sleep(self.rng.uniform(1, 5))
        await self.transact(document, part)

    async def transact(self, document, part):
        async with self.locks.setdefault(part, asyncio.Lock()):
            await asyncio.sleep(PART_S * self.slow)
            wanted = document["expect-rev"]
            if any(self.rows.get((w["table"], w["part"], w["key"]), (None, 0))[1] != w["ver"] for w in wanted):
                rows = [self.row(w["table"], w["part"], w["key"]) for w in wanted]
                return 412, {"rows": [r for r in rows if r["ver"]], "ver": self.version}
            version = await self.apply([(p["table"], p["part"], p["key"], p["value"]) for p in document["put"]]
                             + [(r["table"], r["part"], r["key"], None) for r in document["remove"]])
            return 200, {"ver": version}

    def read(self, query):
        if query["table"] == self.ignores_ranges_of or (self.repeats_pages and "limit" not in query):
            query = {name: text for name, text in query.items() if name != "from"}
        limit = min(int(query.get("limit", PAGE_ROWS)), PAGE_ROWS)
        order = (lambda key: key.encode("utf-8", "surrogateescape")) if self.sorts_bytes else str
        keys = sorted((k for t, p, k in self.rows if t == query["table"] and p == query.get("part", "")
                       and order(k) >= order(query.get("from", ""))), key=order)
        rows, size = [], 0
        for key in keys[:limit]:
            row = self.row(query["table"], query.get("part", ""), key)
            size += len(json.dumps(row)) + 2
            if rows and size > CALL_BYTES:
                break
            rows.append(row)
        return 200, {"rows": rows, "has-more": len(keys) > len(rows), "ver": self.version}

    async def feed(self, query):
        after = int(query["after"])
        if after < self.oldest:
            return 410, {"ver": self.version}
        deadline = asyncio.get_running_loop().time() + int(query.get("wait-ms", 0)) / 1000
        while True:
            seen = {(p, k): v for v, t, p, k in self.log if t == query["table"] and v > after}
            left = deadline - asyncio.get_running_loop().time()
            if seen or left <= 0:
                rows = [self.row(query["table"], p, k) for p, k in sorted(seen, key=seen.get)]
                for row in rows:
                    row["ver"] = row["ver"] or self.version
                return 200, {"rows": rows, "ver": self.version}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
