"""What the scripts share: processes, settings, configuration and clients."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time

import wire

LIB = pathlib.Path(__file__).resolve().parent
ROOT = LIB.parent.parent
GATEWAY = ROOT / "target/platform/medlarstall-gateway"
HELD, BROKEN, NOT_RUN = 0, 1, 2
KEY = "k0123456789abcdef"
HOST = "desk.example"


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(hosts, count):
    """Returns port numbers that are free at all the hosts."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 30000)
        try:
            for host in hosts:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as probe:
                        probe.bind((host, port))
        except OSError:
            continue
        if port not in found:
            found.append(port)
    return found


class Record:
    """record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", buffering=1)
        self.began = time.time()

    def note(self, text):
        self.file.write(f"{time.time() - self.began:8.3f} {text}\n")

    def say(self, text):
        self.note(text)
        print(text, flush=True)


class Site:
    """A small deployment on loopback addresses."""

    def __init__(self, folder, gateways=1):
        self.folder = pathlib.Path(folder)
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="medlarstall-review-"))
        self.record = Record(folder)
        self.children = []
        self.logs = open(self.temp / "processes.log", "w")
        net = random.randrange(10, 250)
        self.hosts = [f"127.{net}.0.{11 + at}" for at in range(gateways)]
        self.far = f"127.{net}.1.1"
        ports = free_ports(self.hosts, 6)
        self.entry, self.ready, self.directory, self.metrics = ports[:4]
        self.peer = ports[4]
        self.store = self.address()
        self.gateways = [None] * gateways
        self.version = 0
        self.extra_settings = ""
        self.bootstrap = True

    def address(self):
        """Returns a free address for a stand-in."""
        return f"{self.far}:{free_ports([self.far], 1)[0]}"

    def entry_of(self, at):
        return f"{self.hosts[at]}:{self.entry}"

    # Processes

    def start(self, words, env=None):
        child = subprocess.Popen([str(word) for word in words],
                                 stdout=self.logs, stderr=self.logs,
                                 env={**os.environ, **(env or {})}, cwd=ROOT)
        self.children.append(child)
        return child

    def start_standin(self, name, *words, env=None):
        return self.start([sys.executable, LIB / name, *words], env)

    def settings(self, at):
        ip = self.hosts[at]
        seeds = ",".join(f"{host}:1" for host in self.hosts[:3])
        return (f"nodeName=edge-{at}\nrole=gateway\nmachineClass=edge\n"
                f"serves=edge,registry,control\nip={ip}\nzone=z-a\n"
                f"region=r\nzones.z-a=r\nlisten.frontend={ip}:{self.entry}\n"
                f"listen.ready={ip}:{self.ready}\n"
                f"listen.directoryService={ip}:{self.directory}\n"
                f"internalPortRange={self.peer},{self.peer + 15}\n"
                f"seedNodes={seeds}\n"
                f"bootstrap={'true' if self.bootstrap else 'false'}\n"
                f"limits.cpuQuota=0.25\nlimits.cpuCores=1\n"
                f"limits.memoryMb=260\nlimits.maxFds=4100\n"
                f"limits.linkMbps=1000.0\nheartbeatIntervalMs=1200\n"
                f"bounds.contactMs=3000\nbounds.drainMs=2000\n"
                f"bounds.graceS=8\nbounds.configApplyMs=2000\n"
                f"bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
                f"bounds.budgetSlack=54\nbounds.ttl_max_s=5\n"
                f"platform.address={self.store}\nplatform.form=log\n"
                f"platform.writesPerS=400\nplatform.readsPerS=2000\n"
                + self.extra_settings)

    def start_gateway(self, at):
        path = self.temp / f"edge-{at}.conf"
        path.write_text(self.settings(at))
        log = open(self.temp / f"edge-{at}.log", "a")
        child = subprocess.Popen(
            [str(GATEWAY), "--metrics-port", "0"], stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"],
                 "MEDLARSTALL_NODE_FILE": str(path)}, cwd=ROOT)
        self.children.append(child)
        self.gateways[at] = child
        return child

    def finish(self):
        for child in self.children:
            if child.poll() is None:
                child.send_signal(signal.SIGCONT)
                child.kill()
                child.wait()

    # The operator

    async def wait_for(self, address, path="/", status=None, timeout=10.0):
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            try:
                got, _, _ = await wire.call(address, "GET", path, timeout=1.0)
                if status is None or got == status:
                    return
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.05)
        raise NotRun(f"{address}{path} does not answer")

    async def configure(self, routes, services, tenants=None):
        self.version += 3
        await wire.put(self.store, "keyed.op", "config", {
            "version": self.version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": tenants or [{"name": "hule930", "apiKeys": [KEY],
                                    "priority": 1}]})
        self.record.note(f"operator: config version {self.version}")

    async def wait_ready(self, at, timeout=10.0):
        await self.wait_for(f"{self.hosts[at]}:{self.ready}", "/api/readyz",
                            200, timeout)


class NotRun(Exception):
    """The case could not be run."""


def route(name, kind, service, **fields):
    return {"name": name, "hostname": HOST, "pathPrefix": f"/{name}/",
            "routeType": kind, "timeoutMs": 12000, "targetLatencyMs": 1500,
            "priority": 1, "service": service, "maxAttempts": 2,
            "public": False, "sessionAffinity": False, "streamResume": False,
            **fields}


class Answer:
    """What a client got."""

    def __init__(self, status, fields, body, whole, reason=""):
        self.status = status
        self.fields = fields
        self.body = body
        self.whole = whole
        self.reason = reason


async def ask(address, method, target, attempt, body=b"", key=KEY,
              deadline_ms=12000, fields=None):
    """One client attempt on a new channel."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            sent = {"Host": HOST, "X-Attempt-Id": attempt,
                    "X-Deadline-Ms": deadline_ms,
                    "Authorization": f"Token {key}", **(fields or {})}
            if body or method != "GET":
                sent["Content-Length"] = len(body)
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in sent.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, got = await wire.read_head(reader)
            status = int(first.split(" ")[1])
            if "chunked" in got.get("transfer-encoding", ""):
                data, whole = await wire.read_chunks(reader)
                return Answer(status, got, data, whole)
            size = int(got.get("content-length", "0"))
            try:
                return Answer(status, got, await reader.readexactly(size), True)
            except asyncio.IncompleteReadError as part:
                return Answer(status, got, part.partial, False)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except asyncio.TimeoutError:
        return Answer(0, {}, b"", False, "deadline")
    except (OSError, asyncio.IncompleteReadError, ValueError) as problem:
        return Answer(0, {}, b"", False, type(problem).__name__)


def play(folder, case, gateways=1):
    """Runs a case and ends the script with its exit code."""
    if not GATEWAY.exists():
        print("the gateway is not built")
        sys.exit(NOT_RUN)
    site = Site(folder, gateways)
    try:
        code = asyncio.run(case(site))
    except (NotRun, OSError, asyncio.TimeoutError) as problem:
        site.record.say(f"not run: {problem!r}")
        code = NOT_RUN
    finally:
        site.finish()
    print(f"logs in {site.temp}")
    sys.exit(code)


def load_lines(path):
    return [line.split() for line in pathlib.Path(path).read_text().splitlines()]


def to_json(value):
    return json.dumps(value, sort_keys=True)
