"""A slow store while jobs are cancelled at about the time of their placement: they run on to their end."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_in import (  # noqa: E402
    ANSWER_S, BROKEN, CANCEL_S, CONTACT_S, COULD_NOT_RUN, HELD, STOP_TIMEOUT_S, TROUBLE, play)

SLOW_X = 50       # times as long as usual an answer takes (default of the kind)
FILL_MS = 12000   # what fills the workers first
RUN_MS = 30000    # a job that is cancelled
JOBS = 6
BEFORE_S = 0.16   # a job is cancelled so long before its turn comes
SLOW_S = 2.5
WATCH_S = 8.0     # what should be gone is watched for so long


async def cancel(site, job, at):
    """As a client does: again, at another VM, after no answer."""
    await asyncio.sleep(at - time.monotonic())
    for i in range(4):
        vm = site.vms[(i + JOBS) % len(site.vms)]
        status, _ = await site.ask("DELETE", job, vm)
        site.record.say("DELETE %s at %s: %s" % (job["id"], vm.name, status))
        if status in (200, 410):
            job["cancelled"] = time.monotonic()
            return
        await asyncio.sleep(0.5)


async def case(site):
    say = site.record.say
    if not await site.wait_for_lead(15):
        return COULD_NOT_RUN
    await asyncio.sleep(3)
    fill = site.new_job(tasks=len(site.pool.servers), gpu=8, ms=FILL_MS)
    if not await site.submit(fill):
        return COULD_NOT_RUN
    jobs = [site.new_job(gpu=8, ms=RUN_MS) for _ in range(JOBS)]
    for job in jobs:
        if not await site.submit(job):
            return COULD_NOT_RUN
    await asyncio.sleep(2)
    began = [r.began for r in site.runs(fill)]
    if len(began) != len(site.pool.servers) or any(site.runs(job) for job in jobs):
        return COULD_NOT_RUN
    first = min(began) + FILL_MS / 1000  # the workers get free from then on
    await asyncio.sleep(first - 1.0 - time.monotonic())
    if TROUBLE:
        say("the store's answers take %d times as long, for %.0f s" % (SLOW_X, SLOW_S))
        site.store.held_s = ANSWER_S * SLOW_X
    slow_until = time.monotonic() + SLOW_S
    cancels = [asyncio.ensure_future(cancel(site, job, first - BEFORE_S)) for job in jobs]
    await asyncio.sleep(slow_until - time.monotonic())
    site.store.held_s = 0.0
    calm_from = time.monotonic()
    say("the store answers as usual")
    await asyncio.gather(*cancels)
    if not all("cancelled" in job for job in jobs):
        return COULD_NOT_RUN
    due = max(calm_from, max(job["cancelled"] for job in jobs)) + CONTACT_S + CANCEL_S + STOP_TIMEOUT_S
    await asyncio.sleep(due - time.monotonic())
    running_on = [job for job in jobs if any(not r.ended for r in site.runs(job))]
    say("%d of %d cancelled jobs run on when they should be gone" % (len(running_on), JOBS))
    await asyncio.sleep(WATCH_S)
    broken = False
    for job in jobs:
        late = [r for r in site.runs(job) if r.began > max(job["cancelled"] + CANCEL_S, calm_from + CONTACT_S)]
        state = (await site.ask("GET", job, site.vms[0]))[1]
        say("job %s: runs on when it should be gone: %s; state now: %s" % (job["id"], job in running_on, state))
        for run in site.runs(job):
            say("    %s attempt %d: began %.2f s, ended %.2f s after the cancel was acknowledged, %s" % (
                run.task, run.attempt, run.began - job["cancelled"],
                (run.ended or time.monotonic()) - job["cancelled"], run.how or "runs"))
        broken = broken or bool(late) or job in running_on
    return BROKEN if broken else HELD


play(__file__, case, vms=8, workers=6, per_rack=2)
