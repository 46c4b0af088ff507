"""A worker falls silent just before eight jobs are given to it, while all others are busy; callers ask how many jobs wait."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_in_2 import SERVERS, main  # noqa: E402

JOBS = 8
VISIBLE_S = 3.0       # visible_ms
COUNT_AGE_S = 2.0     # "visible_ms + 2 s"
BUSY_MS = 40000
WATCH_S = 6.0


async def play(site, trouble):
    whole = {"cpu": 1000, "mem-mb": 100, "gpu": 8, "estimate-ms": BUSY_MS}
    filler = await site.submit("urgent", {"ms": BUSY_MS}, dict(whole, count=SERVERS - 1))
    if not await site.until(lambda: len(site.open_runs(filler)) == SERVERS - 1, 10):
        raise TimeoutError("the workers are not busy")
    idle = next(s for s in site.pool.servers if not s.runs)
    if trouble:
        await asyncio.sleep(2.5)
        idle.silent = True
        idle.http.reset_connections()
        site.note("worker %s, which is idle, falls silent" % idle.name)
    else:
        # no worker falls silent; the last one is busy too, so that the jobs wait
        last = await site.submit("urgent", {"ms": BUSY_MS}, dict(whole, count=1))
        await site.until(lambda: site.open_runs(last), 10)
        await asyncio.sleep(2.5)
    jobs = [await site.submit("batch", {"ms": 2000}, {
        "count": 1, "cpu": 1000, "mem-mb": 100, "gpu": 1, "estimate-ms": 2000}) for _ in range(JOBS)]
    await asyncio.sleep(VISIBLE_S + COUNT_AGE_S + 0.2)
    counts, violations = 0, []
    for _ in range(int(WATCH_S)):
        for vm in site.vms:
            waiting = [job for job in jobs if not site.runs_of(job)]
            status, body = await site.ask("GET", "batch", "", vm=vm)
            still = [job for job in waiting if not site.runs_of(job)]
            if status == 200 and still:
                counts += 1
                if body["pending"] * 2 < len(still):
                    violations.append("MIXED: %s gives %d jobs as pending; %d accepted over %.0f s before have not begun" % (
                        vm.name, body["pending"], len(still), VISIBLE_S + COUNT_AGE_S))
        await asyncio.sleep(1)
    for job in jobs:
        await site.ask("GET", "batch", job)
    site.note("%d counts were asked for while jobs waited" % counts)
    site.note_runs([filler] + jobs)
    if not counts:
        raise TimeoutError("no job waited")
    return violations


main(__file__, play)
