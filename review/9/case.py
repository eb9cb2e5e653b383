"""A quarter of a service's runners crash, and clients take up the streams that
have just begun there. See claim.txt."""

import asyncio
import pathlib
import random
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib2"))
import deployment  # noqa: E402

GATEWAYS = 8
RUNNERS = 48
CRASHED = 12        # `srv_crash`, share 0.25.
CRASHES = 5
DOWN_S = 2.0
GAP_S = 5.0
STREAMS = 150       # At a time.
EVENTS = 15
EVENT_GAP = 0.06
TRIES = 3           # To take a stream up.
PACE_S = 0.1        # Between two streams of a client.


class Case:
    def __init__(self, site):
        self.site = site
        self.over = False
        self.begun = self.not_begun = 0
        self.taken_up = {}  # Attempt that began the stream: goes on.
        self.addresses = [site.address() for _ in range(RUNNERS)]
        self.runners = {}

    def start_runner(self, at):
        name = f"i-{random.randrange(16 ** 8):08x}"
        self.runners[at] = self.site.start_standin(
            "runner.py", name, "pool", self.addresses[at], self.addresses[at],
            self.site.store, self.site.temp / "runs.log",
            env={"EVENTS": str(EVENTS), "EVENT_GAP": str(EVENT_GAP)})

    @staticmethod
    def events_of(got):
        return got.body.decode().count("\n\n") if got.status == 200 else 0

    async def ask(self, attempt, at, fields=None):
        body = (fields or {}).get("Resumes", attempt).encode()
        got = await deployment.ask(self.site.entry_of(at), "POST", "/stream/x",
                                   attempt, body, deadline_ms=8000,
                                   fields=fields)
        self.site.record.note(
            f"client: {attempt} {fields or ''} at edge-{at} got {got.status} "
            f"{got.reason} complete {got.whole} events {self.events_of(got)} "
            f"{got.body[:60] if got.status != 200 else ''}")
        return got

    async def client(self, number):
        count = 0
        await asyncio.sleep(random.random())
        while not self.over:
            count += 1
            first = f"c{number}x{count}"
            got = await self.ask(first, random.randrange(GATEWAYS))
            if not self.events_of(got):
                self.not_begun += 1
            else:
                self.begun += 1
                if not got.whole:
                    await self.take_up(first, self.events_of(got))
            await asyncio.sleep(random.random() * PACE_S)

    async def take_up(self, first, events):
        """As long as a try brings no event, the client tries again, at the time
        that the answer names."""
        goes_on = False
        for number in range(1, TRIES + 1):
            await asyncio.sleep(0.02)
            got = await self.ask(f"{first}t{number}", random.randrange(GATEWAYS),
                                 {"Resumes": first, "Last-Event-Id": events})
            if self.events_of(got) or (got.status == 200 and got.whole):
                goes_on = True
                break
            await asyncio.sleep(min(float(got.fields.get("retry-after", "0.1")),
                                    2.0))
        self.taken_up[first] = goes_on
        self.site.record.note(f"client: {first} taken up after {events} events: "
                              f"{'goes on' if goes_on else 'does not go on'}")

    async def crash(self, number):
        chosen = [(number * CRASHED + at) % RUNNERS for at in range(CRASHED)]
        for at in chosen:
            self.runners[at].kill()
        for at in chosen:
            self.runners[at].wait()
        self.site.record.note(f"trouble: runners {chosen} are killed")
        await asyncio.sleep(DOWN_S)
        for at in chosen:
            self.start_runner(at)

    async def play(self):
        site = self.site
        site.extra_settings = "bounds.budgetSlack=204\n"  # As kovacic-hlad.
        site.start_standin("store.py", site.store)
        await site.wait_for(site.store)
        for at in range(RUNNERS):
            self.start_runner(at)
        await site.configure(
            [deployment.route("stream", "streaming", "pool", timeoutMs=8000,
                              streamResume=True, targetGapMs=800)],
            [{"name": "pool", "healthCheckPath": "/healthz"}])
        for at in range(GATEWAYS):
            site.start_gateway(at)
        for at in range(GATEWAYS):
            await site.wait_ready(at)
        await asyncio.sleep(4)
        clients = [asyncio.create_task(self.client(number))
                   for number in range(STREAMS)]
        await asyncio.sleep(6)
        for number in range(CRASHES):
            if deployment.trouble():
                await self.crash(number)
            else:
                await asyncio.sleep(DOWN_S)
            await asyncio.sleep(GAP_S)
        self.over = True
        await asyncio.gather(*clients)
        return self.judge()

    def judge(self):
        new = self.begun / max(self.begun + self.not_begun, 1)
        went_on = sum(self.taken_up.values())
        share = went_on / max(len(self.taken_up), 1)
        self.site.record.say(
            f"{self.begun} of {self.begun + self.not_begun} new streams began; "
            f"of {len(self.taken_up)} that clients took up, {went_on} went on")
        if self.begun < 100:
            raise deployment.NotRun("too few streams")
        broken = len(self.taken_up) >= 12 and share < new / 2
        if broken:
            self.site.record.say("BROKEN: the share of taken up streams that "
                                 "goes on is under half of that of new ones")
        return deployment.BROKEN if broken else deployment.HELD


deployment.play(FOLDER, lambda site: Case(site).play(), GATEWAYS)
