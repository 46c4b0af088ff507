"""Scenarios of the soak in which the operator evacuates failure domains, alone and during faults.

The promise that no task starts there is checked in soak.py, from what backend servers see, while the
clients go on. Each scenario lasts so much longer than the bound that tasks would start there."""

import asyncio
import base64
import signal
import time

from site_servers import EVACUATE_S, ZONES

AFTER_S = 4.0       # for so long after the bound tasks would start in the domain
USED_AGAIN_S = 4.0  # from the end of an evacuation until the domain has work: the feed, and a round
WATCH_S = 0.05
QUEUES = 2000
SMALL_LINK = 2.0e5  # bytes a second; the configuration takes longer than 2 s


async def until(condition, seconds):
    end = time.monotonic() + seconds
    while not condition() and time.monotonic() < end:
        await asyncio.sleep(WATCH_S)
    return condition()


async def submit_whole(site, count, ms):
    """A job whose tasks need whole servers."""
    job = site.add_job()
    job.count, job.steps, job.gpu, job.is_cancelled, job.route = count, 1, 8, False, "urgent"
    job.spec, site.pool.needs[job.id] = {"ms": ms, "gang": 0, "fail": 0}, 8
    await site.submit(job)
    site.following.append(asyncio.ensure_future(site.watch(job)))
    return job


def zone_of(vm):
    return "z%d" % (int(vm.name[-1]) % ZONES)


def other_zone(site):
    """One whose loss does not take the leader along."""
    return "z%d" % ((int(site.leader().name[-1]) + 1) % ZONES)


def servers_of(site, zone):
    return [s for s in site.pool.servers if s.zone == zone]


def runs_in(site, zone, since):
    return [r for r in site.pool.runs if r.server.zone == zone and r.began > since]


async def take_back(site, *zones):
    """The domains are used again soon."""
    since = time.monotonic()
    for zone in zones:
        await site.pool.take_back(zone)
    job = await submit_whole(site, len(site.pool.servers), 300)
    for zone in zones:
        used = await until(lambda: runs_in(site, zone, since), USED_AGAIN_S)
        site.expected.append(("%s is used again within %.0f s" % (zone, USED_AGAIN_S), bool(used)))
    await asyncio.wait([asyncio.ensure_future(site.watch(job))], timeout=10)


async def evacuations(site, seconds, rng):
    """Of one or more domains at a time, beside the other faults that are drawn."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        await asyncio.sleep(rng.uniform(0, 4))
        zones = rng.sample(["z%d" % i for i in range(ZONES)], rng.choice([1, 1, 1, 2, ZONES]))
        for zone in zones:
            await site.pool.evacuate(zone, rng.randbytes(rng.randint(0, 20)))
        await asyncio.sleep(rng.uniform(0.5, 10))
        for zone in zones:
            await site.pool.take_back(zone)


async def leader_dies_as_a_domain_is_evacuated(site):
    """The next leader had not read the request."""
    zone = other_zone(site)
    await site.pool.evacuate(zone)
    await site.kill(site.leader())
    await asyncio.sleep(EVACUATE_S + AFTER_S)
    await take_back(site, zone)


async def leaders_change_during_an_evacuation(site):
    """A VM that had not been up as the domain was evacuated took the lead."""
    vm = next(vm for vm in site.vms if vm is not site.leader())
    vm.send(signal.SIGKILL)
    vm.process.wait()
    zone = other_zone(site)
    await site.pool.evacuate(zone)
    await asyncio.sleep(1)
    vm.start()
    await asyncio.sleep(3)
    others = [other for other in site.vms if other is not vm]
    site.faults += ["kill"] * len(others)
    for other in others:
        other.send(signal.SIGKILL)
        other.process.wait()
    await asyncio.sleep(EVACUATE_S)
    site.expected.append(("%s leads" % vm.name, site.leader() is vm))
    for other in others:
        other.start()
    await asyncio.sleep(AFTER_S)
    await take_back(site, zone)


async def history_is_lost_as_a_domain_is_evacuated(site):
    """No feed showed the row, nor later that it was removed."""
    zone = other_zone(site)
    site.store.mode = "busy"
    await asyncio.sleep(1)
    await site.pool.evacuate(zone)
    site.store.forget_history()
    await asyncio.sleep(0.5)
    site.store.mode = "up"
    await asyncio.sleep(EVACUATE_S + AFTER_S)
    site.store.mode = "busy"
    await asyncio.sleep(1)
    since = time.monotonic()
    await site.pool.take_back(zone)
    site.store.forget_history()
    site.store.mode = "up"
    job = await submit_whole(site, len(site.pool.servers), 300)
    used = await until(lambda: runs_in(site, zone, since), USED_AGAIN_S)
    site.expected.append(("%s is used again" % zone, bool(used)))
    await asyncio.wait([asyncio.ensure_future(site.watch(job))], timeout=10)


async def leader_is_cut_off_as_a_domain_is_evacuated(site):
    """A leader that the store did not answer any more went on."""
    zone, leader = other_zone(site), site.leader()
    door = site.store.doors[leader.name]
    for mode in ("silent", "busy"):
        door.mode = mode
        await asyncio.sleep(0.3)
        await site.pool.evacuate(zone)
        await asyncio.sleep(EVACUATE_S + AFTER_S)
        door.mode = "up"
        door.reset_connections()
        await take_back(site, zone)
        leader, zone = site.leader(), other_zone(site)
        door = site.store.doors[leader.name]


async def store_is_away_as_a_domain_is_evacuated(site):
    """For all VMs; the leader goes on for a while, and must not do so for too long."""
    zone = other_zone(site)
    site.store.mode = "silent"
    await site.pool.evacuate(zone)
    await asyncio.sleep(EVACUATE_S + AFTER_S)
    site.store.mode = "up"
    for door in site.store.doors.values():
        door.reset_connections()
    await asyncio.sleep(AFTER_S)
    await take_back(site, zone)


async def domain_is_evacuated_and_cut_off(site):
    """Its servers and VMs are back while it is evacuated still."""
    zone = other_zone(site)
    vms = [vm for vm in site.vms if zone_of(vm) == zone]
    site.faults += ["kill"] * len(vms)
    for vm in vms:
        vm.send(signal.SIGSTOP)
    for server in servers_of(site, zone):
        server.silent = True
        server.http.reset_connections()
    await asyncio.sleep(1)
    await site.pool.evacuate(zone)
    await asyncio.sleep(EVACUATE_S + 1)
    for server in servers_of(site, zone):
        server.silent = False
    for vm in vms:
        vm.send(signal.SIGCONT)
    await asyncio.sleep(2 * AFTER_S)
    await take_back(site, zone)


async def start_is_carried_out_after_the_bound(site):
    """A start that was sent before the request: a server or a link held it back, and the stop behind it."""
    zone = other_zone(site)
    for server in servers_of(site, zone):
        server.keeps = ["/-/run-start"] * 20 + ["/-/run-stop"] * 20
    await submit_whole(site, len(site.pool.servers), 4000)
    await until(lambda: any(server.kept for server in servers_of(site, zone)), 5)
    sent = sum(len(server.kept) for server in servers_of(site, zone))
    await site.pool.evacuate(zone)
    await asyncio.sleep(EVACUATE_S + 0.1)
    for server in servers_of(site, zone):
        server.keeps = []
        server.carry_out_kept()
    site.expected.append(("%d starts were held back" % sent, sent > 0))
    await asyncio.sleep(AFTER_S)
    await take_back(site, zone)


async def answers_to_starts_are_lost_in_an_evacuation(site):
    """A start without an answer was sent again, seconds after the request."""
    zone = other_zone(site)
    for server in servers_of(site, zone):
        server.loses_starts = True
    await submit_whole(site, len(site.pool.servers), 1000)
    await site.pool.evacuate(zone)
    await asyncio.sleep(EVACUATE_S)
    for server in servers_of(site, zone):
        server.loses_starts = False
    await asyncio.sleep(AFTER_S)
    await take_back(site, zone)


async def two_domains_are_evacuated(site):
    """The end of one evacuation was taken for that of both."""
    await site.pool.evacuate("z0")
    await site.pool.evacuate("z1")
    await asyncio.sleep(EVACUATE_S + AFTER_S)
    await take_back(site, "z0")
    await asyncio.sleep(AFTER_S)
    await take_back(site, "z1")


async def all_domains_are_evacuated(site):
    """Jobs wait and are told so; they run as the domains are taken back."""
    zones = ["z%d" % i for i in range(ZONES)]
    for zone in zones:
        await site.pool.evacuate(zone)
    await asyncio.sleep(EVACUATE_S)
    job = await submit_whole(site, 1, 300)
    await asyncio.sleep(AFTER_S)
    answer = await site.ask("GET", job)
    state = answer[2]["state"] if answer and answer[0] == 200 else answer
    site.expected.append(("a job waits and is told so, %s" % state, state == "queued"))
    await take_back(site, *zones)
    ended = await until(lambda: "complete" in job.seen, USED_AGAIN_S)
    site.expected.append(("it runs as the domains are taken back", ended))


async def tasks_run_on_in_an_evacuated_domain(site):
    """Nothing asks them to stop."""
    site.stopping = True
    await until(lambda: not any(server.runs for server in site.pool.servers), 30)
    job = await submit_whole(site, len(site.pool.servers), 8000)
    await until(lambda: all(server.runs for server in site.pool.servers), 5)
    await site.pool.evacuate("z1")
    await asyncio.wait([asyncio.ensure_future(site.watch(job))], timeout=15)
    runs = [r for r in site.pool.runs if r.task[:16] == job.id]
    site.expected.append(("%d tasks ran once each, to their ends" % len(runs),
                          len(runs) == len(site.pool.servers) and all(r.how == "done" for r in runs)))
    job = await submit_whole(site, len(site.pool.servers), 300)  # what the others hold goes on there
    await asyncio.wait([asyncio.ensure_future(site.watch(job))], timeout=10)
    site.expected.append(("a job runs elsewhere", "complete" in job.seen))
    await take_back(site, "z1")


async def odd_rows_beside_an_evacuation(site):
    """Keys and values of any bytes, and names that nobody knows, hold nothing up and hide no request."""
    keys = ["evacuate", "evacuate/", "evacuate0", "evacuate/nowhere", "evacuate/z1\0", "evacuate/z1 ", "evacuate/Z0",
            "evacuate/" + "z" * 180, "evacuate/\u00e9\n\"", "evacuate/../config", "f", "evacuate//z0", "evacuate/\udcff", "\ud800"]
    for key in keys:
        await site.store.put("op", key, base64.b64encode(site.rng.randbytes(3000)).decode())
    await site.kill(site.leader())
    await asyncio.sleep(3)
    job = await submit_whole(site, len(site.pool.servers), 300)
    await asyncio.wait([asyncio.ensure_future(site.watch(job))], timeout=10)
    site.expected.append(("a job on all servers is done", "complete" in job.seen))
    zone = other_zone(site)
    await site.pool.evacuate(zone, site.rng.randbytes(60000))
    await asyncio.sleep(EVACUATE_S + AFTER_S)
    await take_back(site, zone)


async def odd_rows_fill_a_page(site):
    """Their keys, once repaired, sort before themselves: VMs read a page again and again, and no leader started a task."""
    site.store.sorts_bytes = True
    for byte in range(0xf1, 0xf8):
        await site.store.put("op", "evacuate/" + chr(0xdc00 + byte), "")
    site.faults += ["kill"] * len(site.vms)
    for vm in site.vms:
        vm.send(signal.SIGKILL)
        vm.process.wait()
    for vm in site.vms:
        vm.start()
    await asyncio.sleep(AFTER_S)
    job = await submit_whole(site, len(site.pool.servers), 300)
    await asyncio.wait([asyncio.ensure_future(site.watch(job))], timeout=10)
    site.expected.append(("a job on all servers is done", "complete" in job.seen))
    zone = other_zone(site)
    await site.pool.evacuate(zone)
    await asyncio.sleep(EVACUATE_S + AFTER_S)
    await take_back(site, zone)


async def pages_begin_before_the_rows_of_evacuations(site):
    """A new leader took a page of other rows for the end of all evacuations."""
    zone = other_zone(site)
    await site.pool.evacuate(zone)
    await asyncio.sleep(EVACUATE_S)
    site.store.ignores_ranges_of = "op"
    await site.kill(site.leader())
    await asyncio.sleep(3)
    await submit_whole(site, len(site.pool.servers), 300)
    await asyncio.sleep(AFTER_S)
    site.store.ignores_ranges_of = None
    await asyncio.sleep(AFTER_S)
    await take_back(site, zone)


async def agents_wake_in_an_evacuated_domain(site):
    """An agent that was paused carried out a start seconds after the request."""
    zone = other_zone(site)
    agents = [vm for vm in site.vms if zone_of(vm) == zone]
    site.faults += ["pause"] * len(agents)
    for agent in agents:
        agent.send(signal.SIGSTOP)
    await submit_whole(site, len(site.pool.servers), 1000)
    await asyncio.sleep(0.2)
    await site.pool.evacuate(zone)
    await asyncio.sleep(EVACUATE_S + 0.1)
    for agent in agents:
        agent.send(signal.SIGCONT)
    await asyncio.sleep(AFTER_S)
    await take_back(site, zone)


async def evacuation_comes_with_a_large_configuration(site):
    """A VM with a small link took the configuration from a peer, and skipped the answer that also held the row."""
    small = site.vms[1:]
    site.faults += ["kill"] * len(small)
    for vm in small:
        vm.resize(0.12, SMALL_LINK * 8 / 1e6)
        site.store.doors[vm.name].bytes_per_s = SMALL_LINK
    await site.config(2, QUEUES)
    for vm in small:
        vm.send(signal.SIGKILL)
        vm.process.wait()
        vm.start()
    await asyncio.sleep(6)
    began = time.time() * 1e6
    site.store.mode = "busy"
    await asyncio.sleep(0.5)
    await site.pool.evacuate("z1")
    await site.config(3, QUEUES + 1)
    site.store.mode = "up"
    await asyncio.sleep(EVACUATE_S)
    by_peer = {e["vm"] for e in site.events("config_taken") if e["time_us"] > began and e["source"] == "a peer"}
    knows = {e["vm"] for e in site.events("evacuation_taken") if e["domain"] == "z1"}
    site.expected.append(("%d VMs skip to a peer's configuration" % len(by_peer), len(by_peer) > 0))
    site.expected.append(("all VMs know of the evacuation, %s do" % sorted(knows), len(knows) == len(site.vms)))
    await asyncio.sleep(AFTER_S)
    await take_back(site, "z1")


async def settings_ask_for_no_evacuation(site):
    """Without evacuate-ms all is as it was before there were evacuations; the row is one of many."""
    zone, began = other_zone(site), time.monotonic()
    await site.store.put("op", "evacuate/" + zone, "")
    await asyncio.sleep(EVACUATE_S + AFTER_S)
    late = runs_in(site, zone, began + EVACUATE_S)
    known = [e["vm"] for name in ("evacuation_taken", "evacuations_known", "start_refused") for e in site.events(name)]
    site.expected.append(("%d tasks start in %s, and no VM tells of evacuations: %s" % (len(late), zone, known),
                          late and not known))


BY_AGENTS = [agents_wake_in_an_evacuated_domain]
SCENARIOS = [
    leader_dies_as_a_domain_is_evacuated, leaders_change_during_an_evacuation, history_is_lost_as_a_domain_is_evacuated,
    leader_is_cut_off_as_a_domain_is_evacuated, store_is_away_as_a_domain_is_evacuated, domain_is_evacuated_and_cut_off,
    start_is_carried_out_after_the_bound, answers_to_starts_are_lost_in_an_evacuation, two_domains_are_evacuated,
    all_domains_are_evacuated, tasks_run_on_in_an_evacuated_domain, odd_rows_beside_an_evacuation,
    odd_rows_fill_a_page, pages_begin_before_the_rows_of_evacuations, evacuation_comes_with_a_large_configuration,
    settings_ask_for_no_evacuation]
NOT_ASKED_FOR = [settings_ask_for_no_evacuation]
IN_CHECK = [leader_dies_as_a_domain_is_evacuated, start_is_carried_out_after_the_bound]
