"""A gateway freezes while a runner of another software version joins, serves
and crashes. When it wakes, clients take up streams that this one began."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness  # noqa: E402
from harness import TROUBLE, StreamClient  # noqa: E402
from runner import HEARTBEAT_S, Runner  # noqa: E402
from store import Store  # noqa: E402

OLD_RUNNERS = 5  # One of six runners crashes: a share of 0.17.
STREAMS = 84
EVENTS = 60  # 3 s
EARLIER_STREAMS = 30  # In the 1.5 s before the new runner starts.
FREEZE_S = 4.0
MOST_MIXED = 2  # The rule is broken by more than two streams.


async def begin_streams(case, gateways, count, begun, pause_s):
    """Clients begin streams at all gateways but the one that may freeze."""
    addresses = [gateway.ip for gateway in gateways]
    clients = []
    for number in range(count):
        client = StreamClient(case, f"c{len(begun)}", addresses)
        first = addresses[0] if number % 2 == 0 else addresses[2]
        begun.append(asyncio.create_task(client.run(first)))
        clients.append(client)
        await asyncio.sleep(pause_s)
    return clients


async def start_all(case, store):
    gateways = [case.add_gateway(number) for number in (1, 2, 3)]
    for gateway in gateways:
        await store.listen(case.store_host(gateway), harness.STORE_PORT,
                           gateway.name)
    store.put_json("keyed.op", "config", harness.configuration(
        [harness.stream_route()], [harness.model_service()]))
    for number in range(OLD_RUNNERS):
        runner = Runner(store, case.record, f"i-{number}", "v1", "writers",
                        case.address(11 + number), harness.RUNNER_PORT)
        runner.events = EVENTS
        await runner.start()
        await asyncio.sleep(HEARTBEAT_S / OLD_RUNNERS)
    for gateway in gateways:
        gateway.start(bootstrap=True)
    await case.wait_ready(gateways)
    await asyncio.sleep(4)
    return gateways


async def scenario(case):
    store = Store()
    gateways = await start_all(case, store)
    frozen = gateways[1]
    new = Runner(store, case.record, "i-new", "v2", "writers",
                 case.address(11 + OLD_RUNNERS), harness.RUNNER_PORT)
    new.events = EVENTS
    begun = []
    loop = asyncio.get_running_loop()
    freeze_at = loop.time()
    if TROUBLE:
        frozen.send(signal.SIGSTOP)
    await begin_streams(case, gateways, EARLIER_STREAMS, begun, 0.05)
    await new.start()
    await asyncio.sleep(0.8)
    clients = await begin_streams(case, gateways, STREAMS, begun, 0.005)
    await asyncio.sleep(freeze_at + FREEZE_S - 0.6 - loop.time())
    if TROUBLE:
        new.crash()
    await asyncio.sleep(freeze_at + FREEZE_S - loop.time())
    if TROUBLE:
        frozen.send(signal.SIGCONT)
    await asyncio.gather(*begun)

    begun_by_v2 = sum(1 for client in clients
                      if client.events and client.events[0][1] == "v2")
    if begun_by_v2 <= MOST_MIXED:
        raise harness.Unable("too few streams began at the new version")
    mixed = sum(len(client.versions()) > 1 for client in clients)
    case.record.add("streams", STREAMS, begun_by_v2=begun_by_v2,
                    complete=sum(client.complete for client in clients),
                    with_two_versions=mixed)
    return mixed > MOST_MIXED


harness.play(FOLDER, scenario)
