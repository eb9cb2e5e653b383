"""Memory and descriptors of a process, with the bytes that the kernel has
received for it and that it has not read."""

import asyncio
import os

SAMPLE_S = 0.02


def address_in_proc(ip):
    """Returns the address as /proc/net/tcp writes it."""
    return "".join(f"{int(part):02X}" for part in reversed(ip.split(".")))


class ProcessUsage:
    def __init__(self, pid, ip):
        self.pid = pid
        self.address = address_in_proc(ip)
        self.initial_memory = self.read_memory()
        self.peak_resident = 0
        self.peak_unread = 0
        self.peak_memory = 0
        self.peak_descriptors = 0
        self.task = None

    def read_memory(self, field="VmRSS"):
        with open(f"/proc/{self.pid}/status", encoding="ascii") as lines:
            for line in lines:
                if line.startswith(field + ":"):
                    return int(line.split()[1]) * 1024
        return 0

    def read_unread(self):
        """Sums the receive queues of sockets at the address of the process.
        Queues of listening sockets count connections and are left out."""
        total = 0
        with open("/proc/net/tcp", encoding="ascii") as lines:
            for line in lines:
                words = line.split()
                if (words[1].startswith(self.address + ":")
                        and words[3] != "0A"):
                    total += int(words[4].split(":")[1], 16)
        return total

    def sample(self):
        try:
            unread = self.read_unread()
            resident = self.read_memory()
            peak = self.read_memory("VmHWM")
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
        except OSError:
            return  # The process has ended, which the case reports.
        self.peak_unread = max(self.peak_unread, unread)
        self.peak_resident = max(self.peak_resident, peak)
        self.peak_memory = max(self.peak_memory, peak, resident + unread)
        self.peak_descriptors = max(self.peak_descriptors, descriptors)

    def start(self):
        self.task = asyncio.create_task(self.run())

    async def run(self):
        while True:
            self.sample()
            await asyncio.sleep(SAMPLE_S)

    async def stop(self):
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)

    def describe(self):
        return (f"resident {self.initial_memory // 1024} kB at first, peak "
                f"{self.peak_resident // 1024} kB, unread up to "
                f"{self.peak_unread // 1024} kB, {self.peak_descriptors} "
                f"descriptors")
