"""Stand-in of a runner: answers streams and plain requests soundly, tells its
load, writes its entry to the store, and can leave, fall silent or crash."""

import asyncio
import json
import time

import http_wire as wire

HEARTBEAT_S = 1.2
ENTRY_LIFETIME_S = 3 * HEARTBEAT_S
KEEP_ALIVE_S = 5
SLOTS = 64


class Runner:
    def __init__(self, store, record, name, version, service, host, port):
        self.store = store
        self.record = record
        self.name = name
        self.version = version
        self.service = service
        self.host = host
        self.port = port
        self.born = 0
        self.sequence = 0
        self.registered = False
        self.server = None
        self.heartbeat = None
        self.links = set()
        self.state = "ready"
        self.active = 0
        self.silent_until = 0.0
        self.events = 40
        self.event_s = 0.05
        self.body_bytes = 800
        self.failing = None  # Status of a run that fails.
        self.fail_of_five = 5
        self.plain_runs = 0

    async def start(self, register=True):
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.server = await asyncio.start_server(self.serve, self.host,
                                                 self.port)
        self.registered = register
        self.heartbeat = asyncio.create_task(self.write_entries())
        self.record.add("runner_start", self.name, version=self.version)

    def write_entry(self):
        self.sequence += 1
        self.store.put_json("keyed.servers", self.name, {
            "service": self.service, "address": f"{self.host}:{self.port}",
            "zone": "regina-a", "version": self.version, "slots": SLOTS,
            "state": self.state, "coldRemainingMs": 0, "born": self.born,
            "sequence": self.sequence})

    async def write_entries(self):
        while True:
            if self.registered and self.store_reached():
                self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def store_reached(self):
        return self.store.modes.get("runners", "pass") == "pass"

    def remove_entry(self):
        """The runner leaves without reporting `draining`."""
        self.registered = False
        self.store.put("keyed.servers", self.name, None)
        self.record.add("runner_entry_removed", self.name)

    async def leave(self, seconds):
        """A planned shutdown: reports `draining`, serves on, then exits."""
        self.state = "draining"
        self.write_entry()
        self.record.add("runner_draining", self.name, active=self.active)
        await asyncio.sleep(seconds)
        self.end("runner_exit")
        self.store.put("keyed.servers", self.name, None)

    def crash(self):
        self.end("runner_crash")

    def end(self, event):
        self.record.add(event, self.name, active=self.active)
        self.heartbeat.cancel()
        self.server.close()
        for writer in list(self.links):
            wire.reset(writer)
        born = self.born
        asyncio.get_running_loop().call_later(
            ENTRY_LIFETIME_S, lambda: self.expire_entry(born))

    def expire_entry(self, born):
        """The store removes the entry of a runner that is silent."""
        if self.born == born and self.store_reached():
            self.store.put("keyed.servers", self.name, None)

    def fall_silent(self, seconds):
        self.record.add("runner_silent", self.name, seconds=seconds,
                        active=self.active)
        self.silent_until = time.monotonic() + seconds

    async def wait_if_silent(self):
        while time.monotonic() < self.silent_until:
            await asyncio.sleep(max(self.silent_until - time.monotonic(),
                                    0.001))

    def headers(self, attempt):
        headers = {"X-Attempt-Id": attempt, "X-Instance-Id": self.name,
                   "X-Response-Seal": f"{self.name}.{self.version}.{attempt}",
                   "X-Instance-Load": f"{self.active},0,{SLOTS}",
                   "Keep-Alive": f"timeout={KEEP_ALIVE_S}"}
        if self.state != "ready":
            headers["Server-Leaving"] = "1"
        return headers

    async def serve(self, reader, writer):
        self.links.add(writer)
        try:
            while True:
                head = await wire.read_head(reader)
                if head is None:
                    break
                body = await wire.read_body(reader, head)
                await self.wait_if_silent()
                await self.answer(head, body, reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.links.discard(writer)
            writer.close()

    async def answer(self, head, _body, reader, writer):
        method, target, _ = head.start.split(" ")
        attempt = head.header("x-attempt-id")
        headers = self.headers(attempt)
        if target == "/healthz":
            del headers["X-Response-Seal"]
            status = 200 if self.state == "ready" else 503
            writer.write(wire.response(status, headers))
        elif target.startswith("/api/kv-list"):
            writer.write(wire.response(200, {}, json.dumps(
                {"epoch": self.born, "next": 0, "held": []}).encode()))
        elif target.startswith("/api/"):
            writer.write(wire.response(404, {}))
        elif head.header("x-expect-instance") != self.name:
            del headers["X-Response-Seal"]
            headers["X-Not-Executed"] = "1"
            writer.write(wire.response(421, headers))
        else:
            await self.run(method, target, head, headers, reader, writer)
        await writer.drain()

    async def run(self, _method, target, head, headers, reader, writer):
        attempt = head.header("x-attempt-id")
        after = int(head.header("last-event-id", "0"))
        self.record.add("run", self.name, attempt=attempt, after=after,
                        version=self.version, order=head.header("x-order"))
        self.active += 1
        try:
            if target.startswith("/stream"):
                await self.stream(attempt, after, headers, reader, writer)
            else:
                await asyncio.sleep(0.015)
                await self.wait_if_silent()
                self.plain_runs += 1
                if (self.failing is not None and
                        self.plain_runs % 5 < self.fail_of_five):
                    writer.write(wire.response(self.failing, headers,
                                               b"the order was filed\n"))
                    return
                body = (attempt.encode() + b".") * (
                    self.body_bytes // (len(attempt) + 1) + 1)
                writer.write(wire.response(200, headers,
                                           body[:self.body_bytes]))
                await writer.drain()
        finally:
            self.active -= 1
            self.record.add("run_ended", self.name, attempt=attempt)

    async def stream(self, attempt, after, headers, reader, writer):
        headers["Content-Type"] = "text/event-stream"
        writer.write(wire.response(200, headers, chunked=True))
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            await self.wait_if_silent()
            if reader.at_eof() or writer.is_closing():
                self.record.add("run_dropped", self.name, attempt=attempt,
                                at=number)
                raise ConnectionResetError
            writer.write(wire.chunk(
                f"id: {number}\ndata: {self.version} {self.name}\n\n"
                .encode()))
            await writer.drain()
        writer.write(wire.LAST_CHUNK)
