"""Stand-in for a replica that takes a limited number of channels.

Usage: replica.py ID ADDRESS MAX_CONNS. Further channels are reset as soon as they are
accepted. It speaks HTTP/1.1 with kept channels: /report, /order and /healthz.
"""

import json
import socket
import struct
import sys
import threading

RESET = struct.pack("ii", 1, 0)


class Replica:
    """State of the replica."""

    def __init__(self, name: str, max_channels: int) -> None:
        self.name = name
        self.max_channels = max_channels
        self.channels = 0
        self.weights = 1
        self.orders = 0
        self.newest_fence = 0
        self.lock = threading.Lock()

    def serve(self, listener: socket.socket) -> None:
        """Accept channels, and reset those beyond the limit."""
        while True:
            channel, _ = listener.accept()
            if self.channels >= self.max_channels:
                channel.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                channel.close()
                continue
            with self.lock:
                self.channels += 1
            threading.Thread(target=self.handle, args=(channel,), daemon=True).start()

    def handle(self, channel: socket.socket) -> None:
        """Answer the requests on one channel."""
        try:
            stream = channel.makefile("rb")
            while True:
                line = stream.readline()
                if not line:
                    return
                headers = {}
                while (header := stream.readline().strip()) != b"":
                    name, _, value = header.decode("latin-1").partition(":")
                    headers[name.lower()] = value.strip()
                body = stream.read(int(headers.get("content-length", 0)))
                status, answer = self.answer(line.split()[1].decode(), headers, body)
                head = (
                    f"HTTP/1.1 {status} X\r\nInstance-Id: {self.name}\r\n"
                    f"Content-Type: application/json\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n"
                )
                channel.sendall(head.encode() + answer)
        except OSError:
            pass
        finally:
            channel.close()
            with self.lock:
                self.channels -= 1

    def answer(self, path: str, headers: dict, body: bytes) -> tuple[int, bytes]:
        """Return the status and the body of an answer."""
        if headers.get("expect-instance", self.name) != self.name:
            return 421, b""
        if path == "/report":
            model = {"name": "m0", "version": self.weights, "adapters": []}
            report = {"stage": "both", "models": [model], "busy": False}
            load = {"waiting": 0, "running": 0, "kvUsed": 0, "kvTotal": 100_000}
            rest = {"seq": self.orders, "handles": 0}
            return 200, json.dumps({**report, **load, **rest}).encode()
        if path == "/order":
            return self.apply(json.loads(body)), b""
        return 200, b""

    def apply(self, order: dict) -> int:
        """Apply an order; return the status of its answer."""
        with self.lock:
            if order["fence"] < self.newest_fence:
                return 412
            if order["precondition"] != self.orders:
                return 409
            self.newest_fence = order["fence"]
            if order["version"] == self.weights:
                return 200
            self.orders += 1
            self.weights = order["version"]
            print(json.dumps(order), flush=True)
            return 202


def main() -> None:
    """Serve until killed."""
    name, address, max_channels = sys.argv[1:]
    host, _, port = address.rpartition(":")
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, int(port)))
    listener.listen(256)
    Replica(name, int(max_channels)).serve(listener)


main()
