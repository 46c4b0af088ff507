"""A small deployment of currantlane on loopback: one platform, three failure
domains, eight entry VMs and groups of backend servers. Used by the demo, the
fault runs and the load experiments. Only processes started here are ended."""

import json
import os
import signal
import subprocess
import threading
import time
import urllib.error
import urllib.request

BUILD = os.environ.get("BUILD", "build")
DOMAINS = ["fd-a", "fd-b", "fd-c"]
# several deployments can run side by side, each in a loopback network of its own
NET = "127.%d" % int(os.environ.get("CURRANTLANE_NET", "0"))
PLATFORM = NET + ".0.1:17000"


def http(method, url, body=None, timeout=10, headers=None):
    """Returns (status, parsed body); status 0 when there was no whole answer."""
    data = json.dumps(body).encode() if body is not None else None
    request = urllib.request.Request(url, data=data, method=method, headers=headers or {})
    try:
        with urllib.request.urlopen(request, timeout=timeout) as answer:
            return answer.status, parse(answer.read())
    except urllib.error.HTTPError as error:
        try:
            return error.code, parse(error.read())
        except Exception:
            return 0, None
    except Exception:
        return 0, None


def parse(raw):
    try:
        return json.loads(raw)
    except ValueError:
        return raw.decode(errors="replace")


class Vm:
    """One entry VM: its settings file and its two daemons."""

    def __init__(self, deployment, index, domain):
        self.deployment = deployment
        self.id = "e%d" % index
        self.index = index
        self.domain = domain
        self.ip = NET + ".1.%d" % (index + 1)
        self.callers = self.ip + ":7000"
        self.peers = self.ip + ":7001"
        self.operators = self.ip + ":7002"
        self.sched_peers = self.ip + ":7003"
        self.sched_operators = self.ip + ":7004"
        self.entryd = None
        self.schedd = None
        self.lock = threading.Lock()
        self.draining = None  # an entryd that got SIGTERM and still finishes its requests

    def write_settings(self):
        d = self.deployment
        path = os.path.join(d.dir, self.id + ".toml")
        seeds = ['"%s"' % v.peers for v in d.vms if v.domain == self.domain]
        with open(path, "w") as f:
            f.write('[vm]\nid = "%s"\nfailure_domain = "%s"\n' % (self.id, self.domain))
            f.write('peer_networks = ["127.0.0.0/8"]\nseeds = [%s]\n' % ", ".join(seeds))
            f.write('[platform]\naddress = "%s"\n' % PLATFORM)
            f.write('[entry]\ncallers = "%s"\npeers = "%s"\noperators = "%s"\nthreads = %d\n'
                    % (self.callers, self.peers, self.operators, d.threads))
            f.write('[sched]\npeers = "%s"\noperators = "%s"\n'
                    % (self.sched_peers, self.sched_operators))
            f.write('[policy]\nweight_percent = %d\nlease_ms = %d\nreclaim_ms = 2000\n'
                    % (d.weight, d.lease_ms))
            f.write('[log]\nfile = "%s/%s.log"\ntraces = "%s/%s.spans"\n'
                    % (d.dir, self.id, d.dir, self.id))
        return path

    def start(self, what="both"):
        path = self.write_settings()
        if self.draining and self.draining.poll() is None:
            threading.Thread(target=self.start_after_drain, args=(what,)).start()
            return
        with self.lock:
            self.draining = None
            if what in ("both", "entryd") and not self.entryd:
                self.entryd = self.deployment.spawn("currantlane-entryd", "--settings", path)
            if what in ("both", "schedd") and not self.schedd:
                self.schedd = self.deployment.spawn("currantlane-schedd", "--settings", path)

    def start_after_drain(self, what):
        old = self.draining
        if old:
            old.wait()
        self.start(what)

    def kill(self, what="both"):
        for name in ("entryd", "schedd"):
            process = getattr(self, name)
            if what in ("both", name) and process:
                process.kill()
                process.wait()
                setattr(self, name, None)

    def entry(self):
        return {"id": self.id, "role": "entry", "failure_domain": self.domain, "state": "live",
                "entry_peers": self.peers, "sched_peers": self.sched_peers}

    def is_ready(self):
        return http("GET", "http://%s/readyz" % self.callers, timeout=1)[0] == 200

    def status(self, which="sched"):
        address = self.sched_operators if which == "sched" else self.operators
        return http("GET", "http://%s/status" % address, timeout=2)[1]


class Deployment:
    def __init__(self, directory, servers=17, vms=8, threads=2, weight=50, lease_ms=4000):
        self.dir = directory
        self.threads = threads
        self.weight = weight
        self.lease_ms = lease_ms
        self.processes = []
        os.makedirs(directory, exist_ok=True)
        for name in os.listdir(directory):
            if name.endswith((".log", ".spans", ".ledger", ".toml")):
                os.unlink(os.path.join(directory, name))
        self.vms = [Vm(self, i, DOMAINS[i % len(DOMAINS)]) for i in range(vms)]
        self.servers = {}
        for k, domain in enumerate(DOMAINS):
            for i in range(servers):
                name = "%s-b%d" % (domain, i)
                self.servers[name] = {
                    "id": name, "role": "backend", "failure_domain": domain,
                    "rack": "%s-r%d" % (domain, i // 8), "address": "%s.2.%d:%d" % (NET, k + 1, 8000 + i),
                    "accelerators": 8, "slots": 8, "connections": 64, "state": "live"}
        self.server_count = servers

    def spawn(self, program, *args):
        errors = open(os.path.join(self.dir, "stderr.log"), "a")
        process = subprocess.Popen([os.path.join(BUILD, program)] + list(args),
                                   stdout=errors, stderr=errors)
        self.processes.append(process)
        return process

    def start_standins(self):
        if http("GET", "http://%s/admin/counts" % PLATFORM, timeout=1)[0]:
            raise RuntimeError("another deployment is running on these addresses")
        self.platform = self.spawn("standin-platform", "--ip", PLATFORM.split(":")[0],
                                   "--port", PLATFORM.split(":")[1],
                                   "--ledger", os.path.join(self.dir, "platform.ledger"))
        self.backends = []
        for k, domain in enumerate(DOMAINS):
            self.backends.append(self.spawn(
                "standin-backend", "--ip", "%s.2.%d" % (NET, k + 1), "--port", "8000",
                "--count", str(self.server_count), "--prefix", domain + "-b",
                "--ledger", os.path.join(self.dir, "backend-%s.ledger" % domain)))
        self.wait(lambda: http("GET", "http://%s/admin/counts" % PLATFORM, timeout=1)[0] == 200,
                  10, "the platform stand-in")
        self.put_vms(list(self.servers.values()) + [v.entry() for v in self.vms])

    def put_vms(self, entries):
        http("PUT", "http://%s/admin/vms" % PLATFORM, entries)

    def start(self, catalogue):
        self.start_standins()
        self.apply(catalogue)
        for vm in self.vms:
            vm.start()
        self.wait(lambda: all(v.is_ready() for v in self.vms), 20, "entry VMs to be ready")
        self.wait(lambda: all(self.active_sched(d) for d in DOMAINS), 20, "schedulers")

    def cli(self, *args):
        return subprocess.run([os.path.join(BUILD, "currantlane"), "--platform", PLATFORM] + list(args),
                              capture_output=True, text=True, timeout=60)

    def apply(self, catalogue, base=0):
        result = self.cli("--by", "deployment", "--base", str(base), "catalogue", "apply", catalogue)
        if result.returncode:
            raise RuntimeError("catalogue apply failed: " + result.stderr)
        return result.stdout

    def active_sched(self, domain):
        for vm in self.vms:
            if vm.domain == domain and vm.schedd:
                status = vm.status()
                if isinstance(status, dict) and status.get("active"):
                    return vm
        return None

    def platform_fault(self, **fault):
        http("POST", "http://%s/fault" % PLATFORM, fault)

    def server_fault(self, name, **fault):
        http("POST", "http://%s/fault" % self.servers[name]["address"], fault)

    def wait(self, condition, seconds, what):
        end = time.time() + seconds
        while time.time() < end:
            if condition():
                return
            time.sleep(0.1)
        raise RuntimeError("gave up after %d s waiting for %s" % (seconds, what))

    def stop(self):
        """Graceful stop of all daemons, then of the stand-ins; returns the daemons' exit codes."""
        daemons = [p for v in self.vms for p in (v.entryd, v.schedd) if p]
        for process in daemons:
            process.send_signal(signal.SIGTERM)
        codes = []
        for process in daemons:
            try:
                codes.append(process.wait(timeout=40))
            except subprocess.TimeoutExpired:
                process.kill()
                codes.append("did not stop")
        self.end()
        return codes

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()


def read_ledger(path):
    """The whole lines of a ledger; a last line may be cut when its process was killed."""
    with open(path) as f:
        for line in f:
            try:
                yield json.loads(line)
            except ValueError:
                continue
