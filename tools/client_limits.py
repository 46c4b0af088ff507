"""Clients outside the limits: starts the daemons on loopback and plays one pattern of clients at a time.

Guards against a process that ends, or that takes more memory or descriptors than its VM has, because of what
clients send. Each case has a process of its own and checks that it lives, that its peak memory stays below
memory-mb and its descriptors below max-fds of its settings, and that an ordinary submission is then taken while
the clients' connections are open. No times and no shares of served requests are checked.
"""

import argparse
import asyncio
import base64
import json
import os
import random
import resource
import shutil
import socket
import subprocess
import sys
import tempfile

from deployment import Deployment, http
from faults import merged_catalogue
from site_http import call
from site_store import Store
from soak import end_with_parent, free_ports

BUILD = os.environ.get("BUILD", "build")
MEMORY_MB = 64          # a process takes 14 MB before the clients come
MAX_FDS = 600
CLIENTS = 300
CLIENTS_OVER = 100      # that send bodies over the limit
IDLE_CLIENTS = 800      # more than MAX_FDS
# The settings of currantlane-entryd name no limits, so those of the smallest VM hold.
ENTRYD_MEMORY_MB = 120
ENTRYD_MAX_FDS = 3075
ENTRYD_CLIENTS = 1500
BODY_MAX = 262144       # default of the operator's max-body-bytes
ENTRYD_BODY_MAX = 65536
PIECE = 4096
LARGE_CHUNK = 65536
SMALL_CHUNK = 8
OVER_ANNOUNCED = 64 << 20
OVER_SENT = 2 << 20     # by each client, unless its connection ends before
PLAY_S = 20             # clients that cannot send on give up after so long, with their connections open
START_S = 60
TRIES = 10              # of the ordinary submission, as callers try again after 503 and 504
HEADERS = {"Host": "jobs.example", "Authorization": "Bearer k", "Content-Type": "application/json",
           "X-Currantlane-Timeout-Ms": "60000"}
STEP = {"count": 1, "cpu": 100, "mem-mb": 10, "gpu": 0, "estimate-ms": 1000}


def job_body(size=0):
    """A valid submission, padded to the size with a member that the service does not know."""
    document = {"spec": "{}", "steps": [STEP], "note": ""}
    document["note"] = "x" * max(0, size - len(json.dumps(document)))
    return json.dumps(document).encode()


def many_values(size):
    """Takes many times its size when it is decoded."""
    start, end = b'{"steps":[{}],"spec":"","note":[{}', b"]}"
    return (start + b",{}" * ((size - len(start) - len(end)) // 3) + end).ljust(size)


def chunked(body, size):
    """Without the last chunk, so the request is not complete."""
    pieces = (body[i:i + size] for i in range(0, len(body), size))
    return b"".join(b"%x\r\n%s\r\n" % (len(p), p) for p in pieces)


class Target:
    """Where requests go, and how the process is seen from outside."""

    def __init__(self, process, address, path, memory_mb, max_fds):
        self.process, self.address, self.path = process, address, path
        self.memory_mb, self.max_fds = memory_mb, max_fds
        self.count = 0

    def head(self, length):
        self.count += 1
        path = self.path % self.count if "%" in self.path else self.path
        lines = ["POST %s HTTP/1.1" % path] + ["%s: %s" % h for h in HEADERS.items()]
        lines.append("Transfer-Encoding: chunked" if length is None else "Content-Length: %d" % length)
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def peak_kb(self):
        with open("/proc/%d/status" % self.process.pid) as f:
            return next(int(line.split()[1]) for line in f if line.startswith("VmHWM"))

    def descriptors(self):
        return len(os.listdir("/proc/%d/fd" % self.process.pid))


class Clients:
    """Sockets of one pattern; they stay open until close()."""

    def __init__(self, target):
        self.target, self.sockets, self.descriptors = target, [], 0

    async def open(self):
        s = socket.socket()
        s.setblocking(False)
        self.sockets.append(s)
        await asyncio.get_running_loop().sock_connect(s, self.target.address)
        return s

    async def play(self, count, client):
        """All clients at once; one whose connection ends has done its part."""
        async def one():
            try:
                await client(await self.open())
            except OSError:
                pass
        tasks = [asyncio.ensure_future(one()) for _ in range(count)]
        loop = asyncio.get_running_loop()
        end = loop.time() + PLAY_S
        pending = tasks
        while pending and loop.time() < end:
            _, pending = await asyncio.wait(pending, timeout=0.2)
            self.look()
        for task in pending:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.look()

    def look(self):
        if self.target.process.poll() is None:
            self.descriptors = max(self.descriptors, self.target.descriptors())

    def send(self, *parts):
        """A client that sends the parts one after the other, then stays."""
        async def client(s):
            for part in parts:
                await asyncio.get_running_loop().sock_sendall(s, part() if callable(part) else part)
                await asyncio.sleep(0)
        return client

    def close(self):
        for s in self.sockets:
            s.close()


def pieces(body, size=PIECE):
    return [body[i:i + size] for i in range(0, len(body), size)]


# Each pattern: name, number of clients, and what each client sends, by the largest legal body.
def patterns(limit):
    whole = job_body(limit)
    over = b"x" * OVER_SENT
    return [
        ("bodies of legal size at once", CLIENTS, lambda t: [lambda: t.head(limit), whole]),
        ("bodies of legal size piece by piece", CLIENTS, lambda t: [lambda: t.head(limit)] + pieces(whole)),
        ("announced bodies that stop before their end", CLIENTS, lambda t: [lambda: t.head(limit), whole[:-1]]),
        ("large chunks that stop before the end", CLIENTS, lambda t: [lambda: t.head(None), chunked(whole, LARGE_CHUNK)]),
        ("small chunks that stop before the end", CLIENTS, lambda t: [lambda: t.head(None), chunked(whole, SMALL_CHUNK)]),
        ("announced bodies over the limit", CLIENTS_OVER, lambda t: [lambda: t.head(OVER_ANNOUNCED), over]),
        ("chunked bodies over the limit", CLIENTS_OVER, lambda t: [lambda: t.head(None), chunked(over, LARGE_CHUNK)]),
        ("idle connections", IDLE_CLIENTS, lambda t: []),
        ("incomplete headers", IDLE_CLIENTS, lambda t: [lambda: t.head(limit)[:-2]]),
        ("bodies of many values", 4, lambda t: [lambda: t.head(limit), many_values(limit)]),
        ("a larger body of many values", 1, lambda t: [lambda: t.head(4 * limit - 8192), many_values(4 * limit - 8192)]),
    ]


class Sited:
    """One VM with the stand-in of the store, in which it becomes the leader."""

    def __init__(self):
        self.dir = tempfile.mkdtemp(prefix="client-limits-")
        self.store = Store(random.Random(1))
        self.process = None

    async def start(self):
        front, ready, peers = free_ports(3)
        store = await self.store.add_door("edge-0")
        settings = os.path.join(self.dir, "settings.toml")
        with open(settings, "w") as f:
            f.write('node = "edge-0"\nzone = "z0"\nip = "127.0.0.1"\nport-range = [%d,%d]\n'
                    '[listen]\nfront = "127.0.0.1:%d"\nready = "127.0.0.1:%d"\n[platform]\naddr = "127.0.0.1:%d"\n'
                    '[limits]\ncpu-share = 1.0\nmemory-mb = %d\nmax-fds = %d\n'
                    % (peers, peers, front, ready, store, MEMORY_MB, MAX_FDS))
        route = {"name": "batch", "host": "jobs.example", "prefix": "/batch/", "service": "pool", "type": "unsafe",
                 "priority": 1, "attempts": 3, "stretch-factor": 3.0, "slo-ms": 1000}
        text = json.dumps({"version": 1, "routes": [route], "services": [{"name": "pool"}], "limits": {},
                           "tenants": [{"name": "w", "api-keys": ["k"], "guaranteed": {}}]})
        await self.store.put("op", "config", base64.b64encode(text.encode()).decode())
        with open(os.path.join(self.dir, "log"), "ab") as log:
            self.process = subprocess.Popen([BUILD + "/currantlane-sited"], stdout=log, stderr=log,
                                            env={"CURRANTLANE_CONFIG": settings, "PATH": os.environ["PATH"]},
                                            preexec_fn=end_with_parent)
        self.front = front
        self.target = Target(self.process, ("127.0.0.1", front), "/batch/%016x", MEMORY_MB, MAX_FDS)
        return await self.submit(job_body(), tries=START_S)

    async def submit(self, body, tries=TRIES):
        """Whether an ordinary submission gets 200; a caller tries again under the same id."""
        self.target.count += 1
        path = self.target.path % self.target.count
        for _ in range(tries):
            answer = await call(self.front, "POST", path, HEADERS, json.loads(body), 60)
            if answer and answer[0] == 200:
                return True
            if self.process.poll() is not None:
                return False
            await asyncio.sleep(1)
        return False

    def stop(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        for door in self.store.doors.values():
            door.stop()
        shutil.rmtree(self.dir)


class Entryd:
    """One failure domain with one VM, whose currantlane-entryd shares the HTTP server."""

    def __init__(self):
        self.deployment = Deployment("run/client-limits", vms=3)

    async def start(self):
        await asyncio.to_thread(self.deployment.start, merged_catalogue(self.deployment.dir))
        vm = self.deployment.vms[0]
        ip, port = vm.callers.split(":")
        self.url = "http://%s/v1/requests" % vm.callers
        self.process = vm.entryd
        self.target = Target(vm.entryd, (ip, int(port)), "/v1/requests", ENTRYD_MEMORY_MB, ENTRYD_MAX_FDS)
        return await self.submit(None)

    async def submit(self, _):
        body = {"workspace": "counters", "kind": "checkout-verification", "payload": {"echo": 1}}
        for _ in range(TRIES):
            status, _ = await asyncio.to_thread(http, "POST", self.url, body, 60)
            if status == 200:
                return True
            await asyncio.sleep(1)
        return False

    def stop(self):
        self.deployment.end()


async def run_case(name, system, count, parts):
    """Prints one line; whether all held."""
    faults = []
    clients = None
    try:
        if not await system.start():
            faults.append("not served before the clients came")
        target = system.target
        before = target.peak_kb()
        clients = Clients(target)
        if parts is None:
            if not await system.submit(job_body(BODY_MAX)):
                faults.append("a body of %d bytes, sent alone, was not taken" % BODY_MAX)
            clients.look()
        else:
            await clients.play(count, clients.send(*parts(target)))
        if target.process.poll() is None and not await system.submit(job_body()):
            faults.append("no answer to an ordinary submission")
        clients.look()
        if target.process.poll() is None:
            peak = target.peak_kb()
            if peak >= target.memory_mb * 1024:
                faults.append("peak memory of %d MB of %d" % (peak // 1024, target.memory_mb))
            if clients.descriptors >= target.max_fds:
                faults.append("%d descriptors of %d" % (clients.descriptors, target.max_fds))
        else:
            peak = 0
            faults.append("the process ended")
        print("%s %s: %d clients, %d MB before, peak %d MB, %d descriptors%s"
              % ("FAIL" if faults else "ok  ", name, count, before // 1024, peak // 1024, clients.descriptors,
                 "".join("; " + f for f in faults)), flush=True)
    finally:
        if clients:
            clients.close()
        system.stop()
    return not faults


def cases():
    out = [("sited: one body of the largest legal size", Sited, 1, None)]
    out += [("sited: " + name, Sited, count, parts) for name, count, parts in patterns(BODY_MAX)]
    out += [("entryd: " + name, Entryd, ENTRYD_CLIENTS, parts)
            for name, _, parts in patterns(ENTRYD_BODY_MAX) if name.startswith("large chunks")]
    return out


async def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--case", default="", help="only cases whose name holds this text")
    args = parser.parse_args()
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    chosen = [c for c in cases() if args.case in c[0]]
    held = [await run_case(name, system(), count, parts) for name, system, count, parts in chosen]
    print("clients outside the limits, %d cases: %s" % (len(held), "ok" if held and all(held) else "VIOLATED"))
    return 0 if held and all(held) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
