"""Fixed cases of backend servers that start again under their ids while streams
run. Prints what the callers of each saw; fails if a bound is exceeded.

successor         a server restarts with another version, and 50 ms later the
                  server of the running streams crashes
late_entry        a server restarts with another version, its entry is written
                  1 s later, streams begin there, and it crashes again
in_turn           six servers restart in turn, with another version
in_turn_and_kill  the same, and a gateway is killed between the restarts
reset             all connections to each server are reset in turn; none is lost
fin               streams without length or chunks; the process ends, and its
                  connections are closed with FIN at the end of an event
"""

import argparse
import asyncio
import random
import signal
import sys

from stream_site import EVENTS, GATEWAY, Site, other_version, play
from stream_verdict import count

DOWN_S = 0.3
TURN_S = 3.6
FAST_S = 0.008  # Between new streams that shall all be running at once.


async def restart(server, entry_delay_s=0.0):
    """Ends the process and starts the other version under its id."""
    server.crash()
    await asyncio.sleep(DOWN_S)
    server.version = other_version(server.version)
    await server.start(entry_delay_s=entry_delay_s)


async def successor(site):
    """The server that has restarted had no work, so that nothing was lost."""
    await site.call_many(90, FAST_S)
    idle = site.add_server()
    await idle.start()
    await asyncio.sleep(1)
    await restart(idle)
    await asyncio.sleep(0.05)
    site.servers[0].crash()


async def late_entry(site):
    site.spawn(site.call_many(240))
    for _ in range(3):
        await restart(site.servers[0], entry_delay_s=1.0)
        await asyncio.sleep(0.8)
        await restart(site.servers[0])
        await asyncio.sleep(1.5)


async def in_turn(site, between=None):
    site.spawn(site.call_many(600))
    for server in site.servers:
        await restart(server)
        await asyncio.sleep(TURN_S / 2)
        if between:
            await between()
        await asyncio.sleep(TURN_S / 2)


async def in_turn_and_kill(site):
    async def kill():
        gateway = random.choice(site.gateways)
        gateway.send(signal.SIGKILL)
        gateway.child.wait()
        await site.start_gateway_again(gateway)
    await in_turn(site, kill)


async def reset(site):
    site.spawn(site.call_many(120))
    for server in site.servers:
        await asyncio.sleep(1.2)
        server.reset_links()


async def fin(site):
    await site.call_many(100, FAST_S)
    await asyncio.sleep(0.5)
    site.servers[0].crash()


CASES = {"successor": (successor, 1, {}),
         "late_entry": (late_entry, 3, {}),
         "in_turn": (in_turn, 6, {}),
         "in_turn_and_kill": (in_turn_and_kill, 6, {}),
         "reset": (reset, 3, {}),
         "fin": (fin, 3, {"unframed_share": 1.0, "fin_share": 1.0})}


async def scenario(case, name, gateway):
    act, servers, traits = CASES[name]
    site = Site(case, [gateway] * 3)
    for _ in range(servers):
        site.add_server(**traits)
    await site.start()
    await act(site)
    faults = await site.finish()
    counts = count(site.callers, EVENTS)
    print(f"{name}: {counts}", flush=True)
    incomplete = counts.streams - counts.complete
    if name == "reset" and incomplete:
        faults.append(f"{incomplete} streams are lost by a mere reset")
    return counts.problems() + faults


def main():
    parser = argparse.ArgumentParser(
        description=__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("cases", nargs="*", default=list(CASES))
    parser.add_argument("--gateway", default=GATEWAY,
                        help="the program, from the root of the repository")
    options = parser.parse_args()
    if set(options.cases) - set(CASES):
        parser.error(f"cases are {' '.join(CASES)}")
    failed = [name for name in options.cases
              if play(name, lambda case: scenario(case, name,
                                                  options.gateway))]
    if failed:
        print(f"over the bound: {' '.join(failed)}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
