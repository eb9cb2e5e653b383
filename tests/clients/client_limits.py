"""Crowds of uncontrolled clients against a real gateway with lowered limits.

Each case starts a gateway, lets a small crowd of clients hold as much as they
can, and sends an ordinary request while the crowd is still connected. A case
fails if the process ends, if its memory with the bytes received and not yet
read exceeds `limits.memoryMb`, if it has more descriptors open than
`limits.maxFds` less those of files, or if the ordinary request is not answered
by the backend server. No times and no share of served requests are checked.
"""

import argparse
import asyncio
import functools
import os
import pathlib
import shutil
import socket
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

import harness  # noqa: E402
import http_wire as wire  # noqa: E402
from crowd import Crowd  # noqa: E402
from process_usage import ProcessUsage  # noqa: E402
from runner import Runner  # noqa: E402
from store import Store  # noqa: E402

ORDINARY_WAIT_S = 10  # Less than idleTimeoutMs, which frees all connections.
FILE_DESCRIPTORS = 200
LARGE_ANSWER = 8_000_000
CUT_OFF_S = 1.5
SLOW_S = 6


class LimitedGateway(harness.Gateway):
    """A gateway with lowered limits in its settings."""

    limits = {}

    def write_settings(self, bootstrap):
        super().write_settings(bootstrap)
        changed = [line for line in self.path.read_text().splitlines()
                   if line.split("=")[0] not in self.limits]
        changed += [f"{name}={value}" for name, value in self.limits.items()]
        self.path.write_text("".join(line + "\n" for line in changed))


class ImpatientRunner(Runner):
    """Answers /order/large with a large body, and resets a connection of which
    nothing was read for CUT_OFF_S. Works on /order/slow for SLOW_S."""

    async def run(self, method, target, head, headers, reader, writer):
        if target.startswith("/order/slow"):
            await asyncio.sleep(SLOW_S)
        if not target.startswith("/order/large"):
            await super().run(method, target, head, headers, reader, writer)
            return
        link = writer.get_extra_info("socket")
        link.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)
        writer.transport.set_write_buffer_limits(high=0)
        writer.write(wire.response(200, headers, b"")[:-len(
            b"Content-Length: 0\r\n\r\n")]
            + f"Content-Length: {LARGE_ANSWER}\r\n\r\n".encode())
        for _ in range(LARGE_ANSWER // 8000):
            writer.write(b"y" * 8000)
            try:
                await asyncio.wait_for(writer.drain(), CUT_OFF_S)
            except asyncio.TimeoutError:
                wire.reset(writer)
                raise ConnectionResetError from None


async def ordinary(case, address, path="/order/a", body=b"x" * 600,
                   pause_s=0.0):
    """Sends one request as an ordinary client; returns status and length."""
    async def answer():
        link = socket.socket()
        link.setblocking(False)
        if pause_s > 0:  # So that the kernel does not hold the answer.
            link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
        await asyncio.get_running_loop().sock_connect(
            link, (address, harness.ENTRY))
        reader, writer = await asyncio.open_connection(
            sock=link, limit=32768)
        try:
            writer.write(wire.request("POST", path, {
                "Host": harness.HOST, "X-Attempt-Id": case.new_attempt(),
                "X-Deadline-Ms": "9000",
                "Authorization": f"Token {harness.KEY}"}, body))
            head = await wire.read_head(reader)
            if head is None:
                return None, 0
            await asyncio.sleep(pause_s)
            return head.status, len(await wire.read_body(reader, head))
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(answer(), ORDINARY_WAIT_S)
    except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError,
            ValueError) as problem:
        return type(problem).__name__, 0


class Site:
    """One gateway, one backend server and the store."""

    def __init__(self, case, limits, routes=1):
        self.case = case
        self.limits = limits
        self.routes = routes
        self.store = Store()
        self.gateway = None
        self.runner = None
        self.usage = None

    async def start(self):
        case = self.case
        self.gateway = LimitedGateway(case, 1, [case.address(1)])
        self.gateway.limits = self.limits
        case.gateways.append(self.gateway)
        await self.store.listen(case.store_host(self.gateway),
                                harness.STORE_PORT, self.gateway.name)
        route = {"name": "r-order", "hostname": harness.HOST,
                 "pathPrefix": "/order/", "routeType": "unsafe",
                 "timeoutMs": 9000, "targetLatencyMs": 100, "priority": 2,
                 "service": "desk", "maxAttempts": 1, "public": False}
        routes = [route] + [
            {**route, "name": f"r-{number}", "pathPrefix": f"/{number}/"}
            for number in range(1, self.routes)]
        self.store.put_json("keyed.op", "config", harness.configuration(
            routes, [{"name": "desk", "healthCheckPath": "/healthz",
                       "maxConnections": 500, "protocol": "h1",
                       "tls": False}]))
        self.runner = ImpatientRunner(self.store, case.record, "i-1", "v1",
                                      "desk", case.address(9),
                                      harness.RUNNER_PORT)
        await self.runner.start()
        self.gateway.start(bootstrap=True)
        await case.wait_ready([self.gateway])
        for _ in range(50):
            if (await ordinary(case, self.gateway.ip))[0] == 200:
                break
            await asyncio.sleep(0.1)
        self.usage = ProcessUsage(self.gateway.child.pid, self.gateway.ip)

    def problems(self, status):
        """Compares what was seen with the limits of the settings."""
        usage = self.usage
        usage.sample()
        memory = int(self.limits["limits.memoryMb"]) * 1_000_000
        descriptors = int(self.limits["limits.maxFds"]) - FILE_DESCRIPTORS
        found = []
        if self.gateway.child.poll() is not None:
            found.append("the process has ended")
        if usage.peak_memory > memory:
            found.append(f"memory {usage.peak_memory} above {memory}")
        if usage.peak_descriptors > descriptors:
            found.append(f"{usage.peak_descriptors} descriptors, above "
                         f"{descriptors}")
        if status != 200:
            found.append(f"ordinary request: {status}")
        return found


async def crowd_case(attack, count, limits, read_s, port, routes, case):
    """Plays a crowd of clients that all do the same."""
    site = Site(case, limits, routes)
    await site.start()
    site.usage.start()
    crowd = Crowd(case, site.gateway.ip, port)
    crowd.start(attack, count)
    await crowd.settle(8.0)
    await asyncio.sleep(read_s)  # For what the kernel still holds.
    status, _ = await ordinary(case, site.gateway.ip)
    crowd.stop()
    await site.usage.stop()
    found = site.problems(status)
    print(f"  {count} clients: {site.usage.describe()}, ordinary request "
          f"{status}, crowd {crowd.outcomes()}")
    return found


async def pausing_reader(limits, case):
    """An ordinary client reads nothing for twice the time after which the
    backend server cuts off an answer that is not read."""
    site = Site(case, limits)
    await site.start()
    site.usage.start()
    status, length = await ordinary(case, site.gateway.ip, "/order/large",
                                    pause_s=2 * CUT_OFF_S)
    await site.usage.stop()
    found = site.problems(status)
    if length != LARGE_ANSWER:
        found.append(f"{length} bytes of an answer of {LARGE_ANSWER}")
    print(f"  {site.usage.describe()}, {length} bytes")
    return found


def limits_of(memory_mb, max_fds):
    return {"limits.memoryMb": str(memory_mb), "limits.maxFds": str(max_fds)}


def crowd_of(attack, count, memory_mb=120, max_fds=3075, read_s=0.5,
             port=harness.ENTRY, routes=1):
    return functools.partial(crowd_case, attack, count,
                             limits_of(memory_mb, max_fds), read_s, port,
                             routes)


CASES = {
    "chunked_short_of_end": crowd_of("chunked_short_of_end", 60),
    "announced_short_of_end": crowd_of("announced_short_of_end", 60),
    "whole_bodies": crowd_of("whole_bodies", 60),
    "one_byte_chunks": crowd_of("one_byte_chunks", 100, memory_mb=32,
                                read_s=4),
    "chunked_over_limit": crowd_of("chunked_over_limit", 60),
    "announced_over_limit": crowd_of("announced_over_limit", 60),
    "endless_heads": crowd_of("endless_heads", 300, memory_mb=64),
    "slow_readers": crowd_of("slow_reader", 200, memory_mb=32),
    "pipelined_requests": crowd_of("pipelined_requests", 60, memory_mb=32),
    "unread_metrics": crowd_of("pipelined_queries", 60, memory_mb=32,
                               port=harness.METRICS),
    "unread_readiness": crowd_of("pipelined_queries", 60, memory_mb=32,
                                 port=harness.READY),
    "unread_addresses": crowd_of("pipelined_queries", 60, memory_mb=32,
                                 port=harness.DIRECTORY),
    "unread_peer_queries": crowd_of("pipelined_queries", 60, memory_mb=32,
                                    port=harness.PEER),
    "unread_records": crowd_of("large_query", 100, memory_mb=48,
                               port=harness.PEER, max_fds=4100, routes=4000),
    "head_sized_bodies": crowd_of("head_sized_bodies", 1650, memory_mb=32,
                                  max_fds=4100),
    "medium_bodies": crowd_of("medium_bodies", 1200, memory_mb=32,
                              max_fds=4100),
    "pausing_reader": functools.partial(pausing_reader,
                                        limits_of(120, 3075)),
    "idle_connections": crowd_of("idle", 400, max_fds=500),
    "half_heads": crowd_of("half_head", 400, max_fds=500),
}


def free_case(folder):
    """Returns a case whose address of the store is free, too."""
    for _ in range(20):
        case = harness.Case(folder)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            number = case.net.split(".")[1]
            try:
                probe.bind((f"127.{number}.251.1", harness.STORE_PORT))
                return case
            except OSError:
                case.close()
    raise harness.Unable("no free ports")


async def run(name, case):
    try:
        return await asyncio.wait_for(CASES[name](case), 60)
    finally:
        for gateway in case.gateways:
            gateway.end()
        await asyncio.sleep(0.5)  # Its connections to the stand-ins end.


def play(name):
    """Plays a case; returns what was wrong."""
    print(name, flush=True)
    folder = tempfile.mkdtemp(prefix="client-limits-")
    case = free_case(folder)
    found = ["could not be played"]
    try:
        found = asyncio.run(run(name, case))
    finally:
        if found:
            os.environ["KEEP_LOGS"] = folder
            print(f"  FAILED: {'; '.join(found)}; logs in {folder}",
                  flush=True)
        case.close()
        os.environ.pop("KEEP_LOGS", None)
        if not found:
            shutil.rmtree(folder, ignore_errors=True)
    return found


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--gateway", default=str(
        ROOT / "build/release/platform/medlarstall-gateway"))
    parser.add_argument("cases", nargs="*", default=list(CASES))
    options = parser.parse_args()
    harness.GATEWAY = options.gateway
    failed = [name for name in options.cases or CASES if play(name)]
    print("failed: " + ", ".join(failed) if failed else "all held")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
