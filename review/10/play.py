"""The leader is stopped as planned while twenty jobs wait for busy workers; callers ask how many jobs wait."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from stand_in_2 import SERVERS, main  # noqa: E402

JOBS = 20
AGE_S = 5.0      # visible_ms + 2 s
BUSY_MS = 80000
STOPS = 3
EVERY_S = 0.02
WATCH_S = 4.0
STORE_SLOW = 4   # 4 ms an answer, 8 ms a transaction


async def ask_all(site, vm, jobs, seen, end):
    """Counts that one entry VM gives."""
    while asyncio.get_running_loop().time() < end:
        waiting = [job for job in jobs if not site.runs_of(job)]
        status, body = await site.ask("GET", "batch", "", vm=vm, quiet=True)
        if status == 200 and len(waiting) == len(jobs):
            seen.setdefault((vm.name, body["pending"]), []).append(asyncio.get_running_loop().time())
        await asyncio.sleep(EVERY_S)


async def play(site, trouble):
    site.store.slow = STORE_SLOW
    whole = {"cpu": 1000, "mem-mb": 100, "gpu": 8, "estimate-ms": BUSY_MS}
    filler = await site.submit("urgent", {"ms": BUSY_MS}, dict(whole, count=SERVERS))
    if not await site.until(lambda: len(site.open_runs(filler)) == SERVERS, 10):
        raise TimeoutError("the workers are not busy")
    jobs = [await site.submit("batch", {"ms": 2000}, dict(whole, count=1)) for _ in range(JOBS)]
    await asyncio.sleep(AGE_S + 0.5)
    violations = []
    for _ in range(STOPS):
        leader = site.leader()
        seen, now = {}, asyncio.get_running_loop().time()
        others = [vm for vm in site.vms if vm is not leader]
        asking = [asyncio.ensure_future(ask_all(site, vm, jobs, seen, now + WATCH_S)) for vm in others]
        await asyncio.sleep(0.3)
        if trouble:
            leader.send(signal.SIGTERM)
            site.note("SIGTERM to %s, which leads" % leader.name)
        await asyncio.gather(*asking)
        for (name, count), times in sorted(seen.items()):
            site.note("%s gives %d as pending, %d times, from %.2f s to %.2f s after the SIGTERM" % (
                name, count, len(times), times[0] - now - 0.3, times[-1] - now - 0.3))
            if count * 2 < JOBS:
                violations.append("MIXED: %s gives %d as pending, %d times; %d jobs accepted over %.0f s before have not "
                                  "begun" % (name, count, len(times), JOBS, AGE_S))
        if trouble:
            await site.until(lambda: leader.process.poll() is not None, 8)
            site.note("%s has ended; it starts again" % leader.name)
            leader.start()
            await asyncio.sleep(4.5)  # contact-ms, and its start
    site.note_runs([filler] + jobs)
    return violations


main(__file__, play)
