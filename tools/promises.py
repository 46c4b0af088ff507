"""Checks of what must always hold, from the stand-ins' ledgers and the
callers' own records. Nothing here asks the system about itself, but for the
last check, which looks whether an unfinished job is still in its queue."""

import collections
import glob
import json
import os

from deployment import read_ledger

NON_IDEMPOTENT_KINDS = {"chime-correction", "deposit-sweep"}
NON_IDEMPOTENT_JOBS = {"deposit-reconciliation"}
LEAVING_GRACE_S = 5
CATALOGUE_BOUND_S = 10
ALIVE_STATES = {"live"}


class Report:
    def __init__(self):
        self.rows = []

    def add(self, name, checked, violations, least=1):
        self.rows.append((name, checked, violations, least))

    def print(self):
        for name, checked, violations, least in self.rows:
            verdict = "ok" if not violations else "VIOLATED"
            if checked < least:
                verdict = "TOO LITTLE (%d needed)" % least
            print("%-44s checked %6d  violations %3d  %s" % (name, checked, len(violations), verdict))
            for v in violations[:4]:
                print("    " + str(v)[:300])

    def is_ok(self):
        return all(not v and c >= least for _, c, v, least in self.rows)


def load_acts(directory):
    acts = []
    for path in glob.glob(os.path.join(directory, "backend-*.ledger")):
        acts += list(read_ledger(path))
    acts.sort(key=lambda a: a["time_us"])
    return acts


def load_records(directory):
    records = []
    for path in glob.glob(os.path.join(directory, "*.record")):
        records += list(read_ledger(path))
    return records


def check_requests(report, acts, records):
    runs = collections.Counter(a.get("echo") for a in acts if a["act"] == "request_run")
    short = [r for r in records if r["mode"] != 3]
    once = [r for r in short if r["kind"] in NON_IDEMPOTENT_KINDS]
    report.add("non-idempotent requests run at most once", len(once),
               [r for r in once if runs[r["echo"]] > 1], 20)
    refused = [r for r in short if r["outcome"] == "not_run"]
    report.add("a request refused as not_run did not run", len(refused),
               [r for r in refused if runs[r["echo"]] > 0])
    done = [r for r in short if r["outcome"] == "done"]
    report.add("a request told as done ran", len(done),
               [r for r in done if runs[r["echo"]] < 1], 100)
    report.add("every answer is whole and the caller's own", len(done),
               [r for r in done if r["fault"]], 100)


def task_spans(acts):
    """Per job and attempt: list of (start, end, tasks, why) of its members."""
    open_spans = {}
    spans = collections.defaultdict(list)
    gang = {}
    last = acts[-1]["time_us"] if acts else 0
    for a in acts:
        if a["act"] == "task_start":
            open_spans[(a["job"], a["attempt"], a["server"])] = (a["time_us"], a["tasks"])
            gang[a["job"]] = a["gang"]
        elif a["act"] == "task_end":
            key = (a["job"], a["attempt"], a["server"])
            if key in open_spans:
                start, tasks = open_spans.pop(key)
                spans[key[:2]].append((start, a["time_us"], tasks, a["why"], a["server"]))
    for key, (start, tasks) in open_spans.items():
        spans[key[:2]].append((start, last, tasks, "running", key[2]))
    return spans, gang


def partial_us(members, gang):
    """How long only a part of the gang ran; a member that is done counts as present."""
    edges = []
    for start, end, tasks, why, _ in members:
        edges.append((start, tasks))
        if why not in ("done", "failed"):
            edges.append((end, -tasks))
    end_of_all = max(m[1] for m in members)
    edges.append((end_of_all, 0))
    edges.sort()
    present, partial, since = 0, 0, None
    for at, change in edges:
        if since is not None and 0 < present < gang and at <= end_of_all:
            partial += at - since
        present += change
        since = at
    return partial


def deaths(acts):
    """Per server: the times at which it died and forgot everything."""
    died = collections.defaultdict(list)
    for a in acts:
        if a["act"] == "fault" and a["fault"].get("dead"):
            died[a["server"]].append(a["time_us"])
    return died


def silences(acts):
    """Per server: spans in which it was paused, or cut from some VM."""
    spans, since = collections.defaultdict(list), {}
    for a in acts:
        for what in ("paused", "cut"):
            if a["act"] != "fault" or what not in a["fault"]:
                continue
            key = (a["server"], what)
            if a["fault"][what]:
                since.setdefault(key, a["time_us"])
            elif key in since:
                spans[a["server"]].append((since.pop(key), a["time_us"]))
    return spans


def is_evidence_lost(members, next_start, died, silent, lapse_s):
    """A server died after its member was done and before another attempt, or kept silent for
    longer than leases last: nobody could know that the attempt had ended well."""
    for _, end, _, _, server in members:
        if any(end <= t <= next_start for t in died[server]):
            return True
        if any(b - a >= lapse_s * 1e6 and a <= next_start and b >= end for a, b in silent[server]):
            return True
    return False


def check_gangs(report, acts, window_s, lapse_s):
    spans, gang = task_spans(acts)
    died, silent = deaths(acts), silences(acts)
    multi = {k: m for k, m in spans.items() if gang[k[0]] > 1}
    bad = []
    for key, members in multi.items():
        partial = partial_us(members, gang[key[0]])
        if partial > window_s * 1e6:
            bad.append((key, "a part ran alone for %.1f s" % (partial / 1e6)))
    report.add("no part of a gang runs without the whole", len(multi), bad, 5)
    by_job = collections.defaultdict(list)
    for (job, attempt), members in spans.items():
        by_job[job].append((min(m[0] for m in members), max(m[1] for m in members), attempt, members))
    overlap, twice = [], []
    for job, attempts in by_job.items():
        attempts.sort()
        for a, b in zip(attempts, attempts[1:]):
            if b[0] < a[1]:
                overlap.append((job, a[2], b[2], "overlap %.2f s" % ((a[1] - b[0]) / 1e6)))
        whole = []
        for i, a in enumerate(attempts):
            later = attempts[i + 1][0] if i + 1 < len(attempts) else 0
            if all(m[3] == "done" for m in a[3]) and sum(m[2] for m in a[3]) == gang[job] \
                    and not is_evidence_lost(a[3], later, died, silent, lapse_s):
                whole.append(a)
        if len(whole) > 1:
            twice.append((job, len(whole)))
    report.add("two attempts of a job never run at once", len(by_job), overlap, 5)
    report.add("an admitted job runs to its end at most once", len(by_job), twice, 5)
    return spans, by_job


def check_jobs(report, records, by_job, platform_rows):
    jobs = [r for r in records if r["mode"] == 3]
    started = set(by_job)
    refused = [r for r in jobs if r["outcome"] == "not_run"]
    report.add("a job refused or cancelled as not_run did not run", len(refused),
               [r for r in refused if r["id"] in started], 0)
    admitted = [r for r in jobs if r["admitted"]]
    lost = [r for r in admitted if r["outcome"] in ("pending", "unknown")
            and r["kind"] not in NON_IDEMPOTENT_JOBS and r["id"] not in platform_rows["queue"]
            and r["id"] not in platform_rows["ended"]]
    report.add("an admitted job is finished or still queued", len(admitted), lost, 10)
    unfinished = [r for r in admitted if r["outcome"] == "pending"]
    report.add("every admitted job finished once the faults ended", len(admitted), unfinished, 10)
    once = [r for r in jobs if r["kind"] in NON_IDEMPOTENT_JOBS and r["id"] in by_job]
    report.add("a non-idempotent job starts at most once", len(once),
               [(r["id"], len(by_job[r["id"]])) for r in once
                if len([a for a in by_job[r["id"]]]) > 1], 1)
    done = [r for r in jobs if r["outcome"] == "done"]
    report.add("a job told as done ran whole", len(done),
               [r for r in done if not any(all(m[3] == "done" for m in a[3])
                                           for a in by_job.get(r["id"], []))], 5)


def platform_rows(directory):
    rows = {"queue": set(), "ended": set()}
    for a in read_ledger(os.path.join(directory, "platform.ledger")):
        if a.get("table") in rows:
            key = a["key"].split("/", 1)[1]
            if a["act"] == "write":
                rows[a["table"]].add(key)
            elif a["act"] == "delete":
                rows[a["table"]].discard(key)
    return rows


def check_leaving(report, acts):
    leaving, late, checked = {}, [], 0
    for a in acts:
        server = a["server"]
        if a["act"] == "fault" and "leaving" in a["fault"]:
            if a["fault"]["leaving"]:
                leaving.setdefault(server, a["time_us"])
                checked += 1
            else:
                leaving.pop(server, None)
        elif a["act"] in ("request_run", "request_refused", "task_prepare") and server in leaving:
            if a["time_us"] - leaving[server] > LEAVING_GRACE_S * 1e6:
                late.append((server, a["act"], (a["time_us"] - leaving[server]) / 1e6))
    report.add("a leaving backend server gets no new work", checked, late)


def catalogue_events(directory):
    events = []
    for path in glob.glob(os.path.join(directory, "e*.log")):
        for line in read_ledger(path):
            if line.get("event") in ("catalogue", "start"):
                version = int(line["message"].split()[1]) if line["event"] == "catalogue" else None
                events.append((line["time_us"], line["vm"], line["program"], version))
    return sorted(events)


def check_catalogue(report, directory):
    """Monotonic in every process; and once accepted, the table's head never goes back."""
    held, back = {}, []
    events = catalogue_events(directory)
    checked = 0
    for _, vm, program, version in events:
        key = (vm, program)
        if version is None:
            continue
        checked += 1
        if version < held.get(key, 0):
            back.append((key, held[key], version))
        held[key] = version
    report.add("a process never goes back a catalogue version", checked, back, 8)
    head, bad = 0, []
    for a in read_ledger(os.path.join(directory, "platform.ledger")):
        if a.get("table") == "catalogue" and a.get("key") == "head" and a["act"] == "write":
            if a["value"]["version"] != head + 1:
                bad.append(a)
            head = a["value"]["version"]
    report.add("accepted catalogue versions follow each other", head, bad)
    return head


def check_spread(report, accepted, directory, connected):
    """accepted: {version: accepted at, in us}; connected(vm, from, to): no fault kept it away."""
    events = catalogue_events(directory)
    late, checked = [], 0
    processes = {(vm, program) for _, vm, program, _ in events}
    for version, at in accepted.items():
        for vm, program in processes:
            if not connected(vm, at, at + CATALOGUE_BOUND_S * 1e6):
                continue
            checked += 1
            if not any(v and v >= version and t <= at + CATALOGUE_BOUND_S * 1e6
                       for t, w, p, v in events if (w, p) == (vm, program)):
                late.append((version, vm, program))
    report.add("a change is in force everywhere within 10 s", checked, late)
