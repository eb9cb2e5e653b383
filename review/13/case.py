"""Sound lookups are refused for minutes at a machine that has heard of three
crashes of runners, each of which happened to run one of these lookups."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import site_of_case as sites  # noqa: E402

RUNNERS = 4
CRASHES = 3
DOWN_S = 2.0
CALM_S = 2.5  # Between the return of a runner and the next crash.
LOOKUP_S = 0.1  # Between two lookups, and two orders.
MEASURED_S = 20.0
LEAST_SHARE = 0.25


class Desk(sites.Runner):
    """Knows whether it runs a lookup."""

    lookups = 0

    async def answer(self, start, fields, writer):
        is_lookup = start.startswith("GET /look/")
        self.lookups += is_lookup
        try:
            return await super().answer(start, fields, writer)
        finally:
            self.lookups -= is_lookup


class Callers:
    """Looks up one order after the other on one path, and places orders."""

    def __init__(self, site):
        self.site = site
        self.lookups_at = site.gateways[0]
        self.count = 0
        self.served = {}  # By kind; counted from when it is cleared.
        self.sent = {}
        self.tasks = []

    async def call(self, kind, gateway):
        self.count += 1
        attempt = f"{kind}{self.count}"
        if kind == "look":
            answer = await sites.call(self.site, gateway, attempt,
                                      f"/look/status?order={self.count}",
                                      method="GET",
                                      deadline_ms=1500)
        else:
            answer = await sites.call(self.site, gateway, attempt,
                                      "/order/new", deadline_ms=1500,
                                      body=attempt.encode())
        self.sent[kind] = self.sent.get(kind, 0) + 1
        good = answer.status == 200 and answer.complete
        self.served[kind] = self.served.get(kind, 0) + good

    async def run(self):
        while True:
            for kind, gateway in (
                    ("look", self.lookups_at),
                    ("order", self.site.gateways[self.count % 2])):
                self.tasks.append(
                    asyncio.create_task(self.call(kind, gateway)))
            await asyncio.sleep(LOOKUP_S)


async def crash_while_looking(site, runner):
    for _ in range(2000):
        if runner.lookups:
            break
        await asyncio.sleep(0.005)
    runner.end()
    await asyncio.sleep(DOWN_S)
    await runner.start()


async def scenario(site):
    for number in range(RUNNERS):
        site.add_runner(f"i-{number}", "desk", kind=Desk, slots=6,
                        work_s=0.06)
    await site.start(sites.config(1, [
        sites.route("look", "safe", "desk", 1500, 100),
        sites.route("order", "unsafe", "desk", 1500, 100, attempts=1)],
        [sites.plain_service("desk")]))
    callers = Callers(site)
    running = asyncio.create_task(callers.run())
    await asyncio.sleep(2)
    for number in range(CRASHES):
        if sites.TROUBLE:
            await crash_while_looking(site, site.runners[number])
        else:
            await asyncio.sleep(DOWN_S)
        await asyncio.sleep(CALM_S)
    site.record.add("lookups_move", to=site.gateways[1].name)
    callers.lookups_at = site.gateways[1]
    callers.served.clear()
    callers.sent.clear()
    await asyncio.sleep(MEASURED_S)
    running.cancel()
    await asyncio.gather(*callers.tasks)
    shares = {kind: callers.served[kind] / callers.sent[kind]
              for kind in callers.sent}
    everything = sum(callers.served.values()) / sum(callers.sent.values())
    print(f"served: lookups {shares['look']:.3f}, orders "
          f"{shares['order']:.3f}, all {everything:.3f}")
    if shares["order"] < LEAST_SHARE:
        return sites.NOT_RUN
    return (sites.BROKEN if shares["look"] < LEAST_SHARE * everything
            else sites.KEPT)


sites.play(FOLDER, scenario, gateways=2)
