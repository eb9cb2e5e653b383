"""Clients that hold as much of a gateway as they can."""

import asyncio
import collections

import harness
import http_wire as wire

MAX_BODY = 4194304
SHORT_BY = 1000
LARGE_CHUNK = 65536
SMALL_BODY = 600
HEAD_SIZED_BODY = 15000
MEDIUM_BODY = 60000
PIPELINED_REQUESTS = 2000
PIPELINED_QUERIES = 3000


def request_head(case, framing, path="/order/a"):
    """Returns the head of a valid request with a framing field."""
    return (f"POST {path} HTTP/1.1\r\nHost: {harness.HOST}\r\n"
            f"X-Attempt-Id: {case.new_attempt()}\r\n"
            f"Authorization: Token {harness.KEY}\r\n"
            f"X-Deadline-Ms: 9000\r\n{framing}\r\n\r\n").encode()


CHUNKED = "Transfer-Encoding: chunked"


class Crowd:
    """Runs clients until stop(); each remembers how it ended."""

    def __init__(self, case, address, port=harness.ENTRY, head=request_head):
        self.case = case
        self.address = address
        self.port = port
        self.head = head
        self.tasks = []
        self.sent_all = 0
        self.connected = 0
        self.ends = collections.Counter()

    def start(self, attack, count):
        self.tasks = [asyncio.create_task(self.client(getattr(self, attack)))
                      for _ in range(count)]

    def stop(self):
        for task in self.tasks:
            task.cancel()

    async def settle(self, seconds):
        """Waits until all clients have sent what they send, or for so long."""
        for _ in range(int(seconds / 0.1)):
            if self.sent_all + sum(self.ends.values()) >= len(self.tasks):
                break
            await asyncio.sleep(0.1)

    def outcomes(self):
        return dict(self.ends, holding=len(self.tasks)
                    - sum(self.ends.values()))

    async def client(self, attack):
        writer = None
        end = "closed"
        try:
            reader, writer = await asyncio.open_connection(
                self.address, self.port, limit=16384)
            await attack(writer)
            self.sent_all += 1
            if attack in self.never_reading():
                await asyncio.sleep(3600)
            head = await wire.read_head(reader)
            end = str(head.status) if head else "closed"
            await asyncio.sleep(3600)
        except asyncio.CancelledError:
            pass
        except OSError as problem:
            end = type(problem).__name__
        finally:
            if end != "closed" or not asyncio.current_task().cancelling():
                self.ends[end] += 1
            if writer is not None:
                writer.transport.abort()

    def never_reading(self):
        return (self.slow_reader, self.pipelined_requests,
                self.pipelined_queries, self.large_query)

    async def chunked_short_of_end(self, writer):
        await self.send_chunks(writer, MAX_BODY - SHORT_BY)

    async def chunked_over_limit(self, writer):
        await self.send_chunks(writer, 5 * MAX_BODY)

    async def send_chunks(self, writer, total):
        writer.write(self.head(self.case, CHUNKED))
        part = wire.chunk(b"c" * LARGE_CHUNK)
        for _ in range(total // LARGE_CHUNK):
            writer.write(part)
            await writer.drain()
        writer.write(wire.chunk(b"c" * (total % LARGE_CHUNK)))
        await writer.drain()

    async def announced_short_of_end(self, writer):
        await self.send_announced(writer, MAX_BODY, MAX_BODY - SHORT_BY)

    async def announced_over_limit(self, writer):
        await self.send_announced(writer, 5 * MAX_BODY, 5 * MAX_BODY)

    async def send_announced(self, writer, length, total):
        writer.write(self.head(self.case, f"Content-Length: {length}"))
        for _ in range(total // LARGE_CHUNK):
            writer.write(b"a" * LARGE_CHUNK)
            await writer.drain()
        writer.write(b"a" * (total % LARGE_CHUNK))
        await writer.drain()

    async def whole_bodies(self, writer):
        """Complete requests that the backend server works on for long."""
        writer.write(self.head(self.case, f"Content-Length: {MAX_BODY}",
                                  "/order/slow"))
        for _ in range(MAX_BODY // LARGE_CHUNK):
            writer.write(b"w" * LARGE_CHUNK)
            await writer.drain()

    async def medium_bodies(self, writer):
        """Complete requests, each below what is paused for lack of memory,
        that the backend server works on for long."""
        writer.write(self.head(self.case, f"Content-Length: {MEDIUM_BODY}",
                               "/order/slow") + b"m" * MEDIUM_BODY)
        await writer.drain()

    async def head_sized_bodies(self, writer):
        """Each holds about as much as a request may in its header fields."""
        writer.write(self.head(self.case,
                               f"Content-Length: {HEAD_SIZED_BODY}")
                     + b"h" * (HEAD_SIZED_BODY - SHORT_BY))
        await writer.drain()

    async def pipelined_requests(self, writer):
        """Complete small requests, each sent without the answer before it."""
        writer.transport.pause_reading()
        for _ in range(PIPELINED_REQUESTS):
            writer.write(self.head(self.case,
                                   f"Content-Length: {SMALL_BODY}")
                         + b"p" * SMALL_BODY)
            await writer.drain()

    async def pipelined_queries(self, writer):
        """Requests that the process answers by itself, answers unread."""
        writer.transport.pause_reading()
        for _ in range(PIPELINED_QUERIES):
            writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
            await writer.drain()

    async def large_query(self, writer):
        """All ask at the same moment for an answer that is large."""
        writer.transport.pause_reading()
        self.connected += 1
        while self.connected < len(self.tasks):
            await asyncio.sleep(0.01)
        writer.write(b"GET /v1/records/configuration HTTP/1.1\r\n"
                     b"Host: h\r\n\r\n")
        await writer.drain()

    async def one_byte_chunks(self, writer):
        writer.write(self.head(self.case, CHUNKED))
        for _ in range(300):
            writer.write(b"1\r\nb\r\n" * 1000)
            await writer.drain()

    async def endless_heads(self, writer):
        """Fields as short as they can be take the most memory for each byte."""
        writer.write(self.head(self.case, CHUNKED)[:-2])
        for _ in range(10):
            writer.write(b"a:\r\n" * 300)
            await writer.drain()
            await asyncio.sleep(0.1)

    async def slow_reader(self, writer):
        writer.write(self.head(self.case, "Content-Length: 0",
                                  "/order/large"))
        await writer.drain()
        writer.transport.pause_reading()

    async def idle(self, writer):
        pass

    async def half_head(self, writer):
        writer.write(self.head(self.case, CHUNKED)[:-2])
        await writer.drain()
