"""Three workers crash, one after the other, each while it runs the same task of an accepted job."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_in_2 import main  # noqa: E402

CRASHES = 3
AGE_S = 1.3  # the task has run for so long


async def play(site, trouble):
    job = await site.submit("batch", {"ms": 6000}, {
        "count": 1, "cpu": 1000, "mem-mb": 100, "gpu": 1, "estimate-ms": 6000})
    for _ in range(CRASHES if trouble else 0):
        if not await site.until(lambda: site.open_runs(job), 20):
            break
        await asyncio.sleep(AGE_S)
        server = site.open_runs(job)[0].server
        site.note("worker %s crashes" % server.name)
        await server.crash(True)
    seen = None
    for _ in range(100):
        status, body = await site.ask("GET", "batch", job, quiet=True)
        if body and body.get("state") != seen:
            seen = body.get("state")
            site.note("GET: %s %s" % (status, body))
        if seen in ("failed", "complete", "cancelled"):
            break
        await asyncio.sleep(0.3)
    site.note_runs([job])
    failed = [r for r in site.runs_of(job) if r.how == "failed"]
    if seen == "failed" and not failed:
        return ["LOST: the job is shown as failed; 0 of its runs ended failed, and the queue's attempts are 3"]
    return [] if seen == "complete" else ["LOST: the job isn't complete: %s" % seen]



main(__file__, play)
