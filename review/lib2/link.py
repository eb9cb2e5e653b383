"""A link in front of a runner, which may lose packets.

A lost packet is sent again after the shortest time-out of TCP, and what was
sent after it on its channel arrives after it, as the kernel does it. The end of
a channel is a packet, too. A refused connection stays refused: while the runner
is down, nothing listens here.

With `idle_s`, the runner drops channels that have been idle for so long without
notice: the caller sees no end, and what it sends next is reset.
"""

import asyncio

RETRANSMIT_S = 0.2
LOOK_S = 0.05


class Channel:
    """Both ends of one channel."""

    def __init__(self, caller, runner):
        self.caller = caller
        self.runner = runner
        self.used_at = asyncio.get_running_loop().time()
        self.dropped = False
        self.over = False


class Link:
    def __init__(self, address, target, rng):
        self.address = address
        self.target = target
        self.rng = rng
        self.loss = 0.0
        self.idle_s = None
        self.server = None
        self.packets = self.lost = self.dropped = 0

    async def open(self):
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.serve, host, int(port),
                                                 backlog=512)

    def refuse(self):
        """New connections are refused, as by the machine of an ended process."""
        if self.server:
            self.server.close()
            self.server = None

    async def transmit(self):
        """Waits until one packet has arrived."""
        self.packets += 1
        while self.rng.random() < self.loss:
            self.lost += 1
            await asyncio.sleep(RETRANSMIT_S)

    async def serve(self, reader, writer):
        try:
            await self.join(reader, writer)
        except asyncio.CancelledError:
            pass  # The script ends.

    async def join(self, reader, writer):
        host, port = self.target.rsplit(":", 1)
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        channel = Channel(writer, back)
        await asyncio.gather(self.pump(reader, back, channel),
                             self.pump(there, writer, channel),
                             self.drop_if_idle(channel))
        back.close()
        writer.close()

    async def drop_if_idle(self, channel):
        while self.idle_s and not channel.over:
            await asyncio.sleep(LOOK_S)
            now = asyncio.get_running_loop().time()
            if now - channel.used_at > self.idle_s:
                channel.dropped = True
                self.dropped += 1
                channel.runner.close()
                return

    async def pump(self, source, sink, channel):
        try:
            while True:
                data = await source.read(1460)
                channel.used_at = asyncio.get_running_loop().time()
                if channel.dropped:
                    if sink is channel.runner:
                        channel.caller.transport.abort()
                    return
                await self.transmit()
                if not data:
                    break
                sink.write(data)
                await sink.drain()
            channel.over = True
            sink.write_eof()
        except (ConnectionError, OSError):
            channel.over = True
            sink.transport.abort()
