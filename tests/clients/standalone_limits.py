"""Crowds of uncontrolled clients against a real `medlarstalld --standalone`.

The clients have no key. Each case lets a small crowd hold as much as it can and
sends an ordinary request with a key while the crowd is still connected. It
fails if the process ends, if its memory with the bytes received and not yet
read exceeds the setting `memory-mb`, if it has more descriptors open than the
connections that its settings allow and 50 of its own, or if the ordinary
request is not answered by the backend server.
"""

import argparse
import asyncio
import functools
import hashlib
import json
import os
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

import harness  # noqa: E402
import http_wire as wire  # noqa: E402
from crowd import MAX_BODY, SHORT_BY, Crowd  # noqa: E402
from process_usage import ProcessUsage  # noqa: E402

KEY = "key"
CALLERS, PEERS, DESK = 8227, 7340, 8080
OWN_DESCRIPTORS = 50
ORDINARY_WAIT_S = 10
PREFACE = (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
           b"\x00\x00\x00\x04\x00\x00\x00\x00\x00")  # An empty SETTINGS.
PING = b"\x00\x00\x08\x06\x00\x00\x00\x00\x00" + b"p" * 8


def keyless_head(_case, framing, path="/services/desk/a"):
    """Returns the head of a request of a client that has no key."""
    return (f"POST {path} HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n").encode()


class DaemonCrowd(Crowd):
    """Clients of medlarstalld, without a key but for costly_documents, and
    without the secret of its port for other daemons."""

    def never_reading(self):
        return (*super().never_reading(), self.silent_peers,
                self.pinging_peers)

    async def costly_documents(self, writer):
        """Valid requests of which each three bytes are a JSON value."""
        part_count = (MAX_BODY - SHORT_BY) // 3
        body = (b'{"model":"m","messages":[{"role":"u","content":['
                + b"[]," * part_count + b"[]]}]}")
        writer.write(wire.request(
            "POST", "/v1/chat/completions",
            {"Host": "h", "Authorization": f"Bearer {KEY}"}, body))
        await writer.drain()

    async def silent_peers(self, writer):
        writer.write(PREFACE)
        await writer.drain()

    async def pinging_peers(self, writer):
        writer.write(PREFACE)
        while True:
            writer.write(PING)
            await writer.drain()
            await asyncio.sleep(0.5)


def catalogue(address):
    """Returns a catalogue with one organisation and one plain service."""
    return {
        "classes": {"notes": {"owner": "o", "tier": 0,
                              "deadline_ms": 8000}},
        "organisations": {"o": {
            "owner": "o", "classes": ["notes"],
            "key_digests": [hashlib.sha256(KEY.encode()).hexdigest()]}},
        "groups": {"desks": {
            "owner": "o", "kind": "service", "slots": 64,
            "backend_servers": [{"id": "desk-1", "address": address,
                                 "port": DESK, "data_centre": "default"}]},
                   "engines": {
            "owner": "o", "kind": "engine", "slots": 64,
            "backend_servers": [{"id": "engine-1", "address": address,
                                 "port": DESK, "data_centre": "default"}]}},
        "services": {"desk": {"owner": "o", "group": "desks",
                              "repeatable": True}},
        "models": {"m": {"owner": "o", "group": "engines"}}}


async def serve_desk(reader, writer):
    """A backend server that answers each request at once."""
    try:
        while (head := await wire.read_head(reader)) is not None:
            await wire.read_body(reader, head)
            writer.write(wire.response(200, {"Content-Type": "text/plain"},
                                       b"done"))
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


class Daemon:
    """One standalone daemon with lowered limits, and its backend server."""

    def __init__(self, program, folder, memory_mb, max_connections):
        self.program = program
        self.folder = pathlib.Path(folder)
        self.net = harness.free_network()
        self.ip = f"{self.net}.1"
        self.memory = memory_mb * 1_000_000
        self.max_descriptors = 2 * max_connections + OWN_DESCRIPTORS
        self.environment = {
            "PATH": os.environ.get("PATH", ""), "LANG": "C",
            "MEDLARSTALL_MEMORY_MB": str(memory_mb),
            "MEDLARSTALL_MAX_CONNECTIONS": str(max_connections)}
        self.child = None
        self.usage = None

    async def start(self):
        desk = f"{self.net}.9"
        await asyncio.start_server(serve_desk, desk, DESK)
        path = self.folder / "catalogue.json"
        path.write_text(json.dumps(catalogue(desk)))
        with open(self.folder / "daemon.log", "ab") as log:
            self.child = subprocess.Popen(
                [self.program, "--standalone", "--catalogue", str(path),
                 "--address", self.ip, "--port", str(CALLERS),
                 "--peer-port", str(PEERS)],
                env=self.environment, stdout=log, stderr=log)
        for _ in range(50):
            if await self.ordinary() == 200:
                break
            await asyncio.sleep(0.1)
        self.usage = ProcessUsage(self.child.pid, self.ip)

    async def ordinary(self):
        """Sends one request as an ordinary client; returns its status."""
        async def answer():
            reader, writer = await asyncio.open_connection(self.ip, CALLERS)
            try:
                writer.write(wire.request(
                    "POST", "/services/desk/a",
                    {"Host": "h", "Authorization": f"Bearer {KEY}",
                     "Connection": "close"}, b"x" * 600))
                head = await wire.read_head(reader)
                return head.status if head else None
            finally:
                writer.close()
        try:
            return await asyncio.wait_for(answer(), ORDINARY_WAIT_S)
        except (OSError, asyncio.TimeoutError) as problem:
            return type(problem).__name__

    def problems(self, status):
        """Compares what was seen with the limits of the settings."""
        usage = self.usage
        usage.sample()
        found = []
        if self.child.poll() is not None:
            found.append("the process has ended")
        if usage.peak_memory > self.memory:
            found.append(f"memory {usage.peak_memory} above {self.memory}")
        if usage.peak_descriptors > self.max_descriptors:
            found.append(f"{usage.peak_descriptors} descriptors, above "
                         f"{self.max_descriptors}")
        if status != 200:
            found.append(f"ordinary request: {status}")
        return found


async def crowd_case(attack, count, port, limits, program, folder):
    daemon = Daemon(program, folder, **limits)
    try:
        await daemon.start()
        daemon.usage.start()
        crowd = DaemonCrowd(None, daemon.ip, port, keyless_head)
        crowd.start(attack, count)
        await crowd.settle(8.0)
        await asyncio.sleep(0.5)  # For what the kernel still holds.
        status = await daemon.ordinary()
        outcomes = crowd.outcomes()
        crowd.stop()
        await daemon.usage.stop()
        print(f"  {count} clients: {daemon.usage.describe()}, ordinary "
              f"request {status}, crowd {outcomes}")
        return daemon.problems(status)
    finally:
        if daemon.child is not None:
            daemon.child.kill()
            daemon.child.wait()


def crowd_of(attack, count, memory_mb=120, max_connections=1000,
             port=CALLERS):
    return functools.partial(
        crowd_case, attack, count, port,
        {"memory_mb": memory_mb, "max_connections": max_connections})


CASES = {
    "chunked_short_of_end": crowd_of("chunked_short_of_end", 60),
    "announced_short_of_end": crowd_of("announced_short_of_end", 60),
    "chunked_over_limit": crowd_of("chunked_over_limit", 60),
    "announced_over_limit": crowd_of("announced_over_limit", 60),
    "endless_heads": crowd_of("endless_heads", 300, memory_mb=64),
    "head_sized_bodies": crowd_of("head_sized_bodies", 900, memory_mb=32),
    "pipelined_requests": crowd_of("pipelined_requests", 60, memory_mb=32),
    "unread_metrics": crowd_of("pipelined_queries", 60, memory_mb=32),
    "costly_documents": crowd_of("costly_documents", 4),
    "idle_connections": crowd_of("idle", 400, max_connections=150),
    "silent_peers": crowd_of("silent_peers", 400, memory_mb=32,
                             max_connections=150, port=PEERS),
    "pinging_peers": crowd_of("pinging_peers", 400, memory_mb=32,
                              max_connections=150, port=PEERS),
}


def play(name, program):
    """Plays a case; returns what was wrong."""
    print(name, flush=True)
    folder = tempfile.mkdtemp(prefix="standalone-limits-")

    async def bounded():
        return await asyncio.wait_for(CASES[name](program, folder), 60)
    found = asyncio.run(bounded())
    if found:
        print(f"  FAILED: {'; '.join(found)}; logs in {folder}", flush=True)
    return found


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--daemon", default=str(
        ROOT / "build/release/src/medlarstalld/medlarstalld"))
    parser.add_argument("cases", nargs="*", default=list(CASES))
    options = parser.parse_args()
    failed = [name for name in options.cases or CASES
              if play(name, options.daemon)]
    print("failed: " + ", ".join(failed) if failed else "all held")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
