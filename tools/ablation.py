"""What each scheduling mechanism is worth: switches them off one by one and plays the same days.

ablation.py --bench BENCH [--seeds 1-6] [--days d1,d2] [--jobs N] [--only NAME,...] SITE...

Makes a scratch copy of the tree for each mechanism, edits the copy so that the mechanism does
nothing, plays the days with trouble of each site with the same seeds as the tree itself, and
prints the mean of the differences in worth (without - with) with its standard error, and the
rules broken. Below two standard errors nothing is shown. The journal entries of the plays are
copied into journal/. Exit status 0; 1 when a play of the tree itself broke a rule or failed.
"""

import argparse
import concurrent.futures
import json
import math
import os
import re
import shutil
import subprocess
import sys
import tempfile

TREE = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
SOURCES = ("Makefile", "deploy", "lib", "platform", "src")

# name -> edits: file, text, replacement
MECHANISMS = {
    "headroom": [("lib/plan/plan_headroom.c", "HEADROOM_SHARE_MAX 0.15", "HEADROOM_SHARE_MAX 0.0")],
    "reservation": [("lib/plan/plan_reserve.c", "if (s->has_reservation ||", "if (true || s->has_reservation ||")],
    "backfill": [("lib/plan/plan_reserve.c", "|| ends <= sv->reserved_until", "|| ends < 0")],
    "choice of victims": [("lib/plan/plan_preempt.c", "if (!best || unit_cost < best_unit_cost)", "if (!best || unit_cost < MIN(best_unit_cost, 0))"),
                          ("lib/plan/plan_preempt.c", "if (cost >= 0 && (!best || cost < best_cost))", "if (cost >= 0 && (!best || cost < MIN(best_cost, 0)))")],
    "preemption": [("src/sited_lead.c", "else if (g->job->priority == QUEUES_URGENT_PRIORITY)\n\t\tpreempt(", "else if (g->job->priority < 0)\n\t\tpreempt(")],
    "tiers of lateness": [("lib/plan/plan_order.c", "if (ends <= due + objective) {", "if (true) {")],
    "order by latest start": [("lib/plan/plan_order.c", "return rank;", "rank.key = due;\n\treturn rank;")],
    "probation": [("lib/fleet/fleet.h", "FLEET_PROBATION_MS 3000", "FLEET_PROBATION_MS 0")],
    "suspicion after failures": [("lib/fleet/fleet.c", "if (++sv->failures < FLEET_FAILURES_MAX)", "if (++sv->failures)")],
    "stalled tasks": [("lib/plan/plan_progress.c", "if (at->now - MAX(t->progress_at, t->started_at) > stall)", "if (stall < 0)")],
    "slow tasks": [("lib/plan/plan_progress.c", "return rate_pace(t);", "return t->percent > 100 ? rate_pace(t) : PROGRESS_NORMAL;")],
    "pace of earlier attempts": [("lib/plan/plan_progress.c", "pace_elsewhere = g->earlier_pace;", "pace_elsewhere = 0;")],
    "progress under earlier leaders": [("lib/plan/plan_preempt.c", "return MAX(now - t->started_at, t->percent * t->group->step->estimate_ms / 100);", "return now - t->started_at;")],
    "wait for the data rack": [("lib/plan/plan_place.c", "DATA_WAIT_PERCENT 100", "DATA_WAIT_PERCENT 0")],
    "tightest rack": [("lib/plan/plan_place.c", "if (best == PLAN_ANY_RACK || free_accelerators < best_free)", "if (best == PLAN_ANY_RACK || free_accelerators < MIN(best_free, 0))")],
    "best fit": [("lib/plan/plan_place.c", "int64_t score = accelerators * 1000000 + cpu;", "int64_t score = 0 * (accelerators + cpu);")],
    "failures in the choice of a server": [("lib/plan/plan_place.c", "return score + (int64_t)candidate->server->failures * 100000000;", "return score;")],
    "unmet needs of the round": [("lib/plan/plan_place.c", "if (is_known_unmet(s, group))", "if (is_known_unmet(s, group) && !group->count)")],
    "feed without a wait after a failure": [("src/sited_table.c", "t->is_failing ? 0 : t->wait_ms", "t->wait_ms")],
    "silent failure domains": [("src/sited_servers.c", "if (now - io->clock_at > SILENT_MS &&", "if (now < 0 && now - io->clock_at > SILENT_MS &&")],
    "handover to larger VMs": [("src/sited_elect.c", "if (should_hand_over(d))", "if (should_hand_over(d) && !d->lead)")],
    "contention of long-lived VMs later": [("src/sited_elect.c", "CONTEND_AGE_MAX_MS 40", "CONTEND_AGE_MAX_MS 0")],
}


def scratch_copy(directory, edits):
    for name in SOURCES:
        source = os.path.join(TREE, name)
        (shutil.copytree if os.path.isdir(source) else shutil.copy)(source, os.path.join(directory, name))
    for path, old, new in edits:
        path = os.path.join(directory, path)
        with open(path) as file:
            text = file.read()
        if old not in text:
            sys.exit("%s no longer contains: %s" % (path, old))
        with open(path, "w") as file:
            file.write(text.replace(old, new))
    subprocess.run(["git", "init", "-q"], cwd=directory, check=True)
    subprocess.run(["git", "add", "-A"], cwd=directory, check=True)
    subprocess.run(["git", "-c", "user.name=ablation", "-c", "user.email=ablation@localhost", "commit", "-qm", "scratch copy"],
                   cwd=directory, check=True)


def play(bench, tree, site, day, seed, why):
    report = os.path.join(tree, "report-%s-%d.json" % (day, seed))
    subprocess.run([bench, "run", site, day, "--seed", str(seed), "--report", report, "--why", why], cwd=tree,
                   stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        with open(report) as file:
            result = json.load(file)
        os.remove(report)
        return result["G"], sorted(result["breaks"])
    except (OSError, ValueError, KeyError):
        return None, ["not played"]


def mean_and_error(values):
    mean = sum(values) / len(values)
    if len(values) < 2:
        return mean, float("nan")
    return mean, math.sqrt(sum((v - mean) ** 2 for v in values) / (len(values) - 1) / len(values))


def seeds_of(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


def days_of(site):
    with open(site) as file:
        return re.findall(r'^name = "((?:trouble|scale)-\d+)"', file.read(), re.M)


def measure(args, directory, names, site):
    days = args.days.split(",") if args.days else days_of(site)
    with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
        plays = {(name, day, seed): pool.submit(play, args.bench, os.path.join(directory, name.replace(" ", "-")), site, day,
                                                seed, "trial: ablation, without " + name)
                 for day in days for seed in seeds_of(args.seeds) for name in names}
        return {key: future.result() for key, future in plays.items()}


def report(results, names, site):
    print("== %s" % os.path.basename(site))
    for name in names:
        pairs = [(results["nothing", day, seed], results[name, day, seed]) for n, day, seed in results if n == name]
        broken = sorted({rule for _, (_, rules) in pairs for rule in rules})
        if name == "nothing":
            worth = [w for (w, _), _ in pairs if w is not None]
            print("%-38s worth %.3f se %.3f of %d plays %s" % ("the tree itself", *mean_and_error(worth), len(worth), " ".join(broken)))
            continue
        differences = [b - a for (a, _), (b, _) in pairs if a is not None and b is not None]
        print("%-38s %+.4f se %.4f %s" % ("without " + name, *mean_and_error(differences), " ".join(broken)), flush=True)


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--bench", required=True, type=os.path.abspath)
    parser.add_argument("--seeds", default="1-6")
    parser.add_argument("--days", help="names of days (default: the standard days with trouble)")
    parser.add_argument("--jobs", type=int, default=3)
    parser.add_argument("--only", help="names of mechanisms, separated by commas")
    parser.add_argument("sites", nargs="+", type=os.path.abspath)
    args = parser.parse_args()
    names = ["nothing"] + (args.only.split(",") if args.only else list(MECHANISMS))
    directory = tempfile.mkdtemp(prefix="currantlane-ablation-")
    failed = False
    try:
        for name in names:
            copy = os.path.join(directory, name.replace(" ", "-"))
            os.mkdir(copy)
            scratch_copy(copy, MECHANISMS.get(name, []))
        with concurrent.futures.ThreadPoolExecutor(args.jobs) as pool:
            list(pool.map(lambda name: subprocess.run([args.bench, "build"], cwd=os.path.join(directory, name.replace(" ", "-")),
                                                      stdout=subprocess.DEVNULL, check=True), names))
        for site in args.sites:
            results = measure(args, directory, names, site)
            report(results, names, site)
            failed |= any(rules for (name, _, _), (_, rules) in results.items() if name == "nothing")
    finally:
        for name in names:
            journal = os.path.join(directory, name.replace(" ", "-"), "journal")
            if os.path.isdir(journal):
                shutil.copytree(journal, os.path.join(TREE, "journal"), dirs_exist_ok=True)
        shutil.rmtree(directory, ignore_errors=True)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
