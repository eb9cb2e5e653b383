"""Randomized soak: real gateways, stand-ins as processes, faults from outside.

Checks, from what callers and backend servers see: what may run once runs at
most once; a refusal means that it has not run; an answer belongs to its
request; a stream is contiguous and complete only at its end; a configuration
never goes back; a backend server gets no more than the rate limit that it
states; no process ends by itself.
"""

import argparse
import asyncio
import collections
import http.client
import json
import pathlib
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).parent))
from proxy import ONE_WAY, PASS, SILENT, Proxy  # noqa: E402
from rate_limits import RateLimits  # noqa: E402

STORE, STORE_PROXY, SERVER, SERVER_PROXY = 21000, 21001, 21100, 21200
ENTRY, READY, DIRECTORY, PEER = 12000, 12001, 12002, 12003
SLOT_PORTS, SLOT_ADDRESSES = 400, 20
STREAM_EVENTS = 20
REFUSALS = (408, 421, 429, 503)
ROUTES = {"safe": "safe", "once": "unsafe", "stream": "streaming",
          "resume": "streaming"}


class Process:
    """A process that the soak started and may signal."""

    def __init__(self, words, out):
        self.words = words
        self.out = out
        self.child = None
        self.told_to_end = False

    def start(self, on_line=None):
        self.told_to_end = False
        self.child = subprocess.Popen(
            self.words, stdout=subprocess.PIPE if on_line else self.out,
            stderr=self.out, text=True)
        if on_line:
            threading.Thread(target=self.read, args=(self.child, on_line),
                             daemon=True).start()

    @staticmethod
    def read(child, on_line):
        for line in child.stdout:
            on_line(line)

    def send(self, number):
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.told_to_end = True
        if self.child.poll() is None:
            self.child.send_signal(number)

    def ended_by_itself(self):
        return self.child.poll() is not None and not self.told_to_end

    def finish(self):
        if self.child and self.child.poll() is None:
            self.told_to_end = True
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()


class Soak:
    def __init__(self, options):
        self.options = options
        self.rng = random.Random(options.seed)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="soak-"))
        self.log = open(self.folder / "processes.log", "w")
        self.runs = collections.Counter()
        self.answers = []
        self.problems = []
        self.version = 0
        self.sequence = 0
        self.counts = collections.Counter()
        self.limits = RateLimits()
        self.lock = threading.Lock()
        self.over = threading.Event()
        self.gateways, self.servers, self.proxies = [], [], []
        self.starts = collections.Counter()
        self.numbers = iter(range(10**9))
        shift = options.slot * SLOT_PORTS
        self.store_port = STORE + shift
        self.store_proxy = STORE_PROXY + shift
        self.server_port = SERVER + shift
        self.server_proxy = SERVER_PROXY + shift

    def address(self, at):
        """Each gateway has an address; ports are the same on all."""
        return f"127.0.0.{11 + self.options.slot * SLOT_ADDRESSES + at}"

    def problem(self, text):
        with self.lock:
            self.problems.append(f"{time.time():.3f} {text}")

    # Processes

    def settings(self, at):
        ip = self.address(at)
        path = self.folder / f"gateway-{at}.conf"
        path.write_text(
            f"nodeName=g-{at}\nzone=z\nlisten.frontend={ip}:{ENTRY}\n"
            f"listen.ready={ip}:{READY}\n"
            f"listen.directoryService={ip}:{DIRECTORY}\n"
            f"internalPortRange={PEER},{PEER + 9}\n"
            f"seedNodes={self.address(0)}:1,{self.address(1)}:1\n"
            f"bootstrap=false\n"
            f"platform.address=127.0.0.1:{self.store_proxy}\n"
            f"bounds.graceS=8\nbounds.budgetSlack=50\n")
        return path

    def start_processes(self, build):
        standin = str(build / "tests/platform_standins/platform-standin")
        store = Process([standin, "store", str(self.store_port)], self.log)
        store.start()
        self.store = store
        for at in range(self.options.servers):
            server = Process([standin, "server", f"i-{at}", str(self.server_port + at),
                              str(self.options.seed + at)], self.log)
            server.start(self.server_lines(at))
            self.servers.append(server)
        for at in range(self.options.gateways):
            gateway = Process(
                [self.options.gateway or
                 str(build / "platform/medlarstall-gateway"), "--metrics-port",
                 "0", "--settings", str(self.settings(at))], self.log)
            gateway.start()
            self.gateways.append(gateway)

    def server_lines(self, at):
        """Returns what handles the lines that a backend server prints."""
        def on_line(line):
            words = line.split()
            with self.lock:
                if len(words) == 2 and words[0] == "run":
                    self.runs[words[1]] += 1
                elif len(words) == 3:
                    self.limits.on_server_event(at, *words)
        return on_line

    # The store, written as operators and backend servers do

    def put(self, topic, key, value):
        data = key.encode() + (json.dumps(value).encode() if value else b"")
        content = bytes([len(key)]) + data
        body = len(content).to_bytes(4, "big") + content
        for _ in range(50):
            try:
                link = http.client.HTTPConnection("127.0.0.1",
                                                  self.store_port, timeout=1)
                link.request("POST", f"/api/log-append?topic={topic}&part=0",
                             body)
                if link.getresponse().status == 200:
                    return
            except OSError:
                pass
            time.sleep(0.1)

    def configure(self):
        self.version += 1
        names = list(ROUTES) + [f"added-{self.version}"]
        routes = [{"name": name, "hostname": "h.example",
                   "pathPrefix": f"/{name}/",
                   "routeType": ROUTES.get(name, "safe"), "timeoutMs": 3000,
                   "targetLatencyMs": 500, "priority": 1, "service": "s",
                   "maxAttempts": 2, "streamResume": name == "resume",
                   "public": True} for name in names]
        self.put("keyed.op", "config",
                 {"version": self.version, "routes": routes,
                  "services": [{"name": "s", "healthCheckPath": "/healthz"}]})

    def list_server(self, at, state="ready"):
        self.sequence += 1
        self.put("keyed.servers", f"i-{at}",
                 {"service": "s", "address": f"127.0.0.1:{self.server_proxy + at}",
                  "zone": "z", "version": "v1", "slots": 8, "state": state,
                  "coldRemainingMs": 0, "sequence": self.sequence,
                  "born": 1700000000000})

    # Callers

    def caller(self, number):
        rng = random.Random(self.options.seed * 1000 + number)
        link, target = None, None
        while not self.over.is_set():
            if link is None or rng.random() < 0.1:
                target = rng.randrange(self.options.gateways)
                link = http.client.HTTPConnection(self.address(target), ENTRY,
                                                  timeout=5)
            kind = rng.choice(list(ROUTES))
            with self.lock:
                attempt = f"a{next(self.numbers)}"
                self.limits.on_sent(attempt, target)
            if not self.ask(link, kind, attempt):
                link = None
            time.sleep(rng.random() * 0.05)

    def ask(self, link, kind, attempt):
        """Sends a request; returns whether the connection may be kept."""
        method = "POST" if kind != "safe" else "GET"
        try:
            link.request(method, f"/{kind}/x", None if method == "GET" else
                         attempt * 20, {"Host": "h.example",
                                        "X-Attempt-Id": attempt,
                                        "X-Deadline-Ms": "4000"})
            answer = link.getresponse()
            status = answer.status
            if answer.headers.get("Server-Limit"):
                with self.lock:
                    self.limits.on_told(attempt,
                                        answer.headers.get("X-Instance-Id"))
            body = answer.read()
        except (OSError, http.client.HTTPException):
            self.note(kind, attempt, 0, b"", False)
            return False
        self.note(kind, attempt, status, body, True)
        return answer.headers.get("Connection") != "close"

    def note(self, kind, attempt, status, body, whole):
        with self.lock:
            self.answers.append((kind, attempt, status, body, whole))
            self.counts[status] += 1

    # What must hold

    def check(self):
        for kind, attempt, status, body, whole in self.answers:
            runs = self.runs[attempt]
            once = kind in ("once", "stream")
            if once and runs > 1:
                self.problem(f"{attempt} ({kind}) ran {runs} times")
            if once and status in REFUSALS and runs > 0:
                self.problem(f"{attempt} ({kind}) got {status} and ran")
            if whole and status == 200 and kind in ("safe", "once"):
                if body != f"done {attempt}".encode():
                    self.problem(f"{attempt} got {body[:60]!r}")
            if whole and status == 200 and kind in ("stream", "resume"):
                expected = "".join(f"id: {n}\ndata: {attempt}\n\n"
                                   for n in range(1, STREAM_EVENTS + 1))
                if body.decode() != expected:
                    self.problem(f"{attempt} ({kind}) got another stream")
        for process in self.gateways + self.servers + [self.store]:
            if process.ended_by_itself():
                self.problem(f"{process.words[0]} ended by itself")
        for text in self.limits.problems():
            self.problem(text)
        if self.counts[200] < sum(self.counts.values()) / 4:
            self.problem(f"few answers: {dict(self.counts)}")

    def watch_versions(self):
        """Follows the configuration that each start of a gateway tells."""
        seen = {}
        while not self.over.is_set():
            for at, gateway in enumerate(self.gateways):
                start = (at, gateway.child.pid)
                try:
                    link = http.client.HTTPConnection(self.address(at), PEER,
                                                      timeout=1)
                    link.request("GET", "/v1/status")
                    told = json.loads(link.getresponse().read())
                except (OSError, ValueError, http.client.HTTPException):
                    continue
                version = told["configuration"]
                if version < seen.get(start, 0):
                    self.problem(f"g-{at} went back to {version}")
                seen[start] = max(version, seen.get(start, 0))
            time.sleep(0.2)

    # Faults

    async def faults(self):
        end = time.monotonic() + self.options.minutes * 60
        while time.monotonic() < end:
            await asyncio.sleep(self.rng.uniform(0.1, 1.2))
            fault = self.rng.choice([
                self.kill_gateway, self.stop_gateway, self.pause, self.hup,
                self.kill_server, self.drain_server, self.silence, self.reset,
                self.slow, self.change, self.change, self.limit_server])
            asyncio.get_running_loop().create_task(fault())
        await asyncio.sleep(10)

    def place_of(self, item):
        """Returns which gateway, backend server or store a fault strikes."""
        if item in self.gateways:
            return ("gateway", self.gateways.index(item))
        if item in self.servers:
            return ("server", self.servers.index(item))
        if item in self.proxies[1:]:
            return ("server", self.proxies.index(item) - 1)
        return ("store", 0)

    async def restart(self, process, on_line=None):
        while process.child.poll() is None:
            await asyncio.sleep(0.05)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        process.start(on_line)

    async def end(self, process, number, on_line=None):
        if process.told_to_end or process.child.poll() is not None:
            return
        with self.limits.disturbed(self.place_of(process)):
            process.send(number)
            await self.restart(process, on_line)

    async def kill_gateway(self):
        await self.end(self.rng.choice(self.gateways), signal.SIGKILL)

    async def stop_gateway(self):
        await self.end(self.rng.choice(self.gateways), signal.SIGTERM)

    async def kill_server(self):
        at = self.rng.randrange(len(self.servers))
        self.limits.on_server_killed(at)
        await self.end(self.servers[at], signal.SIGKILL, self.server_lines(at))

    async def limit_server(self):
        server = self.rng.choice(self.servers)
        child = server.child
        for _ in range(2):
            if server.child is child and not server.told_to_end:
                child.send_signal(signal.SIGUSR1)
            await asyncio.sleep(self.rng.uniform(6.0, 14.0))

    async def hup(self):
        self.rng.choice(self.gateways).send(signal.SIGHUP)

    async def pause(self):
        process = self.rng.choice(self.gateways + self.servers + [self.store])
        with self.limits.disturbed(self.place_of(process)):
            process.send(signal.SIGSTOP)
            await asyncio.sleep(self.rng.uniform(0.1, 3.0))
            process.send(signal.SIGCONT)

    async def drain_server(self):
        at = self.rng.randrange(len(self.servers))
        await asyncio.to_thread(self.list_server, at, "draining")
        await asyncio.sleep(self.rng.uniform(1.0, 3.0))
        await asyncio.to_thread(self.list_server, at)

    async def silence(self):
        proxy = self.rng.choice(self.proxies)
        with self.limits.disturbed(self.place_of(proxy)):
            proxy.mode = self.rng.choice([SILENT, ONE_WAY])
            await asyncio.sleep(self.rng.uniform(0.5, 4.0))
            proxy.mode = PASS

    async def reset(self):
        proxy = self.rng.choice(self.proxies)
        with self.limits.disturbed(self.place_of(proxy)):
            proxy.reset(0.5, self.rng)

    async def slow(self):
        proxy = self.rng.choice(self.proxies)
        with self.limits.disturbed(self.place_of(proxy)):
            proxy.delay = self.rng.uniform(0.01, 0.3)
            await asyncio.sleep(self.rng.uniform(0.5, 3.0))
            proxy.delay = 0.0

    async def change(self):
        await asyncio.to_thread(self.configure)

    async def play(self, build):
        self.proxies = [Proxy(self.store_proxy, self.store_port)] + [
            Proxy(self.server_proxy + at, self.server_port + at)
            for at in range(self.options.servers)]
        for proxy in self.proxies:
            await proxy.start()
        self.start_processes(build)
        await asyncio.sleep(0.5)
        await asyncio.to_thread(self.configure)
        for at in range(self.options.servers):
            await asyncio.to_thread(self.list_server, at)
        threads = [threading.Thread(target=self.caller, args=(number,))
                   for number in range(self.options.callers)]
        threads.append(threading.Thread(target=self.watch_versions))
        await asyncio.sleep(1.0)
        for thread in threads:
            thread.start()
        await self.faults()
        self.over.set()
        for thread in threads:
            await asyncio.to_thread(thread.join)

    def run(self, build):
        try:
            asyncio.run(self.play(build))
            self.check()
        finally:
            self.over.set()
            for process in self.gateways + self.servers + [self.store]:
                process.finish()
        for text in self.problems[:20]:
            print(f"FAILED seed {self.options.seed}: {text}")
        print(f"seed {self.options.seed}: {len(self.answers)} requests, "
              f"{sum(self.runs.values())} runs, answers "
              f"{dict(sorted(self.counts.items()))}, "
              f"{len(self.problems)} problems, logs in {self.folder}")
        return 1 if self.problems else 0


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=0.5)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--servers", type=int, default=4)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--slot", type=int, default=0,
                        help="0 to 9, for soaks beside each other")
    parser.add_argument("--gateway", help="another program to play")
    parser.add_argument("--build", default="build/release")
    options = parser.parse_args()
    return Soak(options).run(pathlib.Path(options.build).resolve())


if __name__ == "__main__":
    sys.exit(main())
