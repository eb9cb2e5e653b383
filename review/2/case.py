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

STREAMS = 36
NEW_RUNNERS = 2  # One of three runners leaves: a share of 0.33.
SILENCE_S = 1.4
MOST_CUT = 3


async def scenario(case):
    store = Store()
    gateways = [case.add_gateway(number) for number in (1, 2, 3, 4)]
    for gateway in gateways:
        await store.listen(case.store_host(gateway), harness.STORE_PORT,
                           gateway.name)
    store.put_json("keyed.op", "config", harness.configuration(
        [harness.stream_route()], [harness.model_service()]))
    old = Runner(store, case.record, "i-old", "v1", "writers",
                 case.address(11), harness.RUNNER_PORT)
    runners = [old]
    for number in range(NEW_RUNNERS):
        runners.append(Runner(store, case.record, f"i-new-{number}", "v2",
                              "writers", case.address(12 + number),
                              harness.RUNNER_PORT))
    for runner in runners:
        await runner.start()
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
    # The end of a release: the last runner of the old version leaves.
    await asyncio.sleep(0.7)
    old.remove_entry()
    await asyncio.sleep(0.3)
    if TROUBLE:
        old.fall_silent(SILENCE_S)
    await asyncio.gather(*streams)

    cut = [client for client in clients if not client.complete]
    begun = sum(1 for client in clients
                if client.events and client.events[0][1] == "v1")
    case.record.add("streams", STREAMS, begun_by_v1=begun, cut=len(cut))
    if begun <= MOST_CUT:
        raise harness.Unable("too few streams began at the old version")
    return len(cut) > MOST_CUT


harness.play(FOLDER, scenario)
