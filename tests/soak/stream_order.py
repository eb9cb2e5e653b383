"""Randomized soak of streams over releases: real gateways, and the stand-ins of
review/lib for backend servers, the store and callers.

Callers begin streams at any gateway and take them up at another one. Meanwhile
backend servers are replaced by ones of another version, also under the same
id, and crash; gateways are frozen, killed and cut off from the store. Checks
that the events of each stream are contiguous, that a stream is complete only
at its last event, and that at most two streams hold events of two versions.
"""

import argparse
import asyncio
import pathlib
import random
import signal
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

import harness  # noqa: E402
import store as stores  # noqa: E402
from runner import Runner  # noqa: E402

RUNNERS = 6
EVENTS = 60  # 3 s
STREAM_INTERVAL_S = 0.04
DRAIN_S = 2.0
MOST_MIXED = 2
TRIES = 3
DISRUPTIONS = ("replace", "crash", "freeze", "kill", "cut", "outage")


class Soak:
    def __init__(self, case, options):
        self.case = case
        self.options = options
        self.rng = random.Random(options.seed)
        self.store = stores.Store()
        self.runners = []
        self.gateways = []
        self.clients = []
        self.tasks = set()
        self.busy = set()  # Names of gateways and runners in trouble.

    async def start(self):
        count = self.options.gateways
        self.gateways = [self.case.add_gateway(number, seeds=(1, 2))
                         for number in range(1, count + 1)]
        for gateway in self.gateways:
            await self.store.listen(self.case.store_host(gateway),
                                    harness.STORE_PORT, gateway.name)
        self.store.put_json("keyed.op", "config", harness.configuration(
            [harness.stream_route()], [harness.model_service()]))
        for number in range(RUNNERS):
            runner = Runner(self.store, self.case.record, f"i-{number}", "v1",
                            "writers", self.case.address(11 + number),
                            harness.RUNNER_PORT)
            runner.events = EVENTS
            await runner.start()
            self.runners.append(runner)
        for gateway in self.gateways:
            gateway.start(bootstrap=True)
        await self.case.wait_ready(self.gateways)
        await asyncio.sleep(3)

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def free(self, things):
        """Returns one that is not in trouble, if others are left."""
        calm = [thing for thing in things if thing.name not in self.busy]
        return self.rng.choice(calm) if len(calm) > 1 else None

    async def with_one(self, things, act):
        thing = self.free(things)
        if thing is not None:
            self.busy.add(thing.name)
            try:
                await act(thing)
            finally:
                self.busy.discard(thing.name)

    # Disruptions

    async def replace(self):
        async def act(runner):
            await runner.leave(DRAIN_S)
            await asyncio.sleep(self.rng.uniform(0.1, 1.5))
            runner.version = "v2" if runner.version == "v1" else "v1"
            await runner.start()
            await asyncio.sleep(1)
        await self.with_one(self.runners, act)

    async def crash(self):
        async def act(runner):
            runner.crash()
            await asyncio.sleep(self.rng.uniform(0.3, 5))
            if self.rng.random() < 0.5:
                runner.version = "v2" if runner.version == "v1" else "v1"
            await runner.start()
            await asyncio.sleep(1)
        await self.with_one(self.runners, act)

    async def freeze(self):
        async def act(gateway):
            for _ in range(self.rng.choice((1, 1, 2))):
                gateway.send(signal.SIGSTOP)
                await asyncio.sleep(self.rng.uniform(0.3, 4))
                gateway.send(signal.SIGCONT)
                await asyncio.sleep(0.3)
        await self.with_one(self.gateways, act)

    async def kill(self):
        async def act(gateway):
            gateway.send(signal.SIGKILL)
            gateway.child.wait()
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            gateway.start(bootstrap=False)
            await self.case.wait_ready([gateway])
        await self.with_one(self.gateways, act)

    async def cut(self):
        async def act(gateway):
            self.store.modes[gateway.name] = stores.SILENT
            await asyncio.sleep(self.rng.uniform(1, 6))
            self.store.modes[gateway.name] = stores.PASS
            await asyncio.sleep(1)
        await self.with_one(self.gateways, act)

    async def outage(self):
        names = [gateway.name for gateway in self.gateways] + ["runners"]
        for name in names:
            self.store.modes[name] = stores.SILENT
        self.case.record.add("outage")
        await asyncio.sleep(self.rng.uniform(1, 4.5))
        for name in names:
            self.store.modes[name] = stores.PASS

    async def disrupt(self, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            await asyncio.sleep(self.rng.uniform(0.2, 2))
            kind = self.rng.choice(self.options.disruptions)
            self.case.record.add("disruption", kind)
            self.spawn(getattr(self, kind)())

    async def call(self, until):
        loop = asyncio.get_running_loop()
        addresses = [gateway.ip for gateway in self.gateways]
        while loop.time() < until:
            client = harness.StreamClient(
                self.case, f"c{len(self.clients)}", addresses)
            self.clients.append(client)
            self.spawn(client.run(self.rng.choice(addresses), TRIES))
            await asyncio.sleep(STREAM_INTERVAL_S)

    async def play(self):
        await self.start()
        until = asyncio.get_running_loop().time() + self.options.seconds
        await asyncio.gather(self.disrupt(until), self.call(until))
        while self.tasks:
            await asyncio.wait(set(self.tasks), timeout=30)
        return self.problems()

    def problems(self):
        found = []
        mixed = []
        for client in self.clients:
            numbers = [number for number, _, _ in client.events]
            if numbers != list(range(1, len(numbers) + 1)):
                found.append(f"{client.name}: events {numbers}")
            if client.complete and len(numbers) != EVENTS:
                found.append(f"{client.name}: complete after {len(numbers)}")
            if len(client.versions()) > 1:
                mixed.append(client.name)
        if len(mixed) > MOST_MIXED:
            found.append(f"two versions in {len(mixed)} streams: {mixed}")
        for gateway in self.gateways:
            if gateway.child.poll() is not None:
                found.append(f"{gateway.name} has ended by itself")
        taken_up = sum(len(client.attempts) > 1 for client in self.clients)
        complete = sum(client.complete for client in self.clients)
        print(f"seed {self.options.seed}: {len(self.clients)} streams, "
              f"{taken_up} taken up, {complete} complete, {len(mixed)} of two "
              f"versions, {len(found)} problems", flush=True)
        return found


def parse_options():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=25)
    parser.add_argument("--gateways", type=int, default=3)
    parser.add_argument("--gateway", default=harness.GATEWAY,
                        help="the program, from the root of the repository")
    parser.add_argument("--disruptions", default=",".join(DISRUPTIONS))
    options = parser.parse_args()
    options.disruptions = options.disruptions.split(",")
    unknown = set(options.disruptions) - set(DISRUPTIONS)
    if unknown or not 2 <= options.gateways <= 10:
        parser.error(f"unknown disruptions {unknown}" if unknown else
                     f"--gateways {options.gateways}: 2 to 10 are possible")
    return options


def main():
    options = parse_options()
    harness.GATEWAY = options.gateway
    case = harness.Case(tempfile.mkdtemp(prefix="stream-order-"))
    try:
        found = asyncio.run(Soak(case, options).play())
    finally:
        case.close()
    print("\n".join(found))
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
