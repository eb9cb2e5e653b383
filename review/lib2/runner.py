"""Stand-in of a runner: a process of its own that may be killed.

Usage: runner.py ID SERVICE HOST:PORT ADVERTISED STORE LOG [UNFRAMED]

It listens at HOST:PORT, and its entry names ADVERTISED, which may be that of a
link in front of it. UNFRAMED is the share of its answers that have neither a
length nor chunks and end with their channel. A line of LOG tells each run.
"""

import asyncio
import os
import random
import sys
import time

import wire

HEARTBEAT = 1.2
SLOTS = 64
EVENTS = int(os.environ.get("EVENTS", "40"))
EVENT_GAP = float(os.environ.get("EVENT_GAP", "0.1"))
IDLE_S = 15  # An idle channel is closed then; the answers do not say so.
WORK = float(os.environ.get("WORK", "0.03"))


class Runner:
    def __init__(self, words):
        (self.id, self.service, self.address, self.advertised, self.store,
         log) = words[:6]
        self.unframed = float(words[6]) if len(words) > 6 else 0.0
        self.log = open(log, "a", buffering=1)
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.running = 0

    def entry(self):
        self.sequence += 1
        return {"service": self.service, "address": self.advertised,
                "zone": "z-a", "version": "v1", "slots": SLOTS,
                "state": "ready", "coldRemainingMs": 0,
                "sequence": self.sequence, "born": self.born}

    async def beat(self):
        while True:
            try:
                await wire.put(self.store, "keyed.servers", self.id,
                               self.entry())
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(HEARTBEAT)

    def fields(self, request):
        return {"X-Attempt-Id": request.headers.get("x-attempt-id", ""),
                "X-Response-Seal": f"seal-{self.id}",
                "X-Instance-Id": self.id,
                "X-Instance-Load": f"{self.running},0,{SLOTS}"}

    async def handle(self, request, writer):
        """Returns whether the channel may be kept."""
        if request.path == "/healthz":
            writer.write(wire.answer(200, self.fields(request)))
            return True
        if request.path == "/api/report":
            writer.write(wire.json_answer(200, {
                "stage": "combined", "models": [], "busy": False,
                "sequence": 0, "queued": 0, "active": self.running,
                "kvUsed": 0, "kvTotal": 1, "kvHandles": 0,
                "born": self.born}))
            return True
        if request.path == "/api/kv-list":
            writer.write(wire.json_answer(200, {"epoch": 1, "next": 0,
                                                "held": []}))
            return True
        if request.headers.get("x-expect-instance") != self.id:
            writer.write(wire.answer(421, {"X-Instance-Id": self.id}))
            return True
        attempt = request.headers["x-attempt-id"]
        self.log.write(f"{time.time():.3f} run {attempt} at {self.id} "
                       f"after {request.headers.get('last-event-id', '-')}\n")
        self.running += 1
        try:
            return await self.run(request, writer, attempt)
        finally:
            self.running -= 1

    async def run(self, request, writer, attempt):
        unframed = random.random() < self.unframed
        fields = self.fields(request)
        if request.path.startswith("/stream/"):
            return await self.stream(request, writer, attempt, unframed,
                                     fields)
        await asyncio.sleep(WORK)
        body = f"done {attempt}".encode() * 20
        if unframed:
            writer.write(wire.head(200, {**fields, "Connection": "close"}))
            writer.write(body)
            return False
        writer.write(wire.answer(200, fields, body))
        return True

    async def stream(self, request, writer, attempt, unframed, fields):
        after = int(request.headers.get("last-event-id", "0"))
        fields["Content-Type"] = "text/event-stream"
        fields["Connection" if unframed else "Transfer-Encoding"] = (
            "close" if unframed else "chunked")
        writer.write(wire.head(200, fields))
        for number in range(after + 1, EVENTS + 1):
            await asyncio.sleep(EVENT_GAP)
            text = (f"id: {number}\ndata: {number} of {EVENTS} of "
                    f"{request.headers.get('resumes', attempt)}\n\n").encode()
            writer.write(text if unframed else
                         b"%x\r\n%s\r\n" % (len(text), text))
            await writer.drain()
        self.log.write(f"{time.time():.3f} whole {attempt} at {self.id} "
                       f"unframed {unframed}\n")
        if not unframed:
            writer.write(b"0\r\n\r\n")
        return not unframed

    async def serve(self, reader, writer):
        try:
            kept = True
            while kept:
                request = await asyncio.wait_for(wire.read_request(reader),
                                                 IDLE_S)
                kept = await self.handle(request, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, OSError,
                ValueError):
            pass
        writer.close()

    async def main(self):
        host, port = self.address.rsplit(":", 1)
        server = await asyncio.start_server(self.serve, host, int(port),
                                            backlog=512)
        async with server:
            await asyncio.gather(server.serve_forever(), self.beat())


asyncio.run(Runner(sys.argv[1:]).main())
