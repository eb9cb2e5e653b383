"""Stand-in of a backend server whose process ends and restarts under its id.

Extends the one of review/lib: answers without length or chunks that end with
their connection, processes that end as a kernel closes their connections, late
entries in the list of servers, and reports that name the start of the process.
"""

import asyncio
import json
import random

import http_wire as wire
from runner import Runner

MEMORY_TOKENS = 493096


def unframed(status, headers):
    """Returns the head of an answer that ends with its connection."""
    lines = [f"HTTP/1.1 {status} OK"]
    lines += [f"{name}: {value}" for name, value in headers.items()
              if name != "Keep-Alive"]
    return "\r\n".join(lines + ["", ""]).encode()


class RestartingServer(Runner):
    """One id; each call of start() stands for a new process.

    unframed_share: of the streams, that have neither length nor chunks.
    fin_share: of the crashes, that close connections with FIN.
    fin_at_exit: whether planned ends do so.
    reports: whether /api/report is answered, with `born`.
    """

    def __init__(self, *place, seed=0, unframed_share=0.0, fin_share=0.0,
                 reports=False):
        super().__init__(*place)
        self.rng = random.Random(f"{seed} {self.name}")
        self.unframed_share = unframed_share
        self.fin_share = fin_share
        self.reports = reports
        self.fin_at_exit = False
        self.entry_delay_s = 0.0
        self.accepted = 0

    @property
    def serving(self):
        return self.server is not None and self.state == "ready"

    async def start(self, register=True, entry_delay_s=0.0):
        """Starts a process; its entry is written a while after it serves."""
        self.entry_delay_s = entry_delay_s
        self.accepted = 0
        self.fin_at_exit = False
        await super().start(register)

    async def write_entries(self):
        await asyncio.sleep(self.entry_delay_s)
        await super().write_entries()

    def crash(self):
        if self.rng.random() < self.fin_share:
            self.close_links()
        super().crash()

    def end(self, event):
        if event == "runner_exit" and self.fin_at_exit:
            self.close_links()
        super().end(event)
        self.server = None

    def close_links(self):
        """Closes all connections with FIN. Events are written whole, so that
        each stream ends at the end of an event."""
        self.record.add("runner_fin", self.name, active=self.active)
        for writer in list(self.links):
            writer.close()
        self.links.clear()

    def reset_links(self):
        """Resets all connections; the process goes on."""
        self.record.add("runner_reset", self.name, active=self.active)
        for writer in list(self.links):
            wire.reset(writer)

    async def answer(self, head, body, reader, writer):
        if self.reports and head.start.split(" ")[1] == "/api/report":
            writer.write(wire.response(
                200, {"Content-Type": "application/json"}, self.report()))
            await writer.drain()
            return
        await super().answer(head, body, reader, writer)

    def report(self):
        model = {"name": "m", "version": 1, "adapters": []}
        return json.dumps({
            "stage": "combined", "models": [model], "busy": self.active > 0,
            "sequence": self.accepted, "queued": 0, "active": self.active,
            "kvUsed": 0, "kvTotal": MEMORY_TOKENS, "kvHandles": 0,
            "born": self.born}).encode()

    async def stream(self, attempt, after, headers, reader, writer):
        self.accepted += 1
        if self.rng.random() >= self.unframed_share:
            await super().stream(attempt, after, headers, reader, writer)
            return
        self.record.add("unframed", self.name, attempt=attempt)
        headers["Content-Type"] = "text/event-stream"
        writer.write(unframed(200, headers))
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.event_s)
            await self.wait_if_silent()
            if reader.at_eof() or writer.is_closing():
                self.record.add("run_dropped", self.name, attempt=attempt,
                                at=number)
                raise ConnectionResetError
            writer.write(f"id: {number}\ndata: {self.version} {self.name}\n\n"
                         .encode())
            await writer.drain()
        writer.close()
