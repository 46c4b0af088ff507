"""Three idle workers of 18 crash at once and come back one after the other; a job that never ran on any is shown as failed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_in_2 import main  # noqa: E402

WORKERS = 18
CRASHED = {1: 1.0, 2: 2.0, 3: 3.0}  # worker -> seconds until it is back, under a new id
HEARTBEAT_S = 1.5
BUSY_MS = 30000
WATCH_S = 30


async def crash(site, server, seconds):
    """It is gone, and then back with a new id at its address, idle."""
    port, former = server.http.port, server.name
    silent = server.announce
    server.announce = lambda: asyncio.sleep(0)
    server.http.stop()
    site.note("worker %s crashes; it ran %d tasks" % (former, len(server.runs)))
    await asyncio.sleep(seconds)
    server.reborn()
    server.name = former + "-2"
    await server.http.start(port)
    server.announce, server.listed = silent, None
    site.note("the worker at the address of %s is back as %s" % (former, server.name))
    await server.announce()
    await asyncio.sleep(max(3 * HEARTBEAT_S - seconds, 0))
    await site.store.apply([("servers", "", former, None)])


async def play(site, trouble):
    whole = {"cpu": 1000, "mem-mb": 100, "gpu": 8, "estimate-ms": BUSY_MS}
    idle = [site.pool.servers[i] for i in CRASHED]
    # the others are busy; tasks that end soon keep the three free
    filler = await site.submit("urgent", {"ms": BUSY_MS}, dict(whole, count=WORKERS))
    await site.until(lambda: len(site.open_runs(filler)) == WORKERS, 10)
    for server in idle:
        for run in list(server.runs.values()):
            server.end(run, "done")
    await asyncio.sleep(3)
    pending = [asyncio.ensure_future(crash(site, site.pool.servers[i], s)) for i, s in CRASHED.items()] if trouble else []
    await asyncio.sleep(0.2)
    job = await site.submit("urgent", {"ms": 2000}, dict(whole, count=1, **{"estimate-ms": 2000}))
    state = None
    for _ in range(int(WATCH_S / 0.2)):
        status, body = await site.ask("GET", "urgent", job, quiet=True)
        if body and body.get("state") != state:
            state = body["state"]
            site.note("GET: %s %s" % (status, body))
        if state in ("complete", "failed", "cancelled"):
            break
        await asyncio.sleep(0.2)
    for task in pending:
        await task
    runs = site.runs_of(job)
    site.note("workers began %d runs of the job" % len(runs))
    site.note_runs([job])
    if state == "failed" and not [r for r in runs if r.how == "failed"]:
        return ["LOST: the job is shown as failed; no run of it ended failed, and %d workers crashed under its task" % len(
            [r for r in runs if r.how == "crashed"])]
    return [] if state == "complete" else ["LOST: the job isn't complete: %s" % state]


main(__file__, play, WORKERS)
