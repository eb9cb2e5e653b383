"""A gateway loses the store while the other one restarts. It then knows of no
other gateway, and takes its old list of runners for the current one."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness  # noqa: E402
import store as stores  # noqa: E402
from harness import TROUBLE, StreamClient  # noqa: E402
from runner import Runner  # noqa: E402

OLD_RUNNERS = 5
STREAMS = 84
EVENTS = 80  # 4 s
CUT_S = 5.5
DRAIN_S = 2.0  # drainMs
MOST_MIXED = 2  # The rule is broken by more than two streams.


async def start_all(case, store):
    gateways = [case.add_gateway(number, seeds=(1, 2)) for number in (1, 2)]
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
    for gateway in gateways:
        gateway.start(bootstrap=True)
    await case.wait_ready(gateways)
    await asyncio.sleep(4)
    return gateways


async def scenario(case):
    store = stores.Store()
    restarted, cut_off = await start_all(case, store)
    loop = asyncio.get_running_loop()

    # Planned: one gateway is stopped and started again.
    restarted.send(signal.SIGTERM)
    await asyncio.sleep(2.0)
    cut_at = loop.time()
    if TROUBLE:
        case.record.add("store_cut", cut_off.name, seconds=CUT_S)
        store.modes[cut_off.name] = stores.SILENT
        loop.call_at(cut_at + CUT_S, lambda: store.modes.update(
            {cut_off.name: stores.PASS}))
    await loop.run_in_executor(None, restarted.child.wait)
    restarted.start(bootstrap=False)
    await case.wait_ready([restarted])

    # Planned: a runner of a new version joins, and is taken away again.
    new = Runner(store, case.record, "i-new", "v2", "writers",
                 case.address(11 + OLD_RUNNERS), harness.RUNNER_PORT)
    new.events = EVENTS
    await new.start()
    await asyncio.sleep(0.9)
    addresses = [restarted.ip, cut_off.ip]
    clients = [StreamClient(case, f"c{number}", addresses)
               for number in range(STREAMS)]
    streams = []
    for client in clients:
        streams.append(asyncio.create_task(client.run(restarted.ip)))
        await asyncio.sleep(0.005)
    await new.leave(DRAIN_S)
    case.record.add("taken_up", after_cut=f"{loop.time() - cut_at:.2f}")
    await asyncio.gather(*streams)

    begun = sum(1 for client in clients
                if client.events and client.events[0][1] == "v2")
    mixed = sum(len(client.versions()) > 1 for client in clients)
    case.record.add("streams", STREAMS, begun_by_v2=begun,
                    complete=sum(client.complete for client in clients),
                    with_two_versions=mixed)
    if begun <= MOST_MIXED:
        raise harness.Unable("too few streams began at the new version")
    return mixed > MOST_MIXED


harness.play(FOLDER, scenario)
