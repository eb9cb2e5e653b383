"""Randomized soak of streams over releases: real gateways, and the stand-ins of
review/lib for backend servers, the store and callers.

Callers begin streams at any gateway and take them up at another one. Meanwhile
backend servers are replaced by ones of another version, also under the same
id and with late entries, crash, and have their connections reset; gateways are
frozen, killed, stopped and cut off from the store. The store is restored from
older copies, also while all gateways are down, and the configuration shortens
the time limit of streams. Some streams have neither length nor chunks, and some
ends of servers close connections with FIN. Checks
that no event of a stream is missing or comes twice, that a stream is complete
only at its last event, that at most two streams hold events of two versions,
and that streams go on where new ones begin.
"""

import argparse
import asyncio
import random
import signal
import sys

import stream_site
from stream_site import EVENTS, Site, other_version, play
import store as stores
from stream_verdict import count

SERVERS = 6
DRAIN_S = 2.0
STOP_S = 12.0  # The settings allow 8 s of grace.
# The retry budget of the settings covers the streams of a reset in this time.
RESET_PAUSE_S = 2.5
DISRUPTIONS = ("replace", "crash", "freeze", "kill", "cut", "outage",
               "restart", "successor", "retire", "reset", "stop")
# Played only if named, so that the seeds of the others stay what they were.
MORE_DISRUPTIONS = ("wave", "drill", "shorten", "release")
TAKE_UP_PAUSE_S = 1.5
TIME_LIMITS_MS = (15000, 5000, 3000, 9000)


class Soak:
    def __init__(self, case, options):
        self.case = case
        self.options = options
        self.rng = random.Random(options.seed)
        new = options.gateways - options.old_count
        self.site = Site(case, [options.gateway] * new +
                         [options.old_gateway] * options.old_count)
        if "drill" in options.disruptions:
            # Callers that come back at once find no gateway yet.
            self.site.max_take_up_pause_s = TAKE_UP_PAUSE_S
        self.add_servers()
        self.busy = set()  # Names of gateways and servers in trouble.
        self.reset_at = 0.0
        self.versions = 2  # Further ones are new at the backend servers.

    def add_servers(self):
        options = self.options
        rng = random.Random(f"reports {options.seed}")
        reporting = rng.sample(range(SERVERS),
                               round(options.reports * SERVERS))
        for number in range(SERVERS):
            server = self.site.add_server(
                seed=options.seed, unframed_share=options.unframed,
                fin_share=options.fin, reports=number in reporting)
            server.events = options.events

    def calm(self, things):
        return [thing for thing in things if thing.name not in self.busy]

    async def with_these(self, things, act):
        """Lets no other disruption have these meanwhile."""
        names = {thing.name for thing in things}
        self.busy |= names
        try:
            await act(*things)
        finally:
            self.busy -= names

    async def with_one(self, things, act):
        """Acts on one that is not in trouble, if others are left."""
        calm = self.calm(things)
        if len(calm) > 1:
            await self.with_these([self.rng.choice(calm)], act)

    async def with_server(self, act):
        await self.with_one(self.site.servers, act)

    async def with_gateway(self, act):
        await self.with_one(self.site.gateways, act)

    # Disruptions of servers

    def next_version(self, server):
        return (server.version if self.options.one_version
                else other_version(server.version))

    async def replace(self):
        async def act(server):
            await server.leave(DRAIN_S)
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            server.version = self.next_version(server)
            await server.start()
            await asyncio.sleep(1)
        await self.with_server(act)

    async def crash(self):
        async def act(server):
            server.crash()
            await asyncio.sleep(self.rng.uniform(0.3, 5))
            if self.rng.random() < 0.5:
                server.version = self.next_version(server)
            await server.start()
            await asyncio.sleep(1)
        await self.with_server(act)

    async def wave(self):
        """A third of the servers crash together."""
        async def act(*servers):
            for server in servers:
                server.crash()
            await asyncio.sleep(self.rng.uniform(0.3, 2))
            for server in servers:
                await server.start()
            await asyncio.sleep(1)
        calm = self.calm(self.site.servers)
        if len(calm) > SERVERS // 3 + 1:
            await self.with_these(self.rng.sample(calm, SERVERS // 3), act)

    async def start_again(self, server):
        """Restarts at once with the other version; its entry may be late."""
        server.crash()
        await asyncio.sleep(self.rng.uniform(0.05, 1))
        server.version = self.next_version(server)
        late = self.rng.random() < 0.5
        await server.start(
            entry_delay_s=self.rng.uniform(0, 1.5) if late else 0.0)

    async def restart(self):
        async def act(server):
            if self.rng.random() < 0.3:
                self.site.spawn(self.outage())
                await asyncio.sleep(0.2)
            await self.start_again(server)
            if self.rng.random() < 0.3:
                await asyncio.sleep(self.rng.uniform(0, 0.8))
                await self.start_again(server)
            await asyncio.sleep(1)
        await self.with_server(act)

    async def successor(self):
        """A server restarts, and then one of its former version crashes."""
        async def act(first, second):
            await self.start_again(first)
            await asyncio.sleep(0.05)
            second.crash()
            await asyncio.sleep(self.rng.uniform(0.3, 2))
            await second.start()
            await asyncio.sleep(1)
        calm = self.calm(self.site.servers)
        pairs = [(first, second) for first in calm for second in calm
                 if first != second and first.version == second.version]
        if pairs and len(calm) > 2:
            await self.with_these(self.rng.choice(pairs), act)

    async def retire(self):
        """A planned end closes connections with FIN, streams run or not."""
        async def act(server):
            server.fin_at_exit = True
            await server.leave(DRAIN_S)
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            await server.start()
            await asyncio.sleep(1)
        await self.with_server(act)

    async def release(self):
        """Half of the servers are replaced by ones of a new version. The others
        leave the list, serve on for long, and follow."""
        calm = self.calm(self.site.servers)
        if len(calm) < SERVERS or "release" in self.busy:
            return
        version = self.new_version()

        async def follow(*servers):
            for server in servers:
                server.remove_entry()
            await asyncio.sleep(self.rng.uniform(2, 13))
            await self.replace_at_once(servers, version)
        half = SERVERS // 2
        self.busy.add("release")
        await self.with_these(calm[:half], lambda *servers:
                              self.replace_at_once(servers, version))
        await self.with_these(calm[half:], follow)
        self.busy.remove("release")

    def new_version(self):
        self.versions += 1
        return f"v{self.versions}"

    async def replace_at_once(self, servers, version):
        for server in servers:
            server.crash()
            server.version = version
            await server.start()
        await asyncio.sleep(1)

    async def reset(self):
        async def act(server):
            server.reset_links()
        now = asyncio.get_running_loop().time()
        if now >= self.reset_at + RESET_PAUSE_S:
            self.reset_at = now
            await self.with_server(act)

    # Disruptions of gateways and the store

    async def freeze(self):
        async def act(gateway):
            for _ in range(self.rng.choice((1, 1, 2))):
                gateway.send(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.3, 4))
                gateway.send(signal.SIGCONT)
                await asyncio.sleep(0.3)
        await self.with_gateway(act)

    async def kill(self):
        async def act(gateway):
            gateway.send(signal.SIGKILL)
            gateway.child.wait()
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            await self.site.start_gateway_again(gateway)
        await self.with_gateway(act)

    async def stop(self):
        """A planned stop."""
        async def act(gateway):
            loop = asyncio.get_running_loop()
            ends = loop.time() + STOP_S
            gateway.send(signal.SIGTERM)
            while gateway.child.poll() is None and loop.time() < ends:
                await asyncio.sleep(0.1)
            if gateway.child.poll() != 0:
                self.site.faults.append(
                    f"{gateway.name} told to stop: {gateway.child.poll()}")
                gateway.end()
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            await self.site.start_gateway_again(gateway)
        await self.with_gateway(act)

    async def cut(self):
        async def act(gateway):
            modes = self.site.store.modes
            modes[gateway.name] = stores.SILENT
            await asyncio.sleep(self.rng.uniform(1, 6))
            modes[gateway.name] = stores.PASS
            await asyncio.sleep(1)
        await self.with_gateway(act)

    async def outage(self):
        modes = self.site.store.modes
        names = [gateway.name for gateway in self.site.gateways] + ["runners"]
        modes.update(dict.fromkeys(names, stores.SILENT))
        self.case.record.add("outage")
        await asyncio.sleep(self.rng.uniform(1, 4.5))
        modes.update(dict.fromkeys(names, stores.PASS))

    async def drill(self):
        """The store comes back from an older copy, once or twice from the same
        one. Half of the times all gateways are down meanwhile, or part of it.
        A new version may have come since the copy."""
        if "store" in self.busy:
            return
        self.busy.add("store")
        store = self.site.store
        names = [gateway.name for gateway in self.site.gateways] + ["runners"]
        copy = self.rng.choice(store.copies)[1]
        calm = self.calm(self.site.servers)
        if len(calm) == SERVERS and self.rng.random() < 0.7:
            await self.with_these(
                calm[:SERVERS // 2], lambda *servers:
                self.replace_at_once(servers, self.new_version()))
        for _ in range(self.rng.choice((1, 1, 2))):
            store.modes.update(dict.fromkeys(names, stores.SILENT))
            self.site.store_calm_from = float("inf")
            if self.rng.random() < 0.5:
                self.site.spawn(self.replace_gateways())
            await asyncio.sleep(self.rng.uniform(0.2, 1.5))
            self.site.restore_store(copy)
            store.modes.update(dict.fromkeys(names, stores.PASS))
            await asyncio.sleep(self.rng.uniform(0.5, 5))
        await asyncio.sleep(self.rng.uniform(2, 8))
        self.busy.remove("store")

    async def replace_gateways(self):
        """Kills all gateways; some are back before the store, some after it."""
        async def act(*gateways):
            for gateway in gateways:
                gateway.send(signal.SIGKILL)
                gateway.child.wait()
            await asyncio.sleep(self.rng.uniform(0.1, 2))
            for gateway in gateways:
                self.site.start_gateway(gateway, bootstrap=False)
            await self.case.wait_ready(gateways)
        await asyncio.sleep(self.rng.uniform(0, 0.5))
        await self.with_these(self.calm(self.site.gateways), act)

    async def shorten(self):
        """Several configurations; a time limit may be shorter or longer."""
        for _ in range(self.rng.choice((1, 2, 3))):
            self.site.configure(self.rng.choice(TIME_LIMITS_MS))
            await asyncio.sleep(self.rng.uniform(0.3, 2))

    # The run

    async def disrupt(self, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            kind = self.rng.choice(self.options.disruptions)
            self.case.record.add("disruption", kind)
            self.site.spawn(getattr(self, kind)())

    async def call(self, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            self.site.call(self.rng.choice(self.site.addresses()))
            await asyncio.sleep(stream_site.STREAM_INTERVAL_S)

    async def play(self):
        await self.site.start()
        until = asyncio.get_running_loop().time() + self.options.seconds
        await asyncio.gather(self.disrupt(until), self.call(until))
        faults = await self.site.finish()
        counts = count(self.site.callers, self.options.events)
        incomplete = counts.streams - counts.complete
        if self.options.disruptions == ["reset"] and incomplete:
            faults.append(f"{incomplete} streams are lost by mere resets")
        found = counts.problems() + faults
        lost = counts.lost_problem()
        if lost and self.options.pass_over_lost:
            print(f"known red, passed over (KNOWN-RED.txt): {lost}",
                  flush=True)
            found = counts.problems_but_lost() + faults
        print(f"seed {self.options.seed}: {counts}, {len(found)} problems",
              flush=True)
        return found


def share(text):
    value = float(text)
    if not 0 <= value <= 1:
        raise argparse.ArgumentTypeError(f"{text}: 0 to 1 are possible")
    return value


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--gateway", default=stream_site.GATEWAY,
                        help="the program, from the root of the repository")
    parser.add_argument("--old-gateway", help="an older build of the program")
    parser.add_argument("--old-count", type=int, default=0,
                        help="how many of the gateways run the older build")
    parser.add_argument("--pass-over-lost", action="store_true",
                        help="print a broken LOST, which is known red")
    parser.add_argument("--disruptions", default=",".join(DISRUPTIONS))
    parser.add_argument("--events", type=int, default=EVENTS,
                        help="length of a stream, 20 in a second")
    parser.add_argument("--one-version", action="store_true",
                        help="servers start again with the version they had")
    parser.add_argument("--unframed", type=share, default=0.3,
                        help="share of streams without length or chunks")
    parser.add_argument("--fin", type=share, default=0.5,
                        help="share of crashes that close with FIN")
    parser.add_argument("--reports", type=share, default=0.5,
                        help="share of servers that answer /api/report")
    options = parser.parse_args()
    options.disruptions = options.disruptions.split(",")
    check_options(parser, options)
    return options


def check_options(parser, options):
    unknown = set(options.disruptions) - set(DISRUPTIONS + MORE_DISRUPTIONS)
    if unknown:
        parser.error(f"unknown disruptions {unknown}")
    if not 1 <= options.events <= 280:
        parser.error(f"--events {options.events}: 1 to 280 are possible")
    if not 2 <= options.gateways <= 10:
        parser.error(f"--gateways {options.gateways}: 2 to 10 are possible")
    if not 0 <= options.old_count <= options.gateways:
        parser.error(f"--old-count {options.old_count}: "
                     f"0 to {options.gateways} are possible")
    if options.old_count and not options.old_gateway:
        parser.error("--old-count needs --old-gateway")


def main():
    options = parse_options()
    found = play(f"stream-order-{options.seed}",
                 lambda case: Soak(case, options).play())
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
