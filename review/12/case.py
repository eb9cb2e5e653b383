"""Streams go on at another software version after the store was restored from
an older copy while the machines were killed."""

import asyncio
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import site_of_case as sites  # noqa: E402

STREAMS = 16
EVENTS = 80
EVENT_S = 0.1
TIMEOUT_MS = 12000
AWAY_S = 0.5  # The store.
START_AGAIN_S = 0.2  # A machine.
RETRIES = 3
RETRY_PAUSE_S = 0.25
MOST_MIXED = 2


async def client(site, number):
    """Takes its stream up again, each time on a new connection."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + TIMEOUT_MS / 1000
    events = []
    first = f"a{number}"
    fields = {}
    for attempt in range(1 + RETRIES):
        left_ms = int((ends - loop.time()) * 1000)
        if left_ms < 500:
            break
        gateway = site.gateways[(number + attempt) % len(site.gateways)]
        answer = await sites.call(site, gateway, first if attempt == 0 else
                                  f"{first}-{attempt}", "/stream/x",
                                  deadline_ms=left_ms, fields=fields)
        events += answer.events
        if answer.status == 200 and answer.complete:
            break
        if events:
            fields = {"Last-Event-Id": events[-1][0], "Resumes": first}
        await asyncio.sleep(float(answer.fields.get("retry-after",
                                                      RETRY_PAUSE_S)))
    return events


async def scenario(site):
    for name in ("i-1", "i-2"):
        site.add_runner(name, "writers", version="v1", events=EVENTS,
                        event_s=EVENT_S)
    new = [sites.Runner(site, name, "writers", version="v2", events=EVENTS,
                        event_s=EVENT_S) for name in ("i-3", "i-4")]
    config = sites.config(1, [sites.route(
        "stream", "streaming", "writers", TIMEOUT_MS, 1500, resume=True)],
        [sites.model_service("writers")])
    await site.start(config)
    copy = site.store.copy()
    for runner in new:
        await runner.start()
    await asyncio.sleep(2 * sites.BEAT_S)
    tasks = [asyncio.create_task(client(site, n)) for n in range(STREAMS)]
    await asyncio.sleep(2 * sites.BEAT_S + 0.05)
    for gateway in site.gateways:
        gateway.send(signal.SIGKILL)
        gateway.child.wait()
    drill = (asyncio.create_task(site.store.restore(copy, AWAY_S))
             if sites.TROUBLE else None)
    await asyncio.sleep(START_AGAIN_S)
    for gateway in site.gateways:
        gateway.start(bootstrap=False)
    if drill:
        await drill
        await site.store.put_config(config)
    streams = await asyncio.gather(*tasks)
    versions = [{data.split(" ")[0] for _, data in events}
                for events in streams]
    mixed = sum(len(found) > 1 for found in versions)
    whole = sum(len(events) == EVENTS for events in streams)
    print(f"{STREAMS} streams, {whole} whole, {mixed} hold events of two "
          "versions")
    if not all(versions):
        return sites.NOT_RUN
    return sites.BROKEN if mixed > MOST_MIXED else sites.KEPT


sites.play(FOLDER, scenario, gateways=2)
