"""A site of real gateways, stand-ins of backend servers and of the store, and
callers of streams. Used by the soak and by the fixed cases."""

import asyncio
import os
import pathlib
import random
import shutil
import sys
import tempfile

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "review" / "lib"))

import harness  # noqa: E402
from restorable_store import RestorableStore  # noqa: E402
from restarting_server import RestartingServer  # noqa: E402
from stream_verdict import Caller  # noqa: E402

GATEWAY = "build/release/platform/medlarstall-gateway"
EVENTS = 60  # 3 s
STREAM_INTERVAL_S = 0.04
SETTLE_S = 3.0
CONTACT_S = 3.0  # As in the settings: what gateways know may be this old.
TRIES = 3


def other_version(version):
    return "v2" if version == "v1" else "v1"


class Site:
    """Owns the processes and stand-ins of one run."""

    def __init__(self, case, programs):
        """Takes the program of each gateway, by number from 0."""
        self.case = case
        self.programs = programs
        self.store = RestorableStore()
        self.configuration_version = 0
        self.time_limit_ms = 15000
        self.store_calm_from = 0.0
        self.max_take_up_pause_s = 0.0
        self.gateways = [case.add_gateway(number, seeds=(1, 2))
                         for number in range(1, len(programs) + 1)]
        self.servers = []
        self.callers = []
        self.tasks = set()
        self.faults = []  # Of the run itself.

    def add_server(self, **traits):
        number = len(self.servers)
        server = RestartingServer(
            self.store, self.case.record, f"i-{number}", "v1", "writers",
            self.case.address(11 + number), harness.RUNNER_PORT, **traits)
        server.events = EVENTS
        self.servers.append(server)
        return server

    async def start(self):
        for gateway in self.gateways:
            await self.store.listen(self.case.store_host(gateway),
                                    harness.STORE_PORT, gateway.name)
        self.configure(self.time_limit_ms)
        for server in self.servers:
            await server.start()
        for gateway in self.gateways:
            self.start_gateway(gateway, bootstrap=True)
        await self.case.wait_ready(self.gateways)
        await asyncio.sleep(SETTLE_S)

    def configure(self, time_limit_ms):
        """Publishes a configuration with this time limit of streams."""
        self.configuration_version += 1
        self.time_limit_ms = time_limit_ms
        self.write_configuration()

    def write_configuration(self):
        self.store.put_json("keyed.op", "config", harness.configuration(
            [harness.stream_route(timeoutMs=self.time_limit_ms)],
            [harness.model_service()], self.configuration_version))

    def restore_store(self, copy):
        """Restores the store; the operator and those that serve write again."""
        self.store_calm_from = asyncio.get_running_loop().time() + CONTACT_S
        self.store.restore(copy)
        self.case.record.add("store_restored", era=self.store.era)
        self.write_configuration()
        for server in self.servers:
            if not server.serving or not server.registered:
                self.store.put("keyed.servers", server.name, None)

    def start_gateway(self, gateway, bootstrap):
        # The harness takes one program for all gateways.
        harness.GATEWAY = self.programs[self.gateways.index(gateway)]
        gateway.start(bootstrap=bootstrap)

    async def start_gateway_again(self, gateway):
        self.start_gateway(gateway, bootstrap=False)
        await self.case.wait_ready([gateway])

    def addresses(self):
        return [gateway.ip for gateway in self.gateways]

    def supports(self, version):
        """Whether two servers of the version, or of any if None, serve, and the
        store has not been restored just now."""
        if asyncio.get_running_loop().time() < self.store_calm_from:
            return False
        return sum(server.serving and version in (None, server.version)
                   for server in self.servers) >= 2

    def take_up_pause(self):
        """How long a caller waits before it takes its stream up again."""
        return random.uniform(0, self.max_take_up_pause_s)

    def spawn(self, work):
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_done)

    def on_done(self, task):
        self.tasks.discard(task)
        if not task.cancelled() and task.exception():
            self.faults.append(repr(task.exception()))

    def call(self, address):
        """Lets a caller ask for a stream, first at this address."""
        caller = Caller(self, f"c{len(self.callers)}")
        self.callers.append(caller)
        self.spawn(caller.run(address, TRIES))

    async def call_many(self, count, interval_s=STREAM_INTERVAL_S):
        for number in range(count):
            self.call(random.choice(self.addresses()))
            await asyncio.sleep(interval_s)

    async def finish(self):
        """Waits for all work and ends the gateways; returns their faults."""
        while self.tasks:
            await asyncio.wait(set(self.tasks), timeout=30)
        ended = [f"{gateway.name} has ended by itself"
                 for gateway in self.gateways
                 if gateway.child.poll() is not None]
        for gateway in self.gateways:
            gateway.end()
        await asyncio.sleep(0.2)  # Their connections to the stand-ins end.
        return self.faults + ended


def play(name, scenario):
    """Runs a scenario, a coroutine function of a case that returns problems.
    Prints them, and where the logs are if there are any; returns them."""
    folder = tempfile.mkdtemp(prefix=f"{name}-")
    case = harness.Case(folder)
    found = ["could not be played"]
    try:
        found = asyncio.run(scenario(case))
    finally:
        if found:
            os.environ["KEEP_LOGS"] = folder
            print("\n".join(found))
            print(f"{name}: logs in {folder}", flush=True)
        case.close()
        os.environ.pop("KEEP_LOGS", None)
        if not found:
            shutil.rmtree(folder, ignore_errors=True)
    return found
