"""Starts a real gateway while another socket has one of its addresses.

The gateway ended by itself, and nobody started it again when the address was
free. It must wait, and listen at all its addresses then.
"""

import argparse
import pathlib
import socket
import subprocess
import sys
import tempfile
import time

HOST = "127.0.0.1"
TAKEN_S = 2.0
LISTEN_WAIT_S = 5.0
FIRST_PORT = 21410
ENTRY, READY, CONTROL, DIRECTORY, PEER = range(FIRST_PORT, FIRST_PORT + 5)


def settings():
    return "".join(line + "\n" for line in (
        "nodeName=edge-1", "zone=z", f"listen.frontend={HOST}:{ENTRY}",
        f"listen.ready={HOST}:{READY}", f"listen.controlPlane={HOST}:{CONTROL}",
        f"listen.directoryService={HOST}:{DIRECTORY}",
        f"internalPortRange={PEER},{PEER + 1}",
        f"seedNodes={HOST}:{CONTROL}", f"platform.address={HOST}:1",
        "platform.form=log"))


def listens(port):
    with socket.socket() as link:
        return link.connect_ex((HOST, port)) == 0


def take(port, kind):
    other = socket.socket(socket.AF_INET, kind)
    other.bind((HOST, port))
    if kind == socket.SOCK_STREAM:
        other.listen()
    return other


def play(gateway, folder, port, kind):
    """Returns what is wrong, or None."""
    path = folder / "gateway.conf"
    path.write_text(settings())
    other = take(port, kind)
    child = subprocess.Popen(
        [gateway, "--settings", str(path), "--metrics-port", "0"],
        stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        time.sleep(TAKEN_S)
        other.close()
        if child.poll() is not None:
            return f"the gateway has ended with {child.returncode}"
        end = time.monotonic() + LISTEN_WAIT_S
        while not all(map(listens, (ENTRY, READY, DIRECTORY, PEER))):
            if time.monotonic() > end or child.poll() is not None:
                return "the gateway does not listen"
            time.sleep(0.1)
        return None
    finally:
        other.close()
        if child.poll() is None:
            child.kill()
        child.wait()


def main():
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--gateway", required=True)
    gateway = parser.parse_args().gateway
    wrong = 0
    with tempfile.TemporaryDirectory() as folder:
        for port, kind in ((ENTRY, socket.SOCK_STREAM),
                           (READY, socket.SOCK_STREAM),
                           (DIRECTORY, socket.SOCK_STREAM),
                           (PEER, socket.SOCK_STREAM),
                           (PEER, socket.SOCK_DGRAM)):
            problem = play(gateway, pathlib.Path(folder), port, kind)
            print(f"port {port} {kind.name}: {problem or 'held'}", flush=True)
            wrong += problem is not None
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(main())
