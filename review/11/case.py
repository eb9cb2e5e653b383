"""Streams are joined from two software versions after a config that shortens
the time-out of their route."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import site_of_case as sites  # noqa: E402

STREAMS = 8
EVENTS = 140
EVENT_S = 0.1  # A stream lasts for 14 s.
TIMEOUT_MS, SHORTER_MS = 15000, 5000
CONFIG_AT_S = 0.5
RELEASE_AT_S = 0.5
REMOVED_AFTER_S = 0.7
EXIT_AT_S = 12.5
MOST_MIXED = 2


def config(version, timeout_ms):
    return sites.config(version, [sites.route(
        "stream", "streaming", "writers", timeout_ms, 1500, resume=True)],
        [sites.model_service("writers")])


async def client(site, number):
    """Takes its stream up again, at once and on a new connection."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + TIMEOUT_MS / 1000
    events = []
    first = f"a{number}"
    fields = {}
    for attempt in range(3):
        left_ms = int((ends - loop.time()) * 1000)
        if left_ms < 500:
            break
        answer = await sites.call(site, site.gateways[0],
                                  first if attempt == 0 else
                                  f"{first}-{attempt}", "/stream/x",
                                  deadline_ms=left_ms, fields=fields)
        events += answer.events
        if answer.status == 200 and answer.complete:
            break
        if events:
            fields = {"Last-Event-Id": events[-1][0], "Resumes": first}
        await asyncio.sleep(float(answer.fields.get("retry-after", 0)))
    return events


async def scenario(site):
    old = site.add_runner("i-1", "writers", version="v1", events=EVENTS,
                          event_s=EVENT_S)
    new = sites.Runner(site, "i-2", "writers", version="v2", events=EVENTS,
                       event_s=EVENT_S)
    await site.start(config(1, TIMEOUT_MS))
    tasks = [asyncio.create_task(client(site, n)) for n in range(STREAMS)]
    await asyncio.sleep(RELEASE_AT_S)
    await new.start()
    if sites.TROUBLE:
        await site.store.put_config(config(2, SHORTER_MS))
    await asyncio.sleep(REMOVED_AFTER_S)
    await old.leave_list()
    await asyncio.sleep(EXIT_AT_S - REMOVED_AFTER_S - RELEASE_AT_S)
    old.end()
    streams = await asyncio.gather(*tasks)
    mixed = [events for events in streams
             if len({data.split(" ")[0] for _, data in events}) > 1]
    for number, events in enumerate(streams):
        site.record.add("stream", number=number, events=len(events), versions=
                        ",".join(sorted({data.split(" ")[0]
                                         for _, data in events})))
    begun = sum(len(events) > 0 for events in streams)
    print(f"{len(streams)} streams, {begun} begun, "
          f"{len(mixed)} hold events of two versions")
    if begun < STREAMS:
        return sites.NOT_RUN
    return sites.BROKEN if len(mixed) > MOST_MIXED else sites.KEPT


sites.play(FOLDER, scenario)
