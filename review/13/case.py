"""Two machines send the same generation number, after the store has been
restored twice from copies that hold the record of the same earlier holder."""

import asyncio
import collections
import json
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib3"))

import site_of_case as sites  # noqa: E402

KEY = "n2ctnfzs989anu6wsjnb"
WAIT_S = 40
DUTIES = {"cloudApi.duties": "usage_report", "cloudApi.dutiesPerS": "5",
          "bounds.fencingEnforced": "true", "bounds.leaseMs": "3000",
          "bounds.thawMs": "300", "bounds.reportWindowS": "5",
          "bounds.usageOff": "0.05", "bounds.usageDelayS": "10"}


class Cloud:
    """The platform's API; it refuses calls with an old generation number."""

    def __init__(self, record):
        self.record = record
        self.highest = 0
        self.holders = collections.defaultdict(set)  # By generation number.

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "%s:%d" % self.server.sockets[0].getsockname()[:2]

    async def serve(self, reader, writer):
        try:
            while True:
                _, fields = await sites.read_head(reader)
                body = json.loads(await sites.read_body(reader, fields))
                holder = fields["x-duty-holder"]
                token = int(fields["x-fencing-token"])
                status = 200 if token >= self.highest else 409
                self.highest = max(self.highest, token)
                self.holders[token].add(holder)
                self.record.add("usage", holder=holder, token=token,
                                window=body["windowId"], status=status)
                writer.write(sites.message(status, {}))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    async def next_token(self, above):
        """Waits for a call with a higher generation number."""
        for _ in range(WAIT_S * 20):
            if self.highest > above:
                return self.highest
            await asyncio.sleep(0.05)
        raise RuntimeError("no duty is performed")


async def scenario(site):
    cloud = Cloud(site.record)
    site.more_settings = {"cloudApi.address": await cloud.start(), **DUTIES}
    site.add_runner("i-1", "desk", slots=6)
    config = sites.config(1, [sites.route("order", "unsafe", "desk", 1500, 100,
                                          attempts=1)],
                          [sites.plain_service("desk")])
    config["tenants"] = [{"name": "hule930", "apiKeys": [KEY], "priority": 1}]
    await site.start(config)
    first = await cloud.next_token(0)
    copy = site.store.copy()
    await site.store.restore(copy)
    await site.store.put_config(config)
    second = await cloud.next_token(first)
    holder = next(iter(cloud.holders[second]))
    site.record.add("holder", name=holder, token=second)
    if sites.TROUBLE:
        await site.store.restore(copy)
        await site.store.put_config(config)
    for gateway in site.gateways:
        gateway.send(signal.SIGKILL)
        gateway.child.wait()
    for gateway in site.gateways:  # The holder stays away for some seconds.
        if gateway.name != holder:
            gateway.start(bootstrap=False)
    for _ in range(WAIT_S * 20):
        if any(len(names) > 1 for names in cloud.holders.values()) or \
                cloud.highest > second:
            break
        await asyncio.sleep(0.05)
    for gateway in site.gateways:
        if gateway.name == holder:
            gateway.start(bootstrap=False)
    await asyncio.sleep(1)
    shared = {token: sorted(names) for token, names in cloud.holders.items()
              if len(names) > 1}
    print(f"generation numbers {dict(cloud.holders)}; shared: {shared}")
    return sites.BROKEN if shared else sites.KEPT


sites.play(FOLDER, scenario, gateways=2)
