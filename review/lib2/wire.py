"""HTTP/1.1 as the stand-ins of this review speak it, and records of the store."""

import asyncio
import json
import urllib.parse


class Request:
    """One request as it was read."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def path(self):
        return self.target.split("?", 1)[0]

    @property
    def query(self):
        text = self.target.split("?", 1)[1] if "?" in self.target else ""
        return dict(urllib.parse.parse_qsl(text))


async def read_head(reader):
    """Returns the first line and the fields (names in lower case)."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = text[:-4].split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_chunks(reader):
    """Returns the body, and whether its last chunk has come."""
    body = b""
    try:
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body, True
            body += data[:-2]
    except (asyncio.IncompleteReadError, ValueError, OSError):
        return body, False


async def read_request(reader):
    """Returns the next request; raises if the connection ends before."""
    first, fields = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = b""
    if "chunked" in fields.get("transfer-encoding", ""):
        body, whole = await read_chunks(reader)
        if not whole:
            raise ConnectionError("request is incomplete")
    elif int(fields.get("content-length", "0")):
        body = await reader.readexactly(int(fields["content-length"]))
    return Request(method, target, fields, body)


def head(status, fields, reason="OK"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def answer(status, fields, body=b""):
    return head(status, {**fields, "Content-Length": len(body)}) + body


def json_answer(status, value, fields=None):
    return answer(status, {"Content-Type": "application/json",
                           **(fields or {})}, json.dumps(value).encode())


def encode_record(key, value):
    """A record of a keyed topic, with its four bytes of length."""
    content = bytes([len(key)]) + key.encode() + (value or b"")
    return len(content).to_bytes(4, "big") + content


async def call(address, method, target, fields=None, body=b"", timeout=5.0):
    """One call on a connection of its own; returns status, fields and body."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            sent = {"Host": address, "Content-Length": len(body),
                    "Connection": "close", **(fields or {})}
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in sent.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            first, got = await read_head(reader)
            if "content-length" in got:
                data = await reader.readexactly(int(got["content-length"]))
            else:
                data = (await read_chunks(reader))[0]
            return int(first.split(" ")[1]), got, data
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


async def put(store, topic, key, value):
    """Writes the newest record of a key, as the operator and runners do."""
    data = json.dumps(value).encode() if value is not None else b""
    return await call(store, "POST", f"/api/log-append?topic={topic}&part=0",
                      body=encode_record(key, data))
