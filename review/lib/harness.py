"""What every case shares: the record, the gateways as processes, the clients,
and the way a case ends."""

import asyncio
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import http_wire as wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
# As in deploy/system.toml; the program starts in the root of the repository.
GATEWAY = "target/platform/medlarstall-gateway"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRY, READY, CONTROL, DIRECTORY, PEER = 8227, 8220, 8229, 8224, 7340
METRICS = 9464
STORE_PORT, RUNNER_PORT = 8223, 8080
HOST = "ficu95.example"
KEY, TENANT = "n2ctnfzs989anu6wsjnb", "hule930"
BROKEN, HELD, UNABLE = 1, 0, 2


class Unable(Exception):
    """The case could not run."""


class Record:
    def __init__(self, folder):
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def add(self, event, subject="", **fields):
        words = [f"{time.monotonic() - self.began:9.3f}", event, str(subject)]
        words += [f"{name}={value}" for name, value in fields.items()]
        self.file.write(" ".join(words).rstrip() + "\n")
        self.file.flush()


def free_network():
    """Returns the first three numbers of loopback addresses of which the
    ports are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        try:
            for last in range(1, 20):
                for port in (ENTRY, READY, CONTROL, DIRECTORY, PEER, METRICS,
                             STORE_PORT, RUNNER_PORT):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET,
                                         socket.SO_REUSEADDR, 1)
                        probe.bind((f"{net}.{last}", port))
            return net
        except OSError:
            continue
    raise Unable("no free ports")


class Gateway:
    """One gateway process, with settings like those of a small site."""

    def __init__(self, case, number, seeds):
        self.case = case
        self.name = f"edge-{number}"
        self.ip = case.address(number)
        self.store_name = self.name
        self.seeds = seeds
        self.child = None
        self.path = case.folder / f"{self.name}.conf"

    def write_settings(self, bootstrap):
        ip = self.ip
        lines = {
            "nodeName": self.name, "role": "gateway", "machineClass": "edge",
            "serves": "edge,control,registry", "ip": ip, "zone": "regina-a",
            "region": "prairie-west", "zones.regina-a": "prairie-west",
            "listen.frontend": f"{ip}:{ENTRY}",
            "listen.ready": f"{ip}:{READY}",
            "listen.controlPlane": f"{ip}:{CONTROL}",
            "listen.directoryService": f"{ip}:{DIRECTORY}",
            "internalPortRange": f"{PEER},{PEER + 15}",
            "seedNodes": ",".join(f"{seed}:{CONTROL}" for seed in self.seeds),
            "bootstrap": "true" if bootstrap else "false",
            "limits.memoryMb": "260", "limits.maxFds": "4100",
            "heartbeatIntervalMs": "1200", "bounds.contactMs": "3000",
            "bounds.drainMs": "2000", "bounds.graceS": "8",
            "bounds.lossSlackMs": "200", "bounds.configApplyMs": "2000",
            "bounds.rollbackSlackMs": "250",
            "bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10",
            "bounds.budgetSlack": "54", "bounds.ttl_max_s": "5",
            "platform.address": f"{self.case.store_host(self)}:{STORE_PORT}",
            "platform.form": "log"}
        self.path.write_text("".join(f"{name}={value}\n"
                                     for name, value in lines.items()))

    def start(self, bootstrap=True):
        self.write_settings(bootstrap)
        environment = {"PATH": os.environ.get("PATH", ""),
                       "HOME": os.environ.get("HOME", "/"), "LANG": "C",
                       "MEDLARSTALL_NODE_FILE": str(self.path)}
        log = open(self.case.folder / f"{self.name}.log", "ab")
        self.child = subprocess.Popen([GATEWAY], cwd=ROOT, env=environment,
                                      stdout=log, stderr=log)
        log.close()
        self.case.record.add("gateway_start", self.name, ip=self.ip)

    def send(self, number):
        self.case.record.add("signal", self.name,
                             signal=signal.Signals(number).name)
        self.child.send_signal(number)

    def end(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, READY)
            writer.write(wire.request("GET", "/api/readyz",
                                      {"Host": self.ip}))
            head = await asyncio.wait_for(wire.read_head(reader), 1)
            writer.close()
            return head is not None and head.status == 200
        except (OSError, asyncio.TimeoutError):
            return False


class Case:
    """The processes and stand-ins of one run."""

    def __init__(self, folder):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record = Record(pathlib.Path(folder))
        self.net = free_network()
        self.gateways = []
        self.attempts = 0

    def address(self, number):
        return f"{self.net}.{number}"

    def store_host(self, gateway):
        """Each gateway reaches the store at the address below its own."""
        return f"127.{self.net.split('.')[1]}.251.{gateway.ip.split('.')[3]}"

    def add_gateway(self, number, seeds=(1, 2, 3)):
        seed_ips = [self.address(item) for item in seeds]
        gateway = Gateway(self, number, seed_ips)
        self.gateways.append(gateway)
        return gateway

    def new_attempt(self):
        self.attempts += 1
        return f"{random.getrandbits(32):08x}{self.attempts:08x}"

    async def wait_ready(self, gateways, seconds=10):
        ends = time.monotonic() + seconds
        for gateway in gateways:
            while not await gateway.is_ready():
                if time.monotonic() > ends or gateway.child.poll() is not None:
                    raise Unable(f"{gateway.name} is not ready")
                await asyncio.sleep(0.1)

    def close(self):
        for gateway in self.gateways:
            gateway.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            pathlib.Path(keep).mkdir(parents=True, exist_ok=True)
            for item in self.folder.iterdir():
                shutil.copy(item, keep)
        shutil.rmtree(self.folder, ignore_errors=True)


def configuration(routes, services, version=1):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": [{"name": TENANT, "apiKeys": [KEY], "priority": 1}]}


def stream_route(service="writers", **changes):
    """A route like `field-note` of the small site."""
    route = {"name": "r-stream", "hostname": HOST, "pathPrefix": "/stream/",
             "routeType": "streaming", "timeoutMs": 15000,
             "targetLatencyMs": 1500, "priority": 0, "service": service,
             "maxAttempts": 2, "public": False, "sessionAffinity": True,
             "streamResume": True, "targetGapMs": 250}
    return {**route, **changes}


def model_service(name="writers"):
    return {"name": name, "healthCheckPath": "/healthz",
            "maxConnections": 360, "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kvCapacityTokens": 493096,
                       "kvBytes": 18432, "linkMbps": 180000.0,
                       "migrations": True, "backups": True, "stride": 3,
                       "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                       "handleTtlS": 5.0, "models": [{"name": "m"}]}}


class StreamClient:
    """Asks for one stream and takes it up again at another gateway after a
    broken channel, as the pages let clients do."""

    def __init__(self, case, name, addresses, deadline_ms=15000):
        self.case = case
        self.name = name
        self.addresses = list(addresses)
        self.deadline_ms = deadline_ms
        self.events = []
        self.origin = None
        self.complete = False
        self.attempts = []  # (address, outcome)

    def headers(self, attempt):
        part = f"{abs(hash(self.name)) % 2**32:08x}"
        headers = {"Host": HOST, "X-Attempt-Id": attempt, "X-Model": "m",
                   "X-Token-Count": "350,120",
                   "X-Prefix-Hash": f"5c1e07a2:210,{part}:140",
                   "X-Deadline-Ms": str(self.deadline_ms),
                   "Authorization": f"Token {KEY}"}
        if self.events:
            headers["Last-Event-Id"] = str(self.events[-1][0])
            headers["Resumes"] = self.origin
        return headers

    async def run(self, first, tries=2):
        address = first
        for _ in range(tries):
            outcome = await self.attempt(address)
            self.attempts.append((address, outcome))
            if self.complete or outcome in ("400", "401", "404"):
                return
            others = [item for item in self.addresses
                      if item not in [used for used, _ in self.attempts]]
            if not others:
                return
            address = random.choice(others)

    async def attempt(self, address):
        attempt = self.case.new_attempt()
        record = self.case.record
        record.add("sent", attempt, client=self.name, to=address,
                   after=self.events[-1][0] if self.events else "-")
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(address, ENTRY), 1)
        except (OSError, asyncio.TimeoutError):
            record.add("answered", attempt, outcome="not_connected")
            return "not_connected"
        try:
            writer.write(wire.request("POST", "/stream/a",
                                      self.headers(attempt), b"x" * 1500))
            outcome = await self.read(reader, attempt)
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
                ValueError) as problem:
            outcome = f"broken:{type(problem).__name__}"
        finally:
            writer.close()
        record.add("answered", attempt, client=self.name, outcome=outcome,
                   events=len(self.events),
                   versions=",".join(self.versions()))
        return outcome

    async def read(self, reader, attempt):
        head = await asyncio.wait_for(wire.read_head(reader), 6)
        if head is None:
            return "closed"
        if head.status != 200:
            await wire.read_body(reader, head)
            return str(head.status)
        text = b""
        while True:
            part = await asyncio.wait_for(wire.read_chunk(reader), 6)
            if not part:
                self.complete = True
                return "complete"
            text += part
            while b"\n\n" in text:
                event, text = text.split(b"\n\n", 1)
                lines = event.decode().split("\n")
                number = int(lines[0].removeprefix("id: "))
                version, runner = lines[1].removeprefix("data: ").split(" ")
                self.events.append((number, version, runner))
                if self.origin is None:
                    self.origin = attempt

    def versions(self):
        return sorted({version for _, version, _ in self.events})


def play(folder, scenario):
    """Runs the scenario; its result is whether the rule was broken."""
    async def run():
        case = None
        try:
            case = Case(folder)
            broken = await scenario(case)
            verdict = "broken" if broken else "held"
            case.record.add("verdict", verdict, trouble=int(TROUBLE))
            print(f"rule {verdict} (TROUBLE={int(TROUBLE)})")
            return BROKEN if broken else HELD
        except Exception as problem:  # Any fault of the case itself.
            if case is not None:
                case.record.add("verdict", "unable", reason=repr(problem))
            print(f"could not run: {problem!r}")
            return UNABLE
        finally:
            if case is not None:
                case.close()

    async def bounded():
        try:
            return await asyncio.wait_for(run(), 110)
        except asyncio.TimeoutError:
            print("could not run: took too long")
            return UNABLE
    sys.exit(asyncio.run(bounded()))
