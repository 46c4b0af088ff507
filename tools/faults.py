"""Fault runs: a seeded schedule of failures under mixed load of both users,
then the checks of promises.py. Usage: faults.py --seed N --seconds S"""

import argparse
import collections
import json
import os
import random
import shutil
import signal
import subprocess
import sys
import threading
import time

import promises
from deployment import BUILD, DOMAINS, Deployment, http

DRAIN_S = 25  # a daemon that is told to stop may need this long while the platform is away
QUIET_S = 40  # longest wait for open work after the last fault has ended
LEASE_MS = 4000
# two leases and a margin until silent members have stopped for certain, and a takeover
LAPSE_S = 2 * LEASE_MS / 1000 + 3
GANG_WINDOW_S = LAPSE_S + 5


class Faults:
    """Each fault method starts a failure and returns a function that ends it."""

    def __init__(self, deployment, rng):
        self.d = deployment
        self.rng = rng
        self.cut_platform = set()
        self.away = []  # (vm id or "*", from, to) in us: catalogue changes may be late there
        self.accepted = {}
        self.catalogue_dir = None
        self.lock = threading.Lock()

    def mark(self, vm, start, end=None):
        self.away.append((vm, start * 1e6, (end or time.time()) * 1e6))

    def any_vm(self):
        return self.rng.choice(self.d.vms)

    def any_server(self):
        return self.rng.choice(sorted(self.d.servers))

    def kill_active_scheduler(self):
        vm = self.d.active_sched(self.rng.choice(DOMAINS))
        if not vm:
            return None
        start = time.time()
        vm.kill("schedd")

        def end():
            vm.start("schedd")
            self.mark(vm.id, start)
        return end

    def kill_entry(self):
        vm = self.any_vm()
        start = time.time()
        vm.kill("entryd")

        def end():
            vm.start("entryd")
            self.mark(vm.id, start)
        return end

    def kill_vm(self):
        vm = self.any_vm()
        start = time.time()
        vm.kill()

        def end():
            vm.start()
            self.mark(vm.id, start)
        return end

    def replace_domain(self):
        domain = self.rng.choice(DOMAINS)
        vms = [v for v in self.d.vms if v.domain == domain]
        start = time.time()
        for vm in vms:
            vm.kill()

        def end():
            for vm in vms:
                vm.start()
                self.mark(vm.id, start)
        return end

    def pause_scheduler(self):
        vm = self.d.active_sched(self.rng.choice(DOMAINS))
        return self.pause(vm, vm.schedd if vm else None)

    def pause_entry(self):
        vm = self.any_vm()
        return self.pause(vm, vm.entryd)

    def pause(self, vm, process):
        if not process:
            return None
        start = time.time()
        process.send_signal(signal.SIGSTOP)

        def end():
            process.send_signal(signal.SIGCONT)
            self.mark(vm.id, start)
        return end

    def stop_planned(self):
        vm = self.any_vm()
        if not vm.entryd:
            return None
        start = time.time()
        vm.entryd.send_signal(signal.SIGTERM)
        vm.draining, vm.entryd = vm.entryd, None

        def end():
            vm.start("entryd")  # once the old one has finished its requests
            self.mark(vm.id, start, time.time() + DRAIN_S)
        return end

    def platform(self, **fault):
        start = time.time()
        self.d.platform_fault(**fault)
        off = {k: (False if isinstance(v, bool) else 0) for k, v in fault.items()}

        def end():
            self.d.platform_fault(**off)
            self.mark("*", start)
        return end

    def platform_down(self):
        return self.platform(down=True)

    def platform_silent(self):
        return self.platform(drop=True)

    def platform_slow(self):
        return self.platform(slow_ms=self.rng.choice([200, 500]))

    def platform_loses_answers(self):
        return self.platform(lose_percent=40)

    def platform_write_limit(self):
        return self.platform(write_limit=20)

    def cut_domain_from_platform(self):
        domain = self.rng.choice(DOMAINS)
        return self.cut([v for v in self.d.vms if v.domain == domain])

    def cut_vm_from_platform(self):
        return self.cut([self.any_vm()])

    def cut(self, vms):
        start = time.time()
        self.cut_platform |= {v.id for v in vms}
        self.d.platform_fault(cut=sorted(self.cut_platform))

        def end():
            self.cut_platform -= {v.id for v in vms}
            self.d.platform_fault(cut=sorted(self.cut_platform))
            for vm in vms:
                self.mark(vm.id, start)
        return end

    def server(self, on, off):
        name = self.any_server()
        self.d.server_fault(name, **on)
        return lambda: self.d.server_fault(name, **off)

    def server_paused(self):
        return self.server({"paused": True}, {"paused": False})

    def server_dead(self):
        return self.server({"dead": True}, {"dead": False})

    def server_fails_all(self):
        return self.server({"fail_all": True}, {"fail_all": False})

    def server_leaving(self):
        return self.server({"leaving": True}, {"leaving": False})

    def server_late(self):
        return self.server({"late_ms": 400}, {"late_ms": 0})

    def server_loses_answers(self):
        return self.server({"lose_percent": 30}, {"lose_percent": 0})

    def servers_silent(self):
        domain = self.rng.choice(DOMAINS)
        self.d.server_fault(domain + "-b0", silent=True, all=True)
        return lambda: None

    def vm_cut_from_servers(self):
        vm = self.any_vm()
        name = vm.domain + "-b0"
        self.d.server_fault(name, cut=[vm.id], all=True)
        return lambda: self.d.server_fault(name, cut=[], all=True)

    def head(self):
        """The catalogue's version; an apply may have taken effect without an answer."""
        words = self.d.cli("catalogue", "show").stderr.split()
        return int(words[-1]) if words[:1] == ["version"] else max(self.accepted)

    def operators_race(self):
        """Two operators change different things from the same version; one must lose."""
        head = self.head()
        results = []

        def apply(which):
            directory = os.path.join(self.d.dir, "operator-%d" % which)
            shutil.rmtree(directory, ignore_errors=True)
            shutil.copytree(self.catalogue_dir, directory)
            path = os.path.join(directory, "kolkhi.toml")
            with open(path) as f:
                text = f.read()
            number = self.rng.randrange(100, 100000)
            text = text.replace("requests_in_flight = 400", "requests_in_flight = %d" % (400 + number + which))
            with open(path, "w") as f:
                f.write(text)
            result = self.d.cli("--by", "operator-%d" % which, "--base", str(head), "catalogue", "apply", directory)
            results.append((which, result.returncode, time.time()))

        threads = [threading.Thread(target=apply, args=(i,)) for i in (1, 2)]
        for t in threads:
            t.start()
        for t in threads:
            t.join()
        won = [r for r in results if r[1] == 0]
        if len(won) > 1:
            raise RuntimeError("both operators won from version %d" % head)
        if won:
            self.accepted[head + 1] = won[0][2] * 1e6
        return lambda: None


FAULTS = ["kill_active_scheduler", "kill_active_scheduler", "kill_entry", "kill_entry", "kill_vm",
          "replace_domain", "pause_scheduler", "pause_scheduler", "pause_entry", "stop_planned",
          "platform_down", "platform_silent", "platform_slow", "platform_loses_answers",
          "platform_write_limit", "cut_domain_from_platform", "cut_vm_from_platform",
          "server_paused", "server_dead", "server_dead", "server_fails_all", "server_leaving",
          "server_late", "server_loses_answers", "servers_silent", "vm_cut_from_servers",
          "operators_race", "operators_race"]


def draw_schedule(rng, seconds):
    schedule, at, bag = [], 2.0, []
    while at < seconds - 3:
        if not bag:  # every fault comes up before any comes again
            bag = rng.sample(FAULTS, len(FAULTS))
        name = bag.pop()
        schedule.append((at, name, rng.uniform(1.0, 8.0)))
        at += rng.uniform(0.3, 2.0)
    return schedule


def run_schedule(faults, schedule, seconds):
    start, ends, counts = time.time(), [], collections.Counter()
    pending = list(schedule)
    while pending or ends:
        now = time.time() - start
        for entry in [e for e in ends if e[0] <= now]:
            ends.remove(entry)
            entry[1]()
        if pending and pending[0][0] <= now:
            _, name, length = pending.pop(0)
            end = getattr(faults, name)()
            if end:
                counts[name] += 1
                ends.append((min(now + length, max(seconds, now + 0.5)), end))
        time.sleep(0.05)
    return counts


def merged_catalogue(directory):
    target = os.path.join(directory, "catalogue")
    shutil.rmtree(target, ignore_errors=True)
    os.makedirs(target)
    for user in ("torenuurwerk", "kolkhi"):
        shutil.copy("examples/%s/catalogue.toml" % user, os.path.join(target, user + ".toml"))
    return target


def start_load(d, seed, seconds, experiment="examples/load/mixed.toml"):
    args = [os.path.join(BUILD, "currantlane-load"), "--experiment", experiment, "--seconds", str(seconds),
            "--drain", str(QUIET_S + 15), "--seed", str(seed), "--record", os.path.join(d.dir, "load.record")]
    for vm in d.vms:
        args += ["--target", vm.callers]
    return subprocess.Popen(args, stdout=subprocess.PIPE, stderr=subprocess.PIPE, text=True)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--dir", default="run/faults")
    args = parser.parse_args()
    rng = random.Random(args.seed)
    schedule = draw_schedule(rng, args.seconds)
    print("seed %d, %d s, %d faults" % (args.seed, args.seconds, len(schedule)), flush=True)
    record = os.path.join(args.dir, "load.record")
    if os.path.exists(record):
        os.unlink(record)
    d = Deployment(args.dir, servers=17, lease_ms=LEASE_MS)
    faults = Faults(d, rng)
    faults.catalogue_dir = merged_catalogue(args.dir)
    problem = None
    try:
        d.start(faults.catalogue_dir)
        faults.accepted[1] = time.time() * 1e6
        load = start_load(d, args.seed, args.seconds)
        counts = run_schedule(faults, schedule, args.seconds)
        # with all faults over, a change must reach everybody
        time.sleep(2)
        faults.operators_race()
        out, err = load.communicate(timeout=args.seconds + QUIET_S + 60)
        print(out, end="")
        time.sleep(3)
        versions = set()
        left = []
        for vm in d.vms:
            for which in ("entry", "sched"):
                status = vm.status(which)
                versions.add(status["catalogue_version"] if isinstance(status, dict) else "no answer from %s" % vm.id)
                if which == "sched" and isinstance(status, dict):
                    problem = status["policy_fault"] or problem
                    left += status["jobs"] + ([status] if status["jobs"] else [])
    finally:
        codes = d.stop()
    report = promises.Report()
    acts = promises.load_acts(args.dir)
    records = promises.load_records(args.dir)
    promises.check_requests(report, acts, records)
    _, by_job = promises.check_gangs(report, acts, GANG_WINDOW_S, LAPSE_S)
    promises.check_jobs(report, records, by_job, promises.platform_rows(args.dir))
    promises.check_leaving(report, acts)
    head = promises.check_catalogue(report, args.dir)

    def connected(vm, start, end):
        return not any(who in ("*", vm) and a < end and b > start for who, a, b in faults.away)

    promises.check_spread(report, faults.accepted, args.dir, connected)
    report.add("everybody holds the head at the end", len(versions), [v for v in versions if v != head])
    report.add("every daemon stops gracefully", len(codes), [c for c in codes if c != 0])
    report.add("the policy's invariants hold at the end", 1, [problem] if problem else [])
    print("faults: " + ", ".join("%s %d" % c for c in sorted(counts.items())))
    report.print()
    for job in left:
        print("left: " + json.dumps(job)[:1500])
    sys.exit(0 if report.is_ok() else 1)


if __name__ == "__main__":
    main()
