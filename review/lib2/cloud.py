"""Stand-in of the platform that takes the calls of duties: its own process.

Usage: cloud.py HOST:PORT LOG

A call with a lower generation number than one seen for the same duty and
subject gets 409; all others are accepted. A line of LOG tells each call.
"""

import asyncio
import json
import sys
import time

import wire


class Cloud:
    def __init__(self, log):
        self.log = open(log, "a", buffering=1)
        self.highest = {}

    def handle(self, request):
        told = json.loads(request.body)
        token = int(request.headers["x-fencing-token"])
        subject = request.path
        if request.path == "/scale":
            subject += f" {told['service']} {told['zone']}"
        status = 409 if token < self.highest.get(subject, 0) else 200
        if status == 200:
            self.highest[subject] = token
        self.log.write(f"{time.time():.3f} {status} {request.path} "
                       f"{request.headers['x-duty-holder']} {token} "
                       f"{json.dumps(told, sort_keys=True)}\n")
        return wire.json_answer(status, {})

    async def serve(self, reader, writer):
        try:
            while True:
                writer.write(self.handle(await wire.read_request(reader)))
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, ValueError):
            pass
        writer.close()


async def main(address, log):
    host, port = address.rsplit(":", 1)
    server = await asyncio.start_server(Cloud(log).serve, host, int(port))
    async with server:
        await server.serve_forever()


asyncio.run(main(*sys.argv[1:]))
