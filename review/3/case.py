"""Transactions of submits are done late: jobs whose cancel was answered 410 before that start and run."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from stand_in import (  # noqa: E402
    BROKEN, CANCEL_S, CONTACT_S, COULD_NOT_RUN, Drop, HELD, STOP_TIMEOUT_S, TROUBLE, play)

SHARE = 0.3           # of the writes, the default of the kind
LATE_S = (1.0, 6.0)   # what is lost is done so much later
LOST_S = 3.0          # for so long
JOBS = 24             # submitted meanwhile
WAIT_S = 1.0          # a client waits so long for its answer, and says so
RUN_MS = 60000


def lose_answers(site):
    """A share of the transactions is done later and gets no answer; their connections deliver nothing further."""
    store = site.store
    transaction = store.transaction

    async def late(document):
        await asyncio.sleep(site.rng.uniform(*LATE_S))
        keys = [p["key"] for p in document["put"] if p["table"] == "jobs"]
        status, _ = await store.transact(document, document["put"][0]["part"])
        if keys:
            site.record.say("the store does the late transaction of job %s: %d" % (keys[0], status))

    async def lossy(document):
        if site.rng.random() >= SHARE:
            return await transaction(document)
        asyncio.ensure_future(late(document))
        await asyncio.sleep(30)
        raise Drop

    store.transaction = lossy
    return lambda: setattr(store, "transaction", transaction)


async def client(site, job):
    """It waits for its answer for WAIT_S. Without an acceptance it cancels, until that is acknowledged."""
    vms = site.rng.sample(site.vms, 2)
    job["answer"], _ = await site.ask("POST", job, vms[0], timeout=WAIT_S)
    site.record.say("POST %s at %s: %s" % (job["id"], vms[0].name, job["answer"]))
    while job["answer"] != 200 and "cancelled" not in job:
        status, _ = await site.ask("DELETE", job, vms[1])
        site.record.say("DELETE %s at %s: %s" % (job["id"], vms[1].name, status))
        if status in (200, 410):
            job["cancelled"] = time.monotonic()
        else:
            await asyncio.sleep(0.3)


async def case(site):
    say = site.record.say
    if not await site.wait_for_lead(15):
        return COULD_NOT_RUN
    await asyncio.sleep(4)
    if TROUBLE:
        say("%d %% of the writes are done %.0f to %.0f s later and not answered, for %.0f s" % (
            SHARE * 100, *LATE_S, LOST_S))
    restore = lose_answers(site) if TROUBLE else lambda: None
    until = time.monotonic() + LOST_S
    jobs, clients = [], []
    for _ in range(JOBS):
        jobs.append(site.new_job(ms=RUN_MS))
        clients.append(asyncio.ensure_future(client(site, jobs[-1])))
        await asyncio.sleep(LOST_S / JOBS)
    await asyncio.sleep(until - time.monotonic())
    restore()
    lost_until = time.monotonic()
    say("all writes are done and answered at once")
    await asyncio.gather(*clients)
    # also the last late write is over for contact-ms before the time begins that a cancelled job has
    await asyncio.sleep(lost_until + LATE_S[1] + CONTACT_S + CANCEL_S + STOP_TIMEOUT_S + 1.0 - time.monotonic())
    broken = False
    for job in jobs:
        if "cancelled" not in job:
            continue
        for run in site.runs(job):
            say("job %s, POST: %s: began %.2f s after the cancel was acknowledged and %.2f s after the disruption, %s" % (
                job["id"], job["answer"], run.began - job["cancelled"], run.began - lost_until, run.how or "runs on"))
            broken = broken or not run.ended or (
                run.began > max(job["cancelled"] + CANCEL_S, lost_until + CONTACT_S))
    cancelled = [job for job in jobs if "cancelled" in job]
    say("%d of %d jobs were cancelled, %d of them were started" % (
        len(cancelled), JOBS, sum(bool(site.runs(job)) for job in cancelled)))
    return BROKEN if broken else HELD


play(__file__, case)
