"""Reading and writing HTTP/1.1 messages on asyncio streams."""

import asyncio
import socket
import struct


class Message:
    """A request or a response without its body."""

    def __init__(self, start, headers):
        self.start = start
        self.headers = headers

    def header(self, name, fallback=""):
        return self.headers.get(name.lower(), fallback)

    @property
    def status(self):
        return int(self.start.split(" ", 2)[1])


async def read_head(reader):
    """Returns the next message, or None if the channel ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    """Returns the next chunk of a chunked body; empty at its proper end."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size + 2)
    return data[:-2]


async def read_body(reader, head):
    """Returns a body with a length or in chunks."""
    if head.header("transfer-encoding") == "chunked":
        parts = []
        while True:
            part = await read_chunk(reader)
            if not part:
                return b"".join(parts)
            parts.append(part)
    return await reader.readexactly(int(head.header("content-length", "0")))


def request(method, path, headers, body=b""):
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode() + body


def response(status, headers, body=b"", chunked=False):
    lines = [f"HTTP/1.1 {status} {'OK' if status == 200 else 'Other'}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append("Transfer-Encoding: chunked" if chunked
                 else f"Content-Length: {len(body)}")
    return "\r\n".join(lines + ["", ""]).encode() + body


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


LAST_CHUNK = b"0\r\n\r\n"


def reset(writer):
    """Closes a channel with a TCP reset, as a crashed machine's peer sees."""
    link = writer.get_extra_info("socket")
    if link is not None:
        link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                        struct.pack("ii", 1, 0))
    writer.transport.abort()
