"""A simulated leaf process: it answers the parts that roots send and records what arrives when.

It encodes and decodes frames itself, independently of the root's codec. Commands arrive as JSON
lines on standard input: {"do": "hang", "s": 1.5}, {"do": "reset"}, {"do": "close_idle"}, {"do":
"mood", "share": 0.3, "of": ["bad", "later", "spoilt", "endless"], "s": 2}. The last one makes that
share of the parts end in one of the listed outcomes: an error ("bad"), a rejection ("later"), a
corrupt frame ("spoilt"), an incomplete frame ("endless"), or a frame whose length is smaller ("too
short") or larger ("too long") than that of the answer in it.
"""

import itertools
import json
import random
import socket
import struct
import sys

import trio

from mothnotch.soak.records import EventLog, now
from mothnotch.soak.settings import MEAN_WORK_S, expected_value

WORKERS = 4
CORRUPT_FRAME = b"\x9d\x01\x00\x00\x07" * 20
# A good answer whose frame states a length that is wrong by up to this, by its outcome.
WRONG_LENGTH_MAX_BYTES = 64
WRONG_LENGTH_SIGNS = {"too short": -1, "too long": 1}
INCOMPLETE_FRAME = struct.pack("<I", 60_000) + b"q"


class Connection:
    """A connection from a root. It holds at most `streams` parts; while it is full, nothing more is
    read from it.
    """

    def __init__(self, leaf, stream, number):
        self.leaf, self.stream, self.number = leaf, stream, number
        self.parts, self.started = {}, set()  # wire id -> cancel scope; wire ids whose work began
        self.slot_freed, self.writing, self.last_used_at = trio.Event(), trio.Lock(), now()

    async def run(self):
        unparsed = b""
        try:
            while True:
                while len(self.parts) >= self.leaf.streams:
                    self.slot_freed = trio.Event()
                    await self.slot_freed.wait()
                await self.leaf.wait_while_hanging()
                data = await self.stream.receive_some(1 << 16)
                if not data:
                    break
                self.last_used_at = now()
                unparsed = await self.process_frames(unparsed + data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.leaf.event_log.write("link closed", link=self.number)
        self.leaf.connections.pop(self.number, None)
        await trio.aclose_forcefully(self.stream)

    async def process_frames(self, data):
        """Process the complete frames and return the remaining bytes."""
        while len(data) >= 4 and len(data) >= 4 + (n := struct.unpack_from("<I", data)[0]):
            frame_type, payload, data = data[4:5], data[5 : 4 + n], data[4 + n :]
            if frame_type == b"m":
                self.accept_parts(payload)
            elif frame_type == b"n":
                self.handle_cancellation(payload.decode())
            while len(self.parts) >= self.leaf.streams:
                self.slot_freed = trio.Event()
                await self.slot_freed.wait()
        return data

    def accept_parts(self, payload):
        while payload:
            line, _, payload = payload.partition(b"\n")
            wire_id, shard, options, length = line.decode().split(" ")
            options = dict(option.split("=") for option in options.split(","))
            text, payload = payload[: int(length)].decode(), payload[int(length) :]
            self.leaf.event_log.write(
                "part",
                wire_id=wire_id,
                shard=int(shard),
                told_ms=int(options["d"]),
                key=options.get("k"),
                link=self.number,
            )
            scope = self.parts[wire_id] = trio.CancelScope()
            self.leaf.nursery.start_soon(self.run_part, wire_id, int(shard), text, scope)

    def handle_cancellation(self, wire_id):
        self.leaf.event_log.write("given up", wire_id=wire_id, link=self.number)
        scope = self.parts.get(wire_id)
        is_queued = wire_id not in self.started
        if scope is not None and (
            self.leaf.stops == "all" or self.leaf.stops == "queued" and is_queued
        ):
            scope.cancel()

    async def run_part(self, wire_id, shard, text, scope):
        response = None
        with scope:
            async with self.leaf.workers:
                self.started.add(wire_id)
                outcome = self.leaf.draw_outcome()
                if outcome != "later":
                    await trio.sleep(self.leaf.random.uniform(0.5, 1.5) * MEAN_WORK_S)
                    await self.leaf.wait_while_hanging()
                response = self.encode_response(outcome, wire_id, shard, text)
        self.parts.pop(wire_id, None)
        self.started.discard(wire_id)
        self.slot_freed.set()
        if response is None:
            self.leaf.event_log.write("stopped", wire_id=wire_id, link=self.number)
            return
        self.leaf.event_log.write("done", wire_id=wire_id, link=self.number, end=outcome)
        try:
            with trio.move_on_after(5):
                async with self.writing:
                    await self.stream.send_all(response)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    def encode_response(self, outcome, wire_id, shard, text):
        if outcome == "spoilt":
            return CORRUPT_FRAME
        if outcome == "endless":
            return INCOMPLETE_FRAME
        wrong_by = self.leaf.draw_wrong_by(outcome)
        end = "good" if wrong_by else outcome
        value = expected_value(text, shard) if end == "good" else ""
        payload = b"q" + f"{wire_id} {end} 7 inflight={len(self.parts)}\n{value}".encode()
        return struct.pack("<I", max(1, len(payload) + wrong_by)) + payload


class LeafProcess:
    """The leaf process."""

    def __init__(self, options):
        self.name, self.streams = options["name"], options["streams"]
        self.idle_s, self.stops = options["idle_s"], options["stops"]
        self.event_log, self.random = (
            EventLog(options["folder"], self.name),
            random.Random(options["seed"]),
        )
        self.workers, self.connections = trio.CapacityLimiter(WORKERS), {}
        self.connection_numbers = itertools.count(options["life"] * 10_000)
        self.hanging_until, self.fault_outcomes, self.faults_until = 0.0, ("good",), 0.0

    async def wait_while_hanging(self):
        while now() < self.hanging_until:
            await trio.sleep(0.01)

    def draw_outcome(self):
        if now() < self.faults_until and self.random.random() < self.fault_share:
            return self.random.choice(self.fault_outcomes)
        return "good"

    def draw_wrong_by(self, outcome):
        """Return by how many bytes the length of an answer's frame is wrong; 0 if it is right."""
        if outcome not in WRONG_LENGTH_SIGNS:
            return 0
        return WRONG_LENGTH_SIGNS[outcome] * self.random.randint(1, WRONG_LENGTH_MAX_BYTES)

    async def run(self, port):
        async with trio.open_nursery() as self.nursery:
            listeners = await trio.open_tcp_listeners(port, host="127.0.0.1")
            self.event_log.write("listening")
            self.nursery.start_soon(self.follow_commands)
            self.nursery.start_soon(self.close_idle)
            await trio.serve_listeners(self.serve_connection, listeners)

    async def serve_connection(self, stream):
        number = next(self.connection_numbers)
        self.connections[number] = connection = Connection(self, stream, number)
        await connection.run()

    async def close_idle(self):
        while True:
            await trio.sleep(0.05)
            for connection in list(self.connections.values()):
                if not connection.parts and now() - connection.last_used_at >= self.idle_s:
                    await trio.aclose_forcefully(connection.stream)

    async def follow_commands(self):
        async for line in read_stdin_lines():
            command = json.loads(line)
            self.event_log.write("told to", **command)
            if command["do"] == "hang":
                self.hanging_until = now() + command["s"]
            elif command["do"] == "mood":
                self.fault_outcomes, self.fault_share, self.faults_until = (
                    command["of"],
                    command["share"],
                    now() + command["s"],
                )
            else:
                for connection in list(self.connections.values()):
                    if command["do"] == "reset" or not connection.parts:
                        await reset_connection(connection.stream)
        self.nursery.cancel_scope.cancel()  # standard input is closed at the end of the soak


async def reset_connection(stream):
    """Close a connection with a TCP reset."""
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError:
        pass
    await trio.aclose_forcefully(stream)


async def read_stdin_lines():
    """Yield the lines of standard input."""
    partial_line = b""
    async with trio.lowlevel.FdStream(0) as stdin:
        while data := await stdin.receive_some(4096):
            *complete_lines, partial_line = (partial_line + data).split(b"\n")
            for line in complete_lines:
                yield line


if __name__ == "__main__":
    options = json.loads(sys.argv[1])
    trio.run(LeafProcess(options).run, options["port"])
