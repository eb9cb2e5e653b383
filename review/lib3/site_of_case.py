"""A small site for the cases of the third review: gateways as processes of
their own, and stand-ins of the store, the runners and the clients in this one.
Everything is on loopback addresses and on the real clock."""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
GATEWAY = ROOT / "target" / "platform" / "medlarstall-gateway"
HOST = "shop.example"
SEAL = "3e1b.07.5a2.600.0.c9f2a4d1"
BEAT_S = 1.2
KEPT, BROKEN, NOT_RUN = 0, 1, 2  # Exit status of a case.
LONGEST_S = 110
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, one line an event."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def add(self, event, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.began:8.3f} {event} {text}\n")
        self.file.flush()


def free_ports(hosts, count):
    """Returns ports that are free at all hosts."""
    found = []
    while len(found) < count:
        port = random.randrange(20000, 32000)
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


async def read_head(reader):
    """Returns the start line and the fields, with names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text.split("\r\n")[:-2]
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    """Reads a body with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).strip(), 16)
            if size == 0:
                await reader.readline()
                return body
            body += await reader.readexactly(size)
            await reader.readline()
    return await reader.readexactly(int(fields.get("content-length", "0")))


def message(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


def reset(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    writer.transport.abort()


class Store:
    """The platform's store, as far as the system uses it."""

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.changed = asyncio.Condition()
        self.era = 1
        self.busy = False  # Answers 503 if set.

    async def listen(self, host, port):
        self.server = await asyncio.start_server(self.serve, host, port)

    async def serve(self, reader, writer):
        try:
            while True:
                start, fields = await read_head(reader)
                body = await read_body(reader, fields)
                status, content, kind = await self.answer(start, body)
                writer.write(message(status, {
                    "Content-Type": kind, "Store-Era": self.era}, content))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def answer(self, start, body):
        _, target, _ = start.split(" ")
        path, _, query = target.partition("?")
        asked = dict(item.split("=", 1) for item in query.split("&") if item)
        as_json = "application/json"
        if self.busy:
            return 503, b"{}", as_json
        topic = self.topics.setdefault(asked.get("topic"), [])
        if path == "/api/log-append":
            if "at" in asked and int(asked["at"]) != len(topic):
                return 412, json.dumps({"endOffset": len(topic)}).encode(), \
                    as_json
            first = len(topic)
            while body:
                size = struct.unpack(">I", body[:4])[0]
                topic.append(body[4:4 + size])
                body = body[4 + size:]
            await self.notify()
            return 200, json.dumps({"offset": first, "endOffset":
                                    len(topic)}).encode(), as_json
        if path == "/api/log-read":
            return await self.read(topic, int(asked["from"]),
                                   int(asked.get("waitMs", 0)) / 1000)
        if path == "/api/log-newest":
            return 200, self.newest(topic), as_json
        return 404, b"{}", as_json

    async def read(self, topic, start, wait_s):
        if start > len(topic):
            return 410, b'{"firstOffset":0}', "application/json"
        if start == len(topic) and wait_s > 0:
            async def grown():
                async with self.changed:
                    await self.changed.wait_for(lambda: len(topic) > start)
            try:
                await asyncio.wait_for(grown(), wait_s)
            except asyncio.TimeoutError:
                pass
        data = struct.pack(">QQ", len(topic), 0)
        for item in topic[start:]:
            data += struct.pack(">I", len(item)) + item
        return 200, data, "application/octet-stream"

    @staticmethod
    def newest(topic):
        latest = {}
        for offset, item in enumerate(topic):
            size = item[0]
            key, value = item[1:1 + size], item[1 + size:]
            latest.pop(key, None)
            if value:
                latest[key] = (value, offset)
        items = [{"key": key.decode(), "value":
                  base64.b64encode(value).decode(), "offset": offset}
                 for key, (value, offset) in sorted(latest.items())]
        return json.dumps({"items": items, "truncated": False,
                           "endOffset": len(topic)}).encode()

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def copy(self):
        return {name: list(records) for name, records in self.topics.items()}

    async def restore(self, copy, away_s=0.5):
        """Is away for a moment, and comes back from an older copy."""
        self.busy = True
        await asyncio.sleep(away_s)
        for name, records in self.topics.items():
            records[:] = copy.get(name, [])
        self.era += 1
        self.busy = False
        self.record.add("store_restored", era=self.era)
        await self.notify()

    async def put(self, topic, key, value):
        """Writes a record as the operator or a runner does."""
        name = key.encode()
        self.topics.setdefault(topic, []).append(
            bytes([len(name)]) + name + value)
        await self.notify()

    async def put_config(self, config):
        self.record.add("config", version=config["version"])
        await self.put("keyed.op", "config", json.dumps(config).encode())


class Runner:
    """A runner with one id; each call of start() is a new process."""

    def __init__(self, site, name, service, version="v1", slots=64,
                 event_s=0.1, events=20, work_s=0.02):
        self.site = site
        self.record = site.record
        self.name = name
        self.service = service
        self.version = version
        self.slots = slots
        self.event_s = event_s
        self.events = events
        self.work_s = work_s
        self.state = "ready"
        self.address = None
        self.told_address = None  # Of a proxy, if there is one.
        self.writers = set()
        self.sequence = 0
        self.ran = []  # Attempt ids, in the order in which they began.
        self.arrived = []  # Time and attempt id.
        self.server = None
        self.beats = None
        self.extra = {}  # Fields of all its answers.
        self.unframed = False

    async def start(self):
        self.born = int(time.time() * 1000)
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        self.beats = asyncio.create_task(self.beat())
        self.record.add("runner_start", id=self.name, version=self.version)

    def entry(self):
        host, port = self.told_address or self.address
        return {"service": self.service, "address": f"{host}:{port}",
                "zone": "zone-a", "version": self.version,
                "slots": self.slots, "state": self.state,
                "coldRemainingMs": 0, "stage": "combined",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self.sequence, "born": self.born}

    async def write_entry(self):
        self.sequence += 1
        await self.site.store.put("keyed.servers", self.name,
                                  json.dumps(self.entry()).encode())

    async def beat(self):
        while True:
            if not self.site.store.busy:
                await self.write_entry()
            await asyncio.sleep(BEAT_S)

    async def leave_list(self):
        """Its entry is removed; it goes on serving."""
        self.beats.cancel()
        await self.site.store.put("keyed.servers", self.name, b"")
        self.record.add("runner_unlisted", id=self.name)

    def end(self):
        """The process ends: its kernel closes all connections."""
        self.beats.cancel()
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.record.add("runner_end", id=self.name)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                start, fields = await read_head(reader)
                await read_body(reader, fields)
                if await self.answer(start, fields, writer):
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.writers.discard(writer)
        writer.close()

    def fields_for(self, attempt):
        return {"X-Attempt-Id": attempt, "X-Response-Seal": SEAL,
                "X-Instance-Id": self.name, "X-Instance-Load":
                f"1,0,{self.slots}", **self.extra}

    async def answer(self, start, fields, writer):
        """Returns true if the connection ends with the answer."""
        path = start.split(" ")[1]
        attempt = fields.get("x-attempt-id", "")
        if path == "/healthz":
            writer.write(message(200, {"X-Instance-Id": self.name,
                                       **self.extra}))
            return False
        if path == "/api/report":
            writer.write(message(200, {"Content-Type": "application/json"},
                                 self.report()))
            return False
        if fields.get("x-expect-instance") != self.name:
            writer.write(message(421, {"X-Attempt-Id": attempt,
                                       "X-Instance-Id": self.name}))
            return False
        self.arrived.append((time.monotonic(), attempt))
        if await self.refuses(attempt, writer):
            return False
        self.ran.append(attempt)
        self.record.add("run", runner=self.name, attempt=attempt)
        if path.startswith("/stream/"):
            return await self.stream(attempt, fields, writer)
        await asyncio.sleep(self.work_s)
        writer.write(message(200, self.fields_for(attempt), b"done " +
                             attempt.encode()))
        await writer.drain()
        return False

    async def refuses(self, attempt, writer):
        return False

    def report(self):
        return json.dumps({
            "stage": "combined", "models": [{"name": "m", "version": 1,
                                             "adapters": []}],
            "busy": False, "sequence": self.sequence, "queued": 0,
            "active": 1, "kvUsed": 0, "kvTotal": 400000, "kvHandles": 0,
            "born": self.born}).encode()

    async def stream(self, attempt, fields, writer):
        after = int(fields.get("last-event-id", "0"))
        head = [f"HTTP/1.1 200 OK"]
        head += [f"{name}: {value}"
                 for name, value in self.fields_for(attempt).items()]
        head.append("Content-Type: text/event-stream")
        if not self.unframed:
            head.append("Transfer-Encoding: chunked")
        writer.write("\r\n".join(head + ["", ""]).encode())
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            if writer.is_closing():
                raise ConnectionResetError
            data = f"id: {number}\ndata: {self.version} {self.name}\n\n"
            writer.write(data.encode() if self.unframed else
                         f"{len(data):x}\r\n{data}\r\n".encode())
            await writer.drain()
        self.record.add("run_complete", runner=self.name, attempt=attempt)
        if self.unframed:
            return True
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return False


class Gateway:
    """One process of the system."""

    def __init__(self, site, number, ports):
        self.site = site
        self.name = f"edge-{number}"
        self.ip = f"127.0.9.{number}"
        self.ports = ports
        self.folder = site.folder
        self.child = None

    def settings(self, bootstrap):
        front, ready, control, directory, internal, _ = self.ports
        lines = {
            "nodeName": self.name, "role": "gateway", "machineClass": "edge",
            "serves": "edge,registry,control", "ip": self.ip,
            "zone": "zone-a", "region": "region-a",
            "zones.zone-a": "region-a",
            "listen.frontend": f"{self.ip}:{front}",
            "listen.ready": f"{self.ip}:{ready}",
            "listen.controlPlane": f"{self.ip}:{control}",
            "listen.directoryService": f"{self.ip}:{directory}",
            "internalPortRange": f"{internal},{internal + 15}",
            "seedNodes": ",".join(f"{other.ip}:{control}"
                                  for other in self.site.gateways[:3]),
            "bootstrap": "true" if bootstrap else "false",
            "countsAsLoss": "false", "limits.cpuQuota": "0.5",
            "limits.cpuCores": "1", "limits.memoryMb": "260",
            "limits.maxFds": "4100", "limits.linkMbps": "1000.0",
            "limits.diskMb": "0", "discovery": "platform",
            "entryType": "registry", "heartbeatIntervalMs": "1200",
            "activeContracts": "base,drain,config,cost,retry,recover,engine,"
                               "stream,tenants,platform",
            "bounds.seedLagS": "3", "bounds.addressReuseS": "2",
            "bounds.contactMs": "3000", "bounds.ackTimeoutMs": "4000",
            "bounds.catchUpS": "4", "bounds.drainMs": "2000",
            "bounds.graceS": "8", "bounds.lossSlackMs": "200",
            "bounds.configApplyMs": "2000", "bounds.rollbackSlackMs": "250",
            "bounds.maxStretchMs": "5000", "bounds.revokeFailClosed": "false",
            "bounds.revokeMs": "5000", "bounds.retryBudgetRatio": "0.2",
            "bounds.budgetWindowS": "10", "bounds.budgetSlack": "54",
            "bounds.recoveryS": "12", "bounds.iterationMs": "120",
            "bounds.cacheWindowS": "10", "bounds.ttl_max_s": "5",
            "platform.address": "%s:%d" % self.site.store_address,
            "platform.form": "log", "platform.writesPerS": "400",
            "platform.readsPerS": "2000", "platform.parts": "12",
            "platform.recordBytes": "262144", "platform.callBytes": "2097152",
            "platform.keep_s": "300", "platform.ttlMinMs": "1000",
            **self.site.more_settings}
        return "".join(f"{key}={value}\n" for key, value in lines.items())

    def start(self, bootstrap=True):
        path = os.path.join(self.folder, f"{self.name}.conf")
        with open(path, "w", encoding="utf-8") as file:
            file.write(self.settings(bootstrap))
        log = open(os.path.join(self.folder, f"{self.name}.log"), "a",
                   encoding="utf-8")
        self.child = subprocess.Popen(
            [str(GATEWAY), "--metrics-port", str(self.ports[5])],
            cwd=ROOT, env={"PATH": os.environ["PATH"],
                           "MEDLARSTALL_NODE_FILE": path},
            stdout=log, stderr=subprocess.STDOUT)
        log.close()
        self.site.record.add("gateway_start", name=self.name)

    def send(self, number):
        self.site.record.add("signal", name=self.name,
                             signal=signal.Signals(number).name)
        self.child.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ports[1])
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            start, _ = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return " 200 " in start
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Site:
    def __init__(self, case_folder, gateways=1):
        self.record = Record(os.path.join(case_folder, "record.txt"))
        self.folder = tempfile.mkdtemp(prefix="review-3-")
        self.store = Store(self.record)
        hosts = ["127.0.0.1"] + [f"127.0.9.{n + 1}" for n in range(gateways)]
        ports = free_ports(hosts, 7)
        self.store_address = ("127.0.0.1", ports[6])
        self.gateways = []
        for number in range(1, gateways + 1):
            self.gateways.append(Gateway(self, number, ports[:6]))
        self.runners = []
        self.more_settings = {}

    def add_runner(self, *args, kind=Runner, **traits):
        runner = kind(self, *args, **traits)
        self.runners.append(runner)
        return runner

    async def start(self, config):
        await self.store.listen(*self.store_address)
        await self.store.put_config(config)
        for runner in self.runners:
            await runner.start()
        for gateway in self.gateways:
            gateway.start()
        await self.wait_ready(self.gateways)
        await asyncio.sleep(3)

    async def wait_ready(self, gateways):
        for _ in range(100):
            ready = [await gateway.is_ready() for gateway in gateways]
            if all(ready):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("a gateway does not become ready")

    def close(self):
        for gateway in self.gateways:
            if gateway.child and gateway.child.poll() is None:
                gateway.child.kill()
                gateway.child.wait()
        if os.environ.get("KEEP_LOGS"):
            shutil.copytree(self.folder, os.environ["KEEP_LOGS"],
                            dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, kind, service, timeout_ms, aim_ms, attempts=2, resume=False):
    found = {"name": name, "hostname": HOST, "pathPrefix": f"/{name}/",
             "routeType": kind, "timeoutMs": timeout_ms,
             "targetLatencyMs": aim_ms, "priority": 1, "service": service,
             "maxAttempts": attempts, "public": False,
             "sessionAffinity": kind == "streaming"}
    if kind == "streaming":
        found["streamResume"] = resume
        found["targetGapMs"] = 400
    return found


def model_service(name):
    return {"name": name, "healthCheckPath": "/healthz",
            "maxConnections": 360, "protocol": "h1", "tls": False,
            "engine": {"slots": 64, "kvCapacityTokens": 493096,
                       "kvBytes": 18432, "linkMbps": 180000.0,
                       "migrations": True, "backups": True, "stride": 3,
                       "most": 12, "pinMs": 4000.0, "holdMs": 2000.0,
                       "handleTtlS": 5.0, "models": [{"name": "m"}]}}


def plain_service(name):
    return {"name": name, "healthCheckPath": "/healthz",
            "maxConnections": 100, "protocol": "h1", "tls": False}


def config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


class Answer:
    """What a client got: status 0 and complete False if it was broken off."""

    def __init__(self):
        self.status = 0
        self.fields = {}
        self.body = b""
        self.complete = False
        self.events = []  # Number and version, of a stream.


async def call(site, gateway, attempt, path, method="POST", deadline_ms=3000,
               fields=None, body=b"", on_event=None):
    """One client attempt on a new connection."""
    answer = Answer()
    head = {"Host": HOST, "X-Attempt-Id": attempt,
            "X-Deadline-Ms": deadline_ms, **(fields or {})}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in head.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    site.record.add("sent", attempt=attempt, to=gateway.name, path=path)
    writer = None

    async def exchange():
        nonlocal writer
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(gateway.ip, gateway.ports[0]), 1)
        writer.write("\r\n".join(lines).encode() + body)
        start, answer.fields = await read_head(reader)
        answer.status = int(start.split(" ")[1])
        if answer.fields.get("content-type") == "text/event-stream":
            await read_events(reader, answer, on_event)
        else:
            answer.body = await read_body(reader, answer.fields)
        answer.complete = True

    try:
        await asyncio.wait_for(exchange(), deadline_ms / 1000)
    except (OSError, ValueError, asyncio.TimeoutError,
            asyncio.IncompleteReadError) as reason:
        site.record.add("broken", attempt=attempt, why=type(reason).__name__)
    if writer:
        writer.close()
    site.record.add("answered", attempt=attempt, status=answer.status,
                    complete=answer.complete, events=len(answer.events))
    return answer


async def read_events(reader, answer, on_event):
    text = b""
    while True:
        size = int((await reader.readline()).strip() or b"-", 16)
        if size == 0:
            await reader.readline()
            return
        text += await reader.readexactly(size)
        await reader.readline()
        while b"\n\n" in text:
            event, _, text = text.partition(b"\n\n")
            values = dict(line.split(": ", 1)
                          for line in event.decode().split("\n"))
            answer.events.append((int(values["id"]), values["data"]))
            if on_event:
                on_event(answer)


def play(case_folder, scenario, gateways=1):
    """Runs a case; exits with its status."""
    site = Site(case_folder, gateways)
    status = NOT_RUN
    loop = asyncio.new_event_loop()
    loop.set_exception_handler(lambda *_: None)  # Of connections that ended.
    try:
        status = loop.run_until_complete(
            asyncio.wait_for(scenario(site), LONGEST_S))
        ended = [gateway.name for gateway in site.gateways
                 if gateway.child.poll() is not None]
        if ended:
            site.record.add("ended_by_itself", names=",".join(ended))
            print("ended by itself:", ended)
    except Exception as problem:  # The case could not run.
        site.record.add("not_run", why=repr(problem))
        print("could not run:", repr(problem))
    finally:
        site.close()
    print({KEPT: "kept", BROKEN: "broken", NOT_RUN: "not run"}[status],
          flush=True)
    os._exit(status)  # Without waiting for connections of the stand-ins.
