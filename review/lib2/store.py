"""Stand-in of the platform's store: a process of its own.

Usage: store.py HOST:PORT

Serves log-append, log-read and log-newest. Entries of runners expire after
three heartbeat intervals. The paths under /standin/ are for the script alone:
copy keeps a copy, and restore comes back from it with the next Store-Era.
"""

import asyncio
import base64
import copy
import sys
import time

import wire

ENTRY_LIFETIME = 3 * 1.2


class Topic:
    def __init__(self):
        self.records = []  # [key, value]
        self.written = {}  # Key: time of its last write.

    def newest(self):
        return {key: (at, value)
                for at, (key, value) in enumerate(self.records)}


class Store:
    def __init__(self):
        self.topics = {}
        self.copy = None
        self.era = 1
        self.away = False
        self.grown = asyncio.Condition()

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def fields(self):
        return {"Store-Era": self.era}

    async def append(self, name, key, value):
        topic = self.topic(name)
        topic.records.append([key, value])
        topic.written[key] = time.monotonic()
        async with self.grown:
            self.grown.notify_all()
        return len(topic.records)

    async def expire_entries(self):
        while True:
            await asyncio.sleep(0.2)
            topic = self.topic("keyed.servers")
            for key, (_, value) in topic.newest().items():
                age = time.monotonic() - topic.written.get(key, 0)
                if value and age > ENTRY_LIFETIME:
                    await self.append("keyed.servers", key, None)

    async def handle(self, request):
        name = request.query.get("topic", "")
        if request.path == "/api/log-newest":
            return self.answer_newest(self.topic(name))
        if request.path == "/api/log-read":
            return await self.answer_read(request)
        if request.path == "/api/log-append":
            return await self.answer_append(request)
        return wire.json_answer(404, {}, self.fields())

    def answer_newest(self, topic):
        items = [{"key": key, "value": base64.b64encode(value).decode(),
                  "offset": at}
                 for key, (at, value) in sorted(topic.newest().items()) if value]
        return wire.json_answer(200, {"items": items, "truncated": False,
                                      "endOffset": len(topic.records)},
                                self.fields())

    async def answer_read(self, request):
        name = request.query["topic"]
        begin = int(request.query["from"])
        end = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        era = self.era
        while True:
            topic = self.topic(name)
            if begin > len(topic.records) or era != self.era:
                return wire.json_answer(410, {"firstOffset": 0}, self.fields())
            left = end - time.monotonic()
            if begin < len(topic.records) or left <= 0:
                break
            async with self.grown:
                try:
                    await asyncio.wait_for(self.grown.wait(), left)
                except asyncio.TimeoutError:
                    pass
        body = len(topic.records).to_bytes(8, "big") + bytes(8)
        for key, value in topic.records[begin:]:
            body += wire.encode_record(key, value)
        return wire.answer(200, self.fields(), body)

    async def answer_append(self, request):
        name = request.query["topic"]
        topic = self.topic(name)
        at = request.query.get("at")
        if at is not None and int(at) != len(topic.records):
            return wire.json_answer(412, {"endOffset": len(topic.records)},
                                    self.fields())
        body, first = request.body, len(topic.records)
        while body:
            length = int.from_bytes(body[:4], "big")
            content, body = body[4:4 + length], body[4 + length:]
            key = content[1:1 + content[0]].decode()
            await self.append(name, key, content[1 + content[0]:] or None)
        return wire.json_answer(200, {"offset": first,
                                      "endOffset": len(topic.records)},
                                self.fields())

    async def control(self, path):
        if path == "/standin/copy":
            self.copy = copy.deepcopy(self.topics)
        elif path == "/standin/away":
            self.away = True
        elif path == "/standin/restore":
            self.topics = self.copy
            for topic in self.topics.values():
                now = time.monotonic()
                topic.written = {key: now for key in topic.written}
            self.era += 1
            self.away = False
        return wire.json_answer(200, {})

    async def serve(self, reader, writer):
        try:
            while True:
                request = await wire.read_request(reader)
                if request.path.startswith("/standin/"):
                    writer.write(await self.control(request.path))
                elif self.away:
                    writer.write(wire.json_answer(503, {}, self.fields()))
                else:
                    era = self.era
                    text = await self.handle(request)
                    if self.away or era != self.era:
                        break  # The answer is lost with the store's process.
                    writer.write(text)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        writer.close()


async def main(address):
    store = Store()
    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(store.serve, host, int(port),
                                        backlog=512)
    async with server:
        await asyncio.gather(server.serve_forever(), store.expire_entries())


asyncio.run(main(sys.argv[1]))
