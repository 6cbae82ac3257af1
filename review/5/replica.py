"""Stand-in for a replica that serves until it is replaced."""

import asyncio
import itertools
import time

WORK_S = 0.4
SLOTS = 64
NUMBERS = itertools.count(1)


class Replica:
    """One lifetime of a replica, at an address and with an id of its own."""

    def __init__(self, service, store):
        self.service, self.store = service, store
        self.name = f"{service}-{next(NUMBERS)}"
        self.server = None
        self.writers = set()
        self.born = int(time.time() * 1000)
        self.runs = 0

    async def start(self):
        """Accept channels, and register."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._register("ready")

    def _register(self, state):
        port = self.server.sockets[0].getsockname()[1]
        entry = {
            "service": self.service,
            "address": f"127.0.0.1:{port}",
            "zone": "rennes",
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "coldRemainingMs": 0,
            "seq": 1,
            "models": [],
            "born": self.born,
        }
        self.store.put(f"servers/{self.name}", entry)

    async def leave(self, drain_s):
        """Report that it drains, serve for so long, close all channels and end."""
        self._register("draining")
        await asyncio.sleep(drain_s)
        self.server.close()
        for writer in list(self.writers):
            writer.close()
        self.store.remove(f"servers/{self.name}")

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                headers = {}
                for line in head.strip().split("\r\n")[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                await reader.readexactly(int(headers.get("content-length", 0)))
                self.runs += 1
                await asyncio.sleep(WORK_S)
                answer = (
                    f"HTTP/1.1 200 OK\r\nAttempt-Id: {headers.get('attempt-id')}\r\n"
                    f"Server-Stamp: x.{self.name}\r\nInstance-Load: 1,0,{SLOTS}\r\n"
                    "Content-Length: 4\r\n\r\ndone"
                )
                writer.write(answer.encode())
                await writer.drain()
        except (OSError, EOFError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()
