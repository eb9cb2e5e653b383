"""The store comes back from a copy some seconds old while all processes of the
system are killed. See claim.txt."""

import asyncio
import collections
import json
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
import deployment  # noqa: E402
import wire  # noqa: E402

GATEWAYS = 3
RUNNERS = 2
CLIENTS = 6
WINDOW_S = 5
AWAY_S = 1.0
AFTER_S = 25.0


class Case:
    def __init__(self, site):
        self.site = site
        self.over = False
        self.answers = collections.Counter()
        self.calls = site.temp / "calls.log"

    async def client(self, number):
        count = 0
        while not self.over:
            count += 1
            attempt = f"c{number}x{count}"
            at = (number + count) % GATEWAYS
            got = await deployment.ask(self.site.entry_of(at), "GET",
                                       f"/look/{number}", attempt,
                                       deadline_ms=1500)
            self.answers[got.status] += 1
            self.site.record.note(f"client: {attempt} at edge-{at} got "
                                  f"{got.status} {got.reason}")
            await asyncio.sleep(0.1)

    def accepted(self):
        """Returns the accepted reports: window, holder, token and counts."""
        found = []
        if self.calls.exists():
            for line in self.calls.read_text().splitlines():
                _, status, path, holder, token, told = line.split(" ", 5)
                if status == "200" and path == "/usage":
                    told = json.loads(told)
                    found.append((told["windowId"], holder, int(token),
                                  deployment.to_json(told["counts"])))
        return found

    async def control(self, what):
        await wire.call(self.site.store, "GET", f"/standin/{what}")
        self.site.record.note(f"store: {what}")

    async def drill(self):
        """The store is away for a moment and comes back from a copy made some
        seconds before; all processes of the system are killed meanwhile."""
        # The copy is made just before the end of a window, and the store goes
        # away once the report of that window has been accepted.
        now = time.time()
        await asyncio.sleep(WINDOW_S - now % WINDOW_S - 0.5)
        window = int(time.time() / WINDOW_S)
        await self.control("copy")
        copied = time.monotonic()
        while all(item[0] != window for item in self.accepted()):
            if time.monotonic() - copied > 9:
                raise deployment.NotRun("no report of the window")
            await asyncio.sleep(0.1)
        self.site.record.say(f"window {window} is reported "
                             f"{time.monotonic() - copied:.1f} s after the copy")
        await self.control("away")
        for at in range(GATEWAYS):
            self.site.gateways[at].kill()
            self.site.gateways[at].wait()
        self.site.record.note("trouble: all gateways are killed")
        await asyncio.sleep(AWAY_S)
        await self.control("restore")
        self.site.bootstrap = False
        for at in range(GATEWAYS):
            self.site.start_gateway(at)

    def judge(self):
        reports = collections.defaultdict(list)
        for window, holder, token, counts in self.accepted():
            self.site.record.note(f"platform: window {window} of {holder} "
                                  f"token {token}: {counts}")
            reports[window].append((holder, token, counts))
        broken = 0
        for window, items in sorted(reports.items()):
            if len({counts for _, _, counts in items}) > 1:
                broken += 1
                self.site.record.say(f"BROKEN: window {window} has reports "
                                     f"with different counts: {items}")
        self.site.record.say(f"{len(reports)} windows reported, {broken} with "
                             f"different counts; answers {dict(self.answers)}")
        if len(reports) < 4:
            raise deployment.NotRun("too few reports")
        return deployment.BROKEN if broken else deployment.HELD

    async def play(self):
        site = self.site
        cloud = site.address()
        site.extra_settings = (
            f"cloudApi.address={cloud}\ncloudApi.ratePerS=50.0\n"
            f"cloudApi.duties=usage_report\ncloudApi.dutiesPerS=50.0\n"
            f"bounds.fencingEnforced=true\nbounds.leaseMs=3000\n"
            f"bounds.thawMs=300\nbounds.reportWindowS={WINDOW_S}\n"
            f"bounds.usageOff=0.05\nbounds.usageDelayS=10\n")
        site.start_standin("store.py", site.store)
        site.start_standin("cloud.py", cloud, self.calls)
        await site.wait_for(site.store)
        for at in range(RUNNERS):
            address = site.address()
            site.start_standin("runner.py", f"i-{at}", "desk", address,
                               address, site.store, site.temp / "runs.log")
        await site.configure(
            [deployment.route("look", "safe", "desk", timeoutMs=1500,
                              targetLatencyMs=150)],
            [{"name": "desk", "healthCheckPath": "/healthz"}])
        for at in range(GATEWAYS):
            site.start_gateway(at)
        for at in range(GATEWAYS):
            await site.wait_ready(at)
        await asyncio.sleep(1.5)
        clients = [asyncio.create_task(self.client(number))
                   for number in range(CLIENTS)]
        end = time.monotonic() + 40
        while len(self.accepted()) < 2:
            if time.monotonic() > end:
                raise deployment.NotRun("no reports")
            await asyncio.sleep(0.2)
        if deployment.trouble():
            await self.drill()
        else:
            await asyncio.sleep(WINDOW_S * 2)
        await asyncio.sleep(AFTER_S)
        self.over = True
        await asyncio.gather(*clients)
        return self.judge()


deployment.play(FOLDER, lambda site: Case(site).play(), GATEWAYS)
