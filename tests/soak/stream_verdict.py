"""Counts what callers of streams saw, and compares it with the bounds."""

import asyncio
import dataclasses

from harness import StreamClient

MOST_MIXED = 2
LEAST_TAKEN_UP = 12  # Fewer say nothing about the share that goes on.
LEAST_SHARE = 0.5  # Of the share of new streams that begin.
SILENT = "broken:TimeoutError"


@dataclasses.dataclass
class Request:
    """One request of a caller: a new stream, or one that is taken up."""
    taken_up: bool
    supported: bool  # Two servers of the stream's version serve.
    served: bool


class Caller(StreamClient):
    """Notes of each request whether it was served."""

    def __init__(self, site, name):
        super().__init__(site.case, name, site.addresses())
        self.site = site
        self.requests = []

    async def attempt(self, address):
        before = len(self.events)
        if before:
            await asyncio.sleep(self.site.take_up_pause())
        supported = self.site.supports(self.events[0][1] if before else None)
        outcome = await super().attempt(address)
        self.requests.append(Request(before > 0, supported,
                                     len(self.events) > before))
        return outcome

    def numbers(self):
        return [number for number, _, _ in self.events]


@dataclasses.dataclass
class Counts:
    """Streams of a run, by what their callers saw."""
    streams: int = 0
    complete: int = 0
    resumed: int = 0  # Taken up by the caller, at least once.
    mixed: list = dataclasses.field(default_factory=list)
    mixed_within: int = 0  # Of mixed, those that the caller did not take up.
    missing: list = dataclasses.field(default_factory=list)
    double: list = dataclasses.field(default_factory=list)
    too_early: list = dataclasses.field(default_factory=list)
    left_open: int = 0  # Answers without a byte for six seconds.
    taken_up: int = 0  # Requests while two servers of the version serve.
    gone_on: int = 0
    new: int = 0
    begun: int = 0

    def add(self, caller, events):
        numbers = caller.numbers()
        self.streams += 1
        self.complete += caller.complete
        self.resumed += sum(item.taken_up for item in caller.requests) > 0
        if len(caller.versions()) > 1:
            self.mixed.append(caller.name)
            self.mixed_within += len(caller.requests) == 1
        if set(range(1, max(numbers, default=0) + 1)) - set(numbers):
            self.missing.append(f"{caller.name}: {numbers}")
        if numbers != sorted(set(numbers)):
            self.double.append(f"{caller.name}: {numbers}")
        if caller.complete and len(numbers) != events:
            self.too_early.append(f"{caller.name} after {len(numbers)}")
        self.left_open += sum(outcome == SILENT
                              for _, outcome in caller.attempts)
        for request in caller.requests:
            self.add_request(request)

    def add_request(self, request):
        if not request.supported:
            return
        if request.taken_up:
            self.taken_up += 1
            self.gone_on += request.served
        else:
            self.new += 1
            self.begun += request.served

    def lost(self):
        """Whether far fewer streams go on than new ones begin."""
        return (self.taken_up >= LEAST_TAKEN_UP and self.new > 0 and
                self.gone_on / self.taken_up <
                LEAST_SHARE * self.begun / self.new)

    def problems(self):
        """Returns what breaks a bound, a line each."""
        lost = self.lost_problem()
        return self.problems_but_lost() + ([lost] if lost else [])

    def problems_but_lost(self):
        """Returns what breaks another bound than that of LOST."""
        found = [f"event missing in {text}" for text in self.missing]
        found += [f"event twice or out of order in {text}"
                  for text in self.double]
        if self.too_early:
            found.append(f"told complete too early: "
                         f"{', '.join(self.too_early)}")
        if len(self.mixed) > MOST_MIXED:
            found.append(f"two versions in {len(self.mixed)} streams: "
                         f"{' '.join(self.mixed)}")
        return found

    def lost_problem(self):
        """Returns a line if far fewer streams go on than new ones begin."""
        if not self.lost():
            return ""
        return (f"{self.gone_on} of {self.taken_up} streams go on, "
                f"{self.begun} of {self.new} new ones begin")

    def __str__(self):
        return (f"{self.streams} streams, {self.complete} complete, "
                f"{self.resumed} taken up; {len(self.mixed)} of two versions "
                f"({self.mixed_within} within one answer), "
                f"{len(self.too_early)} told complete too early, "
                f"{len(self.missing)} with a missing event, "
                f"{len(self.double)} with one twice, {self.left_open} answers "
                f"left open; with two servers of the version, {self.gone_on} "
                f"of {self.taken_up} go on, {self.begun} of {self.new} new "
                f"ones begin")


def count(callers, events):
    counts = Counts()
    for caller in callers:
        counts.add(caller, events)
    return counts
