"""Workers crash one after the other under a job: it is shown as failed, though none of its runs has ended so."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_in import BROKEN, COULD_NOT_RUN, HELD, TROUBLE, play  # noqa: E402

CRASHES = 6        # at most
AFTER_S = 3.0      # a worker crashes so long after it has begun a run of the job
RUN_MS = 12000
WATCH_S = 100.0


async def crash(site, job):
    """One worker of 8 at a time, that on which the job runs; it is back as another one after 1.5 s."""
    crashed = 0
    while crashed < CRASHES:
        await asyncio.sleep(0.1)
        for run in site.runs(job):
            if not run.ended and time.monotonic() - run.began > AFTER_S:
                crashed += 1
                site.record.say("worker %s crashes, %.1f s after it began attempt %d of the job" % (
                    run.server.name, time.monotonic() - run.began, run.attempt))
                await run.server.crash(True)
                break


async def case(site):
    say = site.record.say
    if not await site.wait_for_lead(15):
        return COULD_NOT_RUN
    await asyncio.sleep(3)
    job = site.new_job(ms=RUN_MS)
    if not await site.submit(job):
        return COULD_NOT_RUN
    crashes = asyncio.ensure_future(crash(site, job)) if TROUBLE else None
    until, state = time.monotonic() + WATCH_S, None
    while time.monotonic() < until and state not in ("complete", "failed", "cancelled"):
        await asyncio.sleep(0.5)
        status, answer = await site.ask("GET", job, site.rng.choice(site.vms))
        if status == 200 and answer["state"] != state:
            state = answer["state"]
            say("GET %s: %s" % (job["id"], state))
    if crashes:
        crashes.cancel()
    for run in site.runs(job):
        say("attempt %d on %s: ran %.1f s, %s" % (
            run.attempt, run.server.first_name, (run.ended or time.monotonic()) - run.began, run.how or "runs"))
    failed = sum(run.how == "failed" for run in site.runs(job))
    say("the queue has 3 attempts; %d runs have ended as failed; the job is shown as %s" % (failed, state))
    return BROKEN if state == "failed" and failed < 3 else HELD


play(__file__, case, workers=8, per_rack=4)
