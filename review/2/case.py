"""The last runner of a software version leaves, still serves its streams, and
falls silent for a second or so. The gateway cuts these streams."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import harness  # noqa: E402
from harness import TROUBLE, StreamClient  # noqa: E402
from runner import Runner  # noqa: E402
from store import Store  # noqa: E402

STREAMS = 12
SILENCE_S = 1.4
MOST_CUT = 3


async def scenario(case):
    store = Store()
    gateways = [case.add_gateway(number) for number in (1, 2)]
    for gateway in gateways:
        await store.listen(case.store_host(gateway), harness.STORE_PORT,
                           gateway.name)
    store.put_json("keyed.op", "config", harness.configuration(
        [harness.stream_route()], [harness.model_service()]))
    old = Runner(store, case.record, "i-old", "v1", "writers",
                 case.address(11), harness.RUNNER_PORT)
    new = Runner(store, case.record, "i-new", "v2", "writers",
                 case.address(12), harness.RUNNER_PORT)
    await old.start()
    for gateway in gateways:
        gateway.start(bootstrap=True)
    await case.wait_ready(gateways)
    await asyncio.sleep(4)

    # Planned work: the gateway gets SIGHUP. Requests that are sent within
    # configApplyMs after it and cut later count.
    gateways[0].send(signal.SIGHUP)
    await asyncio.sleep(0.1)
    addresses = [gateways[0].ip]
    clients = [StreamClient(case, f"c{number}", addresses)
               for number in range(STREAMS)]
    streams = [asyncio.create_task(client.run(gateways[0].ip, tries=1))
               for client in clients]
    # A release: the new runner starts first, then the old one leaves.
    await asyncio.sleep(0.3)
    await new.start()
    await asyncio.sleep(0.4)
    old.remove_entry()
    await asyncio.sleep(0.3)
    if TROUBLE:
        old.fall_silent(SILENCE_S)
    await asyncio.gather(*streams)

    cut = [client for client in clients if not client.complete]
    case.record.add("streams", STREAMS, cut=len(cut))
    return len(cut) > MOST_CUT


harness.play(FOLDER, scenario)
