"""Workers that are idle start again under their ids; a job starts on them before their entries change."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_in_2 import SERVERS, main  # noqa: E402

ROUNDS = 4
RESTART_S = 0.3  # the worker is gone for so long
ENTRY_S = 1.0    # then its first entry reaches the store, within heartbeat-ms (1.5 s)


async def restart(site, server):
    """One worker: it is gone, then serves as a new life under its id; its entry follows with its next heartbeat."""
    site.note("worker %s goes down; it ran %d tasks" % (server.name, len(server.runs)))
    port = server.http.port
    server.http.stop()
    await asyncio.sleep(RESTART_S)
    server.reborn()
    server.listed = "not yet"
    entry, server.entry = server.entry, server.old_entry  # until then the entry of its former life stays
    await server.http.start(port)
    site.note("worker %s is up again, born %d" % (server.name, server.born))

    async def list_it():
        await asyncio.sleep(ENTRY_S)
        server.entry = entry
        site.note("the entry of worker %s names its new life" % server.name)
    return asyncio.ensure_future(list_it())


async def play(site, trouble):
    jobs = []
    for number in range(ROUNDS):
        server = site.pool.servers[(5 * number + 1) % SERVERS]
        former = dict(server.entry())
        server.old_entry = lambda former=former: former
        pending = await restart(site, server) if trouble else None
        # one task on each worker but one
        jobs.append(await site.submit("urgent", {"ms": 2500}, {
            "count": SERVERS - 1, "cpu": 1000, "mem-mb": 100, "gpu": 8, "estimate-ms": 2500}))
        await site.until(lambda: all(r.ended for r in site.runs_of(jobs[-1])) and len({
            r.task for r in site.runs_of(jobs[-1]) if r.how == "done"}) == SERVERS - 1, 15)
        if pending:
            await pending
        await asyncio.sleep(1.5)
        await site.ask("GET", "urgent", jobs[-1])
    site.note_runs(jobs)
    return ["TWICE: %s ran as attempt %d on %s and as attempt %d on %s at the same time for %.0f ms, both up" % (
        a.task, a.attempt, a.server.name, b.attempt, b.server.name,
        1000 * (min(a.ended or 1e9, b.ended or 1e9) - b.began)) for a, b in site.overlaps()]



main(__file__, play)
