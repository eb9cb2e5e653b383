"""Checks that backend servers get no more requests than the rates they state.

The limit holds from NOTICE seconds after it was first stated. Requests of a
gateway count from TOLD seconds after it has passed on an answer that states the
limit, unless it was killed or paused, or the backend server could not be reached
as usual, in the NOTICE seconds before.
"""

import collections
import contextlib
import time

LIMIT = 3.0  # Requests per second, as the stand-in states them.
WINDOW, NOTICE, TOLD = 4.0, 3.0, 0.5
ALLOWED = 1.5 * LIMIT * WINDOW + 5


class RateLimits:
    """What is known of limits, arrivals and faults; the caller holds a lock."""

    def __init__(self):
        self.gateway_of = {}
        self.arrivals = collections.defaultdict(list)
        self.changes = collections.defaultdict(list)
        self.told = collections.defaultdict(list)
        self.faults = collections.defaultdict(list)

    def on_sent(self, attempt, gateway):
        self.gateway_of[attempt] = gateway

    def on_told(self, attempt, server):
        if server:
            key = (self.gateway_of[attempt], int(server.split("-")[1]))
            self.told[key].append(time.monotonic())

    def on_server_event(self, server, event, subject, at):
        if event == "arrived":
            self.arrivals[server].append((float(at), subject))
        else:
            self.changes[server].append((float(at), event == "limited"))

    def on_server_killed(self, server):
        """Its next process has no limit."""
        self.changes[server].append((time.monotonic(), False))

    @contextlib.contextmanager
    def disturbed(self, place):
        """Notes a fault that lasts as long as the context."""
        span = [time.monotonic(), float("inf")]
        self.faults[place].append(span)
        try:
            yield
        finally:
            span[1] = time.monotonic()

    def disturbed_in(self, place, begin, end):
        return any(first <= end and last >= begin
                   for first, last in self.faults[place])

    def limited_since(self, server, at):
        """Returns since when the limit holds at a time; None if it does not."""
        before = [change for change in self.changes[server] if change[0] <= at]
        return before[-1][0] if before and before[-1][1] else None

    def counts(self, server, at, attempt):
        gateway = self.gateway_of.get(attempt)
        if gateway is None:
            return False  # A probe, or a request of the gateway itself.
        started = max((last for _, last in self.faults["gateway", gateway]
                       if last <= at), default=0.0)
        told = any(started < time_told <= at - TOLD
                   for time_told in self.told[gateway, server])
        return told and not self.disturbed_in(("gateway", gateway),
                                              at - NOTICE, at)

    def problems(self):
        found = []
        for server, arrivals in self.arrivals.items():
            recent = collections.deque()
            for at, attempt in arrivals:
                since = self.limited_since(server, at)
                if since is None or at < since + NOTICE:
                    recent.clear()
                    continue
                if not self.counts(server, at, attempt):
                    continue
                recent.append(at)
                while recent[0] < at - WINDOW:
                    recent.popleft()
                if len(recent) > ALLOWED and not self.disturbed_in(
                        ("server", server), at - WINDOW - NOTICE, at):
                    found.append(f"i-{server} limits its rate to {LIMIT} and "
                                 f"got {len(recent)} requests in {WINDOW} s "
                                 f"at {at:.3f}")
        return found
