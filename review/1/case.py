"""A slow store while the machine that leads is taken away by a planned stop: nobody leads any more."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_in import ANSWER_S, BROKEN, COULD_NOT_RUN, FINISH_S, HELD, TROUBLE, play  # noqa: E402

SLOW_X = 50      # times as long as usual an answer takes (default of the kind)
SLOW_S = 5.0     # for so long
CALM_S = 8.0     # from the end of it to the end of the traffic
IDLE_S = 3.0     # a job may have nothing running, though it could, for so long


async def clients(site, jobs):
    while True:
        job = site.new_job(tasks=2, ms=1500)
        if await site.submit(job):
            jobs.append(job)
        await asyncio.sleep(0.8)


async def take_away(site, vm):
    """A planned stop (SIGTERM, SIGKILL after the grace time); the machine does not come back."""
    site.record.say("planned stop (SIGTERM) of %s, which leads; it leaves for good" % vm.name)
    site.vms.remove(vm)
    await vm.terminate()


def lead(site):
    row, version = site.store.value("lead", "", "scheduler")
    return "the row of the lead, version %d, names \"%s\" in term %d" % (version, row["vm"], row["term"])


async def case(site):
    say = site.record.say
    if not await site.wait_for_lead(15):
        return COULD_NOT_RUN
    jobs = []
    traffic = asyncio.ensure_future(clients(site, jobs))
    await asyncio.sleep(5)
    if TROUBLE:
        say("the store's answers take %d times as long, for %.0f s" % (SLOW_X, SLOW_S))
        site.store.held_s = ANSWER_S * SLOW_X
    leaving = asyncio.ensure_future(take_away(site, site.leader()))
    await asyncio.sleep(SLOW_S)
    site.store.held_s = 0.0
    say("the store answers as usual")
    await leaving
    if not sum(r.how == "done" for r in site.pool.runs):
        return COULD_NOT_RUN
    await asyncio.sleep(CALM_S)
    traffic.cancel()
    last = time.monotonic()
    say("end of the traffic")
    await asyncio.sleep(FINISH_S)
    idle_since = {}
    while time.monotonic() < last + FINISH_S + 2 * IDLE_S:
        now = time.monotonic()
        for job in jobs:
            runs = site.runs(job)
            is_over = sum(r.how == "done" for r in runs) == 2
            if is_over or any(not r.ended for r in runs):
                idle_since.pop(job["id"], None)
            else:
                idle_since.setdefault(job["id"], now)
        await asyncio.sleep(0.1)
    idle = [i for i, since in idle_since.items() if time.monotonic() - since > IDLE_S]
    used = sum(site.pool.in_use(s) for s in site.pool.live())
    say(lead(site))
    say("%d of 384 GPUs are in use; last start %.1f s before now" % (
        used, time.monotonic() - max(r.began for r in site.pool.runs)))
    for job in jobs:
        if job["id"] in idle:
            say("job %s: accepted %.1f s ago, %d runs, state: %s" % (
                job["id"], time.monotonic() - job["accepted"], len(site.runs(job)),
                (await site.ask("GET", job, site.vms[0]))[1]))
    say("%d of %d accepted jobs have had nothing running for over %.0f s, later than finish_s after the traffic" % (
        len(idle), len(jobs), IDLE_S))
    return BROKEN if idle else HELD


play(__file__, case)
