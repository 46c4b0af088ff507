"""A worker starts again under its id, takes a task, and is lost for good before its first entry; the task never runs again."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_in_2 import SERVERS, main  # noqa: E402

RESTART_S = 0.3             # the worker is gone for so long
SECOND_LIFE_S = 1.0         # and lost so long after it has taken a task; its first beat was due within 1.5 s
HEARTBEAT_S = 1.5
FINISH_S = 14.0             # finish_s
IDLE_S = 3.0
WATCH_S = 40.0
RESTARTS = os.environ.get("RESTARTS", "1") != "0"  # 0: the worker is lost for good, and did not start again before


async def lose(site, server):
    server.silent = True
    server.http.reset_connections()
    server.http.stop()
    server.reborn()
    site.note("worker %s is lost for good" % server.name)
    await asyncio.sleep(3 * HEARTBEAT_S)
    await site.store.apply([("servers", "", server.name, None)])
    site.note("the entry of worker %s is removed after three heartbeats of silence" % server.name)


async def restart(site, server):
    """The entry of its former life stays until its first beat, which it does not live to see."""
    former = dict(server.entry())
    port = server.http.port
    server.http.stop()
    site.note("worker %s goes down; it ran %d tasks, and its clock was at %d ms" % (
        server.name, len(server.runs), server.clock()))
    await asyncio.sleep(RESTART_S)
    server.reborn()
    server.entry = lambda: former
    await server.http.start(port)
    site.note("worker %s is up again under its id; its clock is at %d ms" % (server.name, server.clock()))


async def play(site, trouble):
    server = site.pool.servers[1]
    if trouble and RESTARTS:
        await restart(site, server)
    job = await site.submit("urgent", {"ms": 2500}, {
        "count": SERVERS, "cpu": 1000, "mem-mb": 100, "gpu": 8, "estimate-ms": 2500})
    if not await site.until(lambda: len(site.open_runs(job)) == SERVERS, 10):
        raise TimeoutError("not all tasks run")
    if trouble:
        await asyncio.sleep(SECOND_LIFE_S)
        pending = asyncio.ensure_future(lose(site, server))
    end = time.monotonic() + WATCH_S
    finish = time.monotonic() + FINISH_S
    idle_since, longest, state = None, 0.0, None
    while time.monotonic() < end:
        await asyncio.sleep(0.3)
        status, body = await site.ask("GET", "urgent", job, quiet=True)
        if body and body.get("state") != state:
            state = body["state"]
            site.note("GET: %s %s" % (status, body))
        if state in ("complete", "failed", "cancelled"):
            break
        now = time.monotonic()
        running = [r for r in site.open_runs(job) if not r.server.silent]
        idle_since = (idle_since or now) if not running else None
        if idle_since:
            longest = max(longest, now - max(idle_since, finish))
    if trouble:
        await pending
    site.note("nothing of the job ran for the last %.1f s; %d workers are up and free" % (
        time.monotonic() - idle_since if idle_since else 0.0,
        len([s for s in site.pool.servers if not s.silent and not s.runs])))
    site.note_runs([job])
    if longest > IDLE_S:
        return ["LOST: %.0f s after the end of the traffic the job had nothing running for %.1f s, while a task's turn had "
                "come and all other workers were free" % (FINISH_S, longest)]
    return [] if state == "complete" else ["LOST: the job isn't complete: %s" % state]


main(__file__, play)
