"""What callers may get wrong: every case gets a 4xx with field and reason, costs
little, and disturbs no other request."""

import json
import random
import socket
import sys
import threading
import time

from deployment import Deployment, http
from faults import LEASE_MS, merged_catalogue

GOOD = {"workspace": "counters", "kind": "checkout-verification", "payload": {"echo": 1}}
JOB = {"workspace": "archive", "kind": "pendulum-study", "tasks": 1, "accelerators": 1, "run_ms": 1000}


def changed(body, **fields):
    result = dict(body)
    result.update(fields)
    return result


CASES = [
    ("unknown workspace", "POST", "/v1/requests", changed(GOOD, workspace="nobody"), None, 422, "workspace"),
    ("workspace of a wrong type", "POST", "/v1/requests", changed(GOOD, workspace=7), None, 422, "workspace"),
    ("unknown kind", "POST", "/v1/requests", changed(GOOD, kind="nothing"), None, 422, "kind"),
    ("kind of another workspace", "POST", "/v1/requests", changed(GOOD, kind="deposit-sweep"), None, 422, "kind"),
    ("a job's kind", "POST", "/v1/requests", changed(GOOD, workspace="archive", kind="pendulum-study"), None, 422,
     "kind"),
    ("deadline in the past", "POST", "/v1/requests", changed(GOOD, deadline_ms=-5), None, 422, "deadline_ms"),
    ("deadline of a wrong type", "POST", "/v1/requests", changed(GOOD, deadline_ms="soon"), None, 422,
     "deadline_ms"),
    ("payload too large", "POST", "/v1/requests", changed(GOOD, payload="x" * 40000), None, 422, "payload"),
    ("body too large", "POST", "/v1/requests", changed(GOOD, payload="x" * 90000), None, 413, "body"),
    ("key with spaces", "POST", "/v1/requests", GOOD, {"Idempotency-Key": "a b"}, 400, "Idempotency-Key"),
    ("an id of nobody", "GET", "/v1/requests/nonsense", None, None, 404, "id"),
    ("no such path", "GET", "/v2/requests", None, None, 404, "path"),
    ("gang too large for its kind", "POST", "/v1/jobs", changed(JOB, tasks=5000), None, 422, "tasks"),
    ("gang that never fits", "POST", "/v1/jobs", changed(JOB, tasks=64, accelerators=8), None, 422, "tasks"),
    ("tasks of a wrong type", "POST", "/v1/jobs", changed(JOB, tasks="many"), None, 422, "tasks"),
    ("no run time", "POST", "/v1/jobs", changed(JOB, run_ms=0), None, 422, "run_ms"),
    ("unknown failure domain", "POST", "/v1/jobs", changed(JOB, failure_domain="fd-x"), None, 422,
     "failure_domain"),
]


def check_cases(address):
    bad = []
    for name, method, path, body, headers, status, field in CASES:
        got, answer = http(method, "http://%s%s" % (address, path), body, headers=headers)
        if got != status or not isinstance(answer, dict) or answer.get("field") != field or not answer.get("reason"):
            bad.append("%s: wanted %d %s, got %s %s" % (name, status, field, got, answer))
    return bad


def raw(address, data, wait=2.0):
    ip, port = address.split(":")
    with socket.create_connection((ip, int(port)), timeout=wait) as s:
        s.sendall(data)
        s.settimeout(wait)
        try:
            return s.recv(4096)
        except socket.timeout:
            return b""


def check_raw(address):
    bad = []
    head = b"POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s"
    for name, body in (("not JSON", b"{nonsense"), ("a list", b"[1]"), ("empty", b""), ("binary", bytes(range(256)))):
        answer = raw(address, head % (len(body), body))
        if b" 400 " not in answer.split(b"\r\n")[0] or b"body" not in answer:
            bad.append("%s: got %r" % (name, answer[:80]))
    rng = random.Random(1)
    for _ in range(50):
        raw(address, bytes(rng.randrange(256) for _ in range(300)) + b"\r\n\r\n", 0.2)
    return bad


def check_slow(address):
    """Half-sent bodies on 50 connections while others are served."""
    ip, port = address.split(":")
    held = []
    for _ in range(50):
        s = socket.create_connection((ip, int(port)))
        s.sendall(b"POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 500\r\n\r\n{\"work")
        held.append(s)
    bad = []
    for i in range(100):
        start = time.time()
        status, body = http("POST", "http://%s/v1/requests" % address, GOOD)
        if status != 200 or time.time() - start > 0.5:
            bad.append("request %d beside slow bodies: %s after %.2f s" % (i, status, time.time() - start))
    for s in held:
        s.close()
    return bad


def main():
    d = Deployment("run/bad-input", servers=17, lease_ms=LEASE_MS)
    try:
        d.start(merged_catalogue(d.dir))
        address = d.vms[0].callers
        bad = check_cases(address) + check_raw(address) + check_slow(address)
        status, _ = http("POST", "http://%s/v1/requests" % address, GOOD)
        if status != 200:
            bad.append("a good request afterwards: %s" % status)
    finally:
        codes = d.stop()
    for line in bad:
        print("    " + line)
    print("bad input is refused with field and reason, %d cases: %s"
          % (len(CASES) + 4, "ok" if not bad and not any(codes) else "VIOLATED"))
    sys.exit(1 if bad or any(codes) else 0)


if __name__ == "__main__":
    main()
