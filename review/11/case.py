"""Streams without a length look complete although their runner has crashed,
while another connection to that runner has gone silent.

TROUBLE=crash plays the crash without the silent connection."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import site_of_case as sites  # noqa: E402

STREAMS = 8
EVENTS = 40
EVENT_S = 0.1
SILENT_AT_S = 1.5
CRASH_AT_S = 2.0
DOWN_S = 4.0
SILENCE = sites.TROUBLE and os.environ.get("TROUBLE") != "crash"


class Link:
    """The link from the gateway to a runner. Its first connection can go
    silent: nothing arrives on it any more, not even its end."""

    def __init__(self, target):
        self.target = target
        self.count = 0
        self.first_is_silent = False

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        self.count += 1
        number = self.count
        try:
            there, back = await asyncio.open_connection(*self.target())
        except OSError:
            sites.reset(writer)  # As the kernel of the runner's machine does.
            return
        await asyncio.gather(self.pump(reader, back, number),
                             self.pump(there, writer, number))

    async def pump(self, source, sink, number):
        try:
            while data := await source.read(65536):
                if not self.is_silent(number):
                    sink.write(data)
                    await sink.drain()
        except OSError:
            pass
        if not self.is_silent(number):
            sink.close()

    def is_silent(self, number):
        return number == 1 and self.first_is_silent


async def scenario(site):
    runner = site.add_runner("i-1", "writers", events=EVENTS, event_s=EVENT_S)
    runner.unframed = True
    link = Link(lambda: runner.address)
    runner.told_address = await link.start()
    config = sites.config(1, [sites.route(
        "stream", "streaming", "writers", 12000, 1500)],
        [sites.model_service("writers")])
    await site.start(config)

    async def client(number):
        await asyncio.sleep(0.02 * number)
        return await sites.call(site, site.gateways[0], f"a{number}",
                                "/stream/x", deadline_ms=12000)

    tasks = [asyncio.create_task(client(n)) for n in range(STREAMS)]
    await asyncio.sleep(SILENT_AT_S)
    if SILENCE:
        link.first_is_silent = True
        site.record.add("connection_silent", number=1)
    await asyncio.sleep(CRASH_AT_S - SILENT_AT_S)
    if sites.TROUBLE:
        runner.end()
        await asyncio.sleep(DOWN_S)
        await runner.start()
    answers = await asyncio.gather(*tasks)
    early = [answer for answer in answers
             if answer.status == 200 and answer.complete
             and len(answer.events) < EVENTS]
    whole = sum(answer.complete and len(answer.events) == EVENTS
                for answer in answers)
    print(f"{len(answers)} streams, {whole} whole, "
          f"{len(early)} looked complete before their last event")
    if not sites.TROUBLE and whole < STREAMS:
        return sites.NOT_RUN
    return sites.BROKEN if early else sites.KEPT


sites.play(FOLDER, scenario)
