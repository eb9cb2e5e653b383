"""Stand-in of the platform's store: the log and its keyed topics."""

import asyncio
import base64
import json
import urllib.parse

import http_wire as wire

ANSWER_S = 0.004
PASS, SILENT = "pass", "silent"


class Store:
    """Holds the topics. Each daemon reaches it at an address of its own, so
    that the store can fall silent for one of them."""

    def __init__(self):
        self.topics = {}
        self.changed = asyncio.Event()
        self.modes = {}
        self.servers = []

    async def listen(self, host, port, name):
        self.modes[name] = PASS

        async def serve(reader, writer):
            await self.serve(name, reader, writer)
        self.servers.append(await asyncio.start_server(serve, host, port))

    def put(self, topic, key, value):
        """Appends a record as its writer does; value None removes the key."""
        self.topics.setdefault(topic, []).append((key, value))
        self.changed.set()
        self.changed = asyncio.Event()

    def put_json(self, topic, key, value):
        self.put(topic, key, json.dumps(value).encode())

    async def pass_gate(self, name):
        """Returns False if the call is lost, as the store is silent."""
        if self.modes[name] == SILENT:
            await asyncio.sleep(3600)
            return False
        return True

    async def serve(self, name, reader, writer):
        try:
            while True:
                head = await wire.read_head(reader)
                if head is None:
                    break
                body = await wire.read_body(reader, head)
                if not await self.pass_gate(name):
                    break
                await asyncio.sleep(ANSWER_S)
                answer = await self.answer(head, body)
                if not await self.pass_gate(name):
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def answer(self, head, body):
        method, target, _ = head.start.split(" ")
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        records = self.topics.setdefault(query.get("topic", ""), [])
        if method == "POST" and url.path == "/api/log-append":
            return self.append(query["topic"], records, body)
        if url.path == "/api/log-newest":
            return self.newest(records)
        if url.path == "/api/log-read":
            return await self.read(query, records)
        return wire.response(404, {})

    def append(self, topic, records, body):
        if topic in ("keyed.op", "keyed.servers"):
            return wire.response(403, {})
        first = len(records)
        while body:
            length = int.from_bytes(body[:4], "big")
            content, body = body[4:4 + length], body[4 + length:]
            key = content[1:1 + content[0]].decode()
            self.put(topic, key, content[1 + content[0]:] or None)
        return self.json({"offset": first, "endOffset": len(records)})

    def newest(self, records):
        latest = {}
        for offset, (key, value) in enumerate(records):
            latest[key] = (offset, value)
        items = [{"key": key, "offset": offset,
                  "value": base64.b64encode(value).decode()}
                 for key, (offset, value) in latest.items()
                 if value is not None]
        return self.json({"items": items, "truncated": False,
                          "endOffset": len(records)})

    async def read(self, query, records):
        start = int(query["from"])
        if start >= len(records):
            loop = asyncio.get_running_loop()
            ends = loop.time() + int(query.get("waitMs", "0")) / 1000
            while start >= len(records) and loop.time() < ends:
                try:
                    await asyncio.wait_for(self.changed.wait(),
                                           ends - loop.time())
                except asyncio.TimeoutError:
                    break
        data = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in records[start:]:
            name = key.encode()
            content = bytes([len(name)]) + name + (value or b"")
            data += len(content).to_bytes(4, "big") + content
        return wire.response(200, {"Store-Era": "1"}, data)

    @staticmethod
    def json(value):
        return wire.response(200, {"Content-Type": "application/json",
                                   "Store-Era": "1"},
                             json.dumps(value).encode())
