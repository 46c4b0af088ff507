"""A small deployment that serves both users' work, loses a scheduler and an
entry daemon on the way, changes its catalogue, and is checked at the end from
the stand-ins' ledgers and the callers' own records."""

import glob
import json
import os
import sys
import time

import promises
from deployment import DOMAINS, Deployment, http
from faults import GANG_WINDOW_S, LAPSE_S, LEASE_MS, merged_catalogue, start_load

SECONDS = 15
DIRECTORY = "run/demo"
TRACE = "4bf92f3577b34da6a3ce929d0e0e47%02x"


def say(text):
    print("demo: " + text, flush=True)


def traced(number):
    trace = TRACE % number
    return trace, {"traceparent": "00-%s-00f067aa0ba902b7-01" % trace}


def show_request(d):
    trace, headers = traced(1)
    status, ticket = http("POST", "http://%s/v1/tickets" % d.vms[0].callers, {})
    body = {"workspace": "carillon", "kind": "chime-correction", "payload": {"echo": 7, "run_ms": 5}}
    url = "http://%s/v1/requests/%s"
    first = http("PUT", url % (d.vms[1].callers, ticket["id"]), body, headers=headers)
    again = http("PUT", url % (d.vms[2].callers, ticket["id"]), body)
    say("a chime correction by ticket of %s, sent to %s: %d %s" % (d.vms[0].id, d.vms[1].id, first[0],
                                                                first[1]["outcome"]))
    say("the same ticket again, sent to %s: %d %s, answered from the first run"
        % (d.vms[2].id, again[0], again[1]["outcome"]))
    return trace, first[0] == 200 and again[0] == 200


def show_gang(d):
    trace, headers = traced(2)
    body = {"workspace": "planning", "kind": "chime-plan", "tasks": 8, "accelerators": 4, "run_ms": 1500,
            "failure_domain": "fd-c", "payload": {"work_ms": 1500}}
    status, job = http("POST", "http://%s/v1/jobs" % d.vms[0].callers, body, headers=headers)
    say("a gang of 8 tasks of 4 accelerators for fd-c: %d %s" % (status, job["outcome"]))
    status, end = http("GET", "http://%s/v1/jobs/%s?wait_ms=20000" % (d.vms[4].callers, job["id"]), timeout=30)
    say("its end, asked at %s: %d %s" % (d.vms[4].id, status, end["outcome"]))
    return trace, status == 200


def print_trace(d, title, trace):
    spans = glob.glob(os.path.join(DIRECTORY, "*.spans"))
    print("\n%s, spans in order:" % title)
    print(d.cli("trace", trace, *spans).stdout)


def main():
    os.makedirs(DIRECTORY, exist_ok=True)
    record = os.path.join(DIRECTORY, "load.record")
    if os.path.exists(record):
        os.unlink(record)
    d = Deployment(DIRECTORY, servers=17, lease_ms=LEASE_MS)
    catalogue = merged_catalogue(DIRECTORY)
    try:
        say("starting 3 failure domains, 8 entry VMs, 51 backend servers and the platform's stand-in")
        d.start(catalogue)
        say("the catalogues of both users are in force")
        request_trace, request_ok = show_request(d)
        gang_trace, gang_ok = show_gang(d)
        say("mixed work of both users for %d s" % SECONDS)
        load = start_load(d, 1, SECONDS)
        time.sleep(3)
        victim = d.active_sched("fd-a")
        say("killing the active scheduler of fd-a on %s" % victim.id)
        victim.kill("schedd")
        killed = time.time()
        time.sleep(2)
        entry = d.vms[4]
        say("killing entryd on %s" % entry.id)
        entry.kill("entryd")
        d.wait(lambda: d.active_sched("fd-a"), 20, "another scheduler of fd-a")
        say("%s took over fd-a, %.1f s after the kill" % (d.active_sched("fd-a").id, time.time() - killed))
        entry.start("entryd")
        victim.start("schedd")
        path = os.path.join(catalogue, "kolkhi.toml")
        with open(path) as f:
            text = f.read()
        with open(path, "w") as f:
            f.write(text.replace('quota_accelerators = 64', 'quota_accelerators = 48'))
        say("an operator lowers a quota: " + d.apply(catalogue, 1).strip().replace("\n", "; "))
        result = d.cli("--by", "another operator", "catalogue", "undo")
        say("another operator undoes it: " + result.stdout.strip().replace("\n", "; "))
        out, _ = load.communicate(timeout=SECONDS + 90)
        time.sleep(2)
    finally:
        say("stopping all daemons gracefully")
        codes = d.stop()
    print_trace(d, "the request", request_trace)
    print_trace(d, "the gang", gang_trace)
    print("what the callers saw:\n" + out)
    report = promises.Report()
    acts = promises.load_acts(DIRECTORY)
    records = promises.load_records(DIRECTORY)
    promises.check_requests(report, acts, records)
    _, by_job = promises.check_gangs(report, acts, GANG_WINDOW_S, LAPSE_S)
    promises.check_jobs(report, records, by_job, promises.platform_rows(DIRECTORY))
    promises.check_catalogue(report, DIRECTORY)
    report.add("every daemon stops gracefully", len(codes), [c for c in codes if c != 0])
    report.add("the request and the gang shown above", 2, [x for x in (request_ok, gang_ok) if not x])
    print("what the ledgers show:")
    report.print()
    sys.exit(0 if report.is_ok() else 1)


if __name__ == "__main__":
    main()
