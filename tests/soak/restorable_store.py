"""Stand-in of the platform's store that is restored from older copies."""

import collections
import time

import http_wire as wire
from store import Store

OLDEST_COPY_S = 6.0
COPY_INTERVAL_S = 0.25
ERA = b"Store-Era: %d\r\n"


class RestorableStore(Store):
    """Keeps copies of the last seconds. Each restore begins a new era; offsets
    are given out again."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self.copies = collections.deque()  # Time and topics, oldest first.

    def put(self, topic, key, value):
        now = time.monotonic()
        if not self.copies or now - self.copies[-1][0] >= COPY_INTERVAL_S:
            self.copies.append((now, self.copy()))
        while now - self.copies[0][0] > OLDEST_COPY_S:
            self.copies.popleft()
        super().put(topic, key, value)

    def copy(self):
        return {name: list(records) for name, records in self.topics.items()}

    def restore(self, copy):
        self.era += 1
        for name, records in self.topics.items():
            records[:] = copy.get(name, [])

    async def read(self, query, records):
        if int(query["from"]) > len(records):
            return wire.response(410, {"Store-Era": "1"})
        answer = await super().read(query, records)
        if int(query["from"]) > len(records):  # It was restored meanwhile.
            return wire.response(410, {"Store-Era": "1"})
        return answer

    async def answer(self, head, body):
        answer = await super().answer(head, body)
        return answer.replace(ERA % 1, ERA % self.era, 1)
