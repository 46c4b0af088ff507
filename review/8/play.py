"""Another writer has put entries among those of the workers; then the machine that leads is stopped as planned."""

import asyncio
import base64
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_in_2 import SERVERS, main  # noqa: E402

ENTRIES = 20
ENTRY_BYTES = 60000   # row-bytes is 65,536
KEY = os.environ.get("KEY", "r&d/scanner-%02d")
JOBS = 10
FINISH_S = 14.0
IDLE_S = 3.0
WATCH_S = 40.0


async def another_writer(site):
    """Bytes that can't be read; they name no worker."""
    for i in range(ENTRIES):
        value = base64.b64encode(site.rng.randbytes(ENTRY_BYTES)).decode()
        await site.store.put("servers", KEY % i, value)
        await asyncio.sleep(0.05)
    site.note("another writer has put %d entries of %d bytes each: %s and on" % (ENTRIES, ENTRY_BYTES, KEY % 0))


async def play(site, trouble):
    step = {"count": 1, "cpu": 1000, "mem-mb": 100, "gpu": 1, "estimate-ms": 1000}
    before = await site.submit("batch", {"ms": 1000}, step)
    if trouble:
        await another_writer(site)
    await site.until(lambda: [r for r in site.runs_of(before) if r.how == "done"], 10)
    leader = site.leader()
    leader.send(signal.SIGTERM)
    site.note("SIGTERM to %s, which leads" % leader.name)
    await site.until(lambda: leader.process.poll() is not None, 8)
    leader.start()
    site.note("%s has ended, and starts again" % leader.name)
    jobs = [await site.submit("batch", {"ms": 1000}, step) for _ in range(JOBS)]
    loop = asyncio.get_running_loop()
    accepted, longest, states = loop.time(), 0.0, {}
    while loop.time() < accepted + WATCH_S:
        await asyncio.sleep(0.5)
        never = [job for job in jobs if not site.runs_of(job)]
        if not never:
            break
        longest = max(longest, loop.time() - accepted - FINISH_S)
    for _ in range(40):
        states = {job: (await site.ask("GET", "batch", job, quiet=True))[1] for job in jobs}
        if never or all(body == {"state": "complete"} for body in states.values()):
            break
        await asyncio.sleep(0.5)
    for job, body in states.items():
        site.note("GET /batch/%s: %s" % (job, body))
    site.note("%s leads by the store's row; %d of %d workers run nothing" % (
        site.leader().name if site.leader() else "nobody", len([s for s in site.pool.servers if not s.runs]), SERVERS))
    site.note_runs([before] + jobs)
    if never and longest > IDLE_S:
        return ["LOST: %d of %d accepted jobs have not begun %.0f s after the end of the traffic, with all workers free" % (
            len(never), JOBS, FINISH_S + longest)]
    return [] if all(body == {"state": "complete"} for body in states.values()) else ["LOST: not all jobs are complete"]


main(__file__, play)
