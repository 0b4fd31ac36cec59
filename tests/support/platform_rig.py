"""A platform root on loopback sockets, whose agent, leaves and clients are driven by the test.

Each race is forced, by a peer that the test drives or by stopping the root between two steps; none
is left to chance.
"""

import json
import socket
import struct
from contextlib import asynccontextmanager

import trio

from mothnotch import net
from mothnotch.decisions import interface as i
from mothnotch.node import config as node_config
from mothnotch.node.root import NodeRoot
from mothnotch.standins.platform import request
from mothnotch.standins.platform_settings import CELLS, options
from tests.support.platform_environment import RecordingLog

HOST = "127.0.0.1"
# Size of a socket buffer that is too small for a whole frame.
SMALL_BUFFER_BYTES = 4096


def listening_socket(small=False):
    sock = socket.socket()
    if small:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    sock.bind((HOST, 0))
    sock.listen(64)
    sock.setblocking(False)
    return sock


def address_of(sock):
    return f"{HOST}:{sock.getsockname()[1]}"


class LeafConnection:
    """A leaf's end of a connection. It reads and sends only what the test requests."""

    def __init__(self, stream):
        self.stream, self.buffer = stream, b""

    async def read_frame(self):
        """Return (type letter, payload) of the next frame; None at the end of the connection."""
        while (
            len(self.buffer) < 4 or len(self.buffer) < 4 + struct.unpack("<I", self.buffer[:4])[0]
        ):
            try:
                data = await self.stream.receive_some(1 << 16)
            except trio.BrokenResourceError:
                return None
            if not data:
                return None
            self.buffer += data
        n = 4 + struct.unpack("<I", self.buffer[:4])[0]
        found, self.buffer = self.buffer[:n], self.buffer[n:]
        return found[4:5].decode(), found[5:]

    async def read_call(self):
        """Read the next frame, which must be a call; return its wire ids."""
        letter, rest = await self.read_frame()
        assert letter == "m", (letter, rest)
        return wire_ids(rest)

    async def answer_part(self, wire_id, value="v", after_s=0.0):
        """Answer a part. `after_s`: a delay that makes later answers, which take some time in the
        test, not count as slow.
        """
        await trio.sleep(after_s)
        # One write of the whole frame, as several tasks may answer concurrently.
        self.stream.socket._sock.send(self.encode_answer(wire_id, value))

    @staticmethod
    def encode_answer(wire_id, value="v", end="good"):
        rest = b"q" + f"{wire_id} {end} 1 -\n{value}".encode()
        return struct.pack("<I", len(rest)) + rest

    async def expect_no_call(self, timeout_s=0.3):
        """Check that only cancel frames, if any, are received before the timeout."""
        with trio.move_on_after(timeout_s):
            while (found := await self.read_frame()) is not None:
                assert found[0] == "n", found


def parts_of_call(rest):
    """Return (wire id, shard, deadline in milliseconds) of each part of a call's payload."""
    found = []
    while rest:
        line, _, rest = rest.partition(b"\n")
        wire_id, shard, options, length = line.decode().split(" ")
        found.append(
            (wire_id, int(shard), int(dict(word.split("=") for word in options.split(","))["d"]))
        )
        rest = rest[int(length) :]
    return found


def wire_ids(rest):
    return [wire_id for wire_id, _, _ in parts_of_call(rest)]


class Leaf:
    """A leaf that listens; the test accepts its connections."""

    def __init__(self, name, cell, small):
        self.name, self.cell, self.small, self.sock = name, cell, small, listening_socket(small)
        self.listener = trio.SocketListener(trio.socket.from_stdlib_socket(self.sock))
        self.address = address_of(self.sock)

    async def accept_connection(self):
        return LeafConnection(await self.listener.accept())

    async def expect_no_connection(self, timeout_s=0.3):
        with trio.move_on_after(timeout_s):
            await self.listener.accept()
            raise AssertionError(f"unexpected connection to {self.name}")


class Client:
    """A client on a plain socket. `send_bytes` does not yield to trio, so the root cannot run."""

    def __init__(self, where):
        host, port = where.split(":")
        self.sock, self.buffer = socket.create_connection((host, int(port))), b""
        self.sock.setblocking(False)
        self.stream = trio.SocketStream(trio.socket.from_stdlib_socket(self.sock))

    def send_bytes(self, data):
        assert self.sock.send(data) == len(data)

    def disconnect(self):
        self.stream.socket.close()

    async def read_answer(self):
        """Return (status, headers, body); None if the connection is closed or reset instead."""
        try:
            while b"\r\n\r\n" not in self.buffer:
                data = await self.stream.receive_some(1 << 16)
                if not data:
                    return None
                self.buffer += data
            head, _, rest = self.buffer.partition(b"\r\n\r\n")
            headers = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:])
            n = int(headers["content-length"])
            while len(rest) < n:
                data = await self.stream.receive_some(1 << 16)
                if not data:
                    return None
                rest += data
        except trio.BrokenResourceError:
            return None
        self.buffer = rest[n:]
        return int(head.split()[1]), headers, rest[:n]

    async def ends_cleanly(self):
        """Return whether the connection ends by an orderly close, not by a reset."""
        return await self.stream.receive_some(1) == b""


class Watch:
    """The agent's end of a watch; `target`: the path that the root requested."""

    def __init__(self, stream, target):
        self.stream, self.target, self.writing = stream, target, trio.Lock()

    async def send_chunk(self, data):
        async with self.writing:
            await self.stream.send_all(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def send_listing(self, rev, *targets, whole=False):
        await self.send_chunk(
            json.dumps({"rev": rev, "all": whole, "targets": list(targets)}).encode() + b"\n"
        )


class ControlledNetwork(net.SocketNetwork):
    """Real sockets, with faults that a test may inject.

    `connect_gate`: if set, connects wait for it. `has_small_send_buffers`: applies to new connections.
    `blocked_frame_type`: the send buffer takes no frame of that type.
    """

    def __init__(self):
        super().__init__()
        (
            self.connect_gate,
            self.has_small_send_buffers,
            self.connect_count,
            self.blocked_frame_type,
        ) = (
            None,
            False,
            0,
            b"",
        )

    async def open(self, where, source=None):
        self.connect_count += 1
        if self.connect_gate is not None:
            await self.connect_gate.wait()
        stream = await super().open(where, source)
        if self.has_small_send_buffers:
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        return stream

    def send_now(self, stream, data):
        return (
            0
            if self.blocked_frame_type and data[4:5] == self.blocked_frame_type
            else super().send_now(stream, data)
        )


class Rig:
    """A root with its agent and leaves, before the root is started."""

    def __init__(self, small=False, **changes):
        self.network, self.log = ControlledNetwork(), RecordingLog()
        # Long latency objectives: on a busy machine, no part may be moved for slowness while a test
        # drives its leaf.
        changes.setdefault(
            "lanes",
            [{**lane, "aimUs": 4_000_000, "deadlineUs": 8_000_000} for lane in options()["lanes"]],
        )
        self.leaves = [Leaf(f"s{n}", n, small) for n in range(CELLS)]
        self.agent = trio.SocketListener(trio.socket.from_stdlib_socket(listening_socket()))
        config_values = {
            "name": "n0",
            "listen": f"{HOST}:0",
            "discovery": address_of(self.agent.socket),
            "seed": "8c1f",
            "known": {
                "rev": 40,
                "all": True,
                "targets": [self.target(leaf) for leaf in self.leaves],
            },
            "limits": {
                "cores": 1,
                "memory_mb": changes.pop("memory_mb", 64),
                "sockets": changes.pop("sockets", 256),
            },
            "settings": options(**changes),
        }
        self.config_values = config_values
        self.config = node_config.parse(json.dumps(config_values).encode())
        self.numbers = iter(range(1000))

    def target(self, leaf, state="Ready", where=None, boot_ms=0):
        return {
            "uid": leaf.name,
            "endpoint": where or leaf.address,
            "az": "a",
            "pod_group": leaf.cell,
            "state": state,
            "boot_ms": boot_ms,
        }

    async def accept_watch(self):
        """Accept the next watch that the root opens."""
        stream, head = await self.agent.accept(), b""
        while b"\r\n\r\n" not in head:
            head += await stream.receive_some(4096)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return Watch(stream, head.split(b" ")[1].decode())

    def address_of_agent(self):
        return address_of(self.agent.socket)

    def second_agent(self):
        """Start another agent, `other_agent`, and return its address."""
        self.other_agent = trio.SocketListener(trio.socket.from_stdlib_socket(listening_socket()))
        return address_of(self.other_agent.socket)

    def client(self):
        return Client(self.root.addresses[0])

    def home_leaf(self, shard, kind="read"):
        """Return the leaf that a part is sent to first, by the balancer's own hash."""
        b = self.root.core.balancer
        part = type(
            "P", (), {"shard": shard, "cost_us": 1, "query": type("Q", (), {"key": "7f3a"})}
        )
        return next(
            leaf for leaf in self.leaves if leaf.name == b.placement.ready_replicas(part)[0].id
        )

    async def expect_no_open_queries(self):
        """Check that after the core's next turn no state of any query is left, and that each
        accepted query has had exactly one final answer.
        """
        core, b = self.root.core, self.root.core.balancer
        while core.dispatcher.events:
            await trio.lowlevel.checkpoint()
        accepted, finished, open_ids = core.unanswered()
        assert (
            accepted == finished
            and not open_ids
            and not core.parts
            and not self.root.frontend.handler.open_request_ids
        ), (
            accepted,
            finished,
            open_ids,
        )
        assert not b.queries.by_id and not b.queries.by_number and not b.sender.attempts
        assert not any(
            connection.in_flight or connection.queued
            for leaf in self.root.pool.leaves.values()
            for connection in leaf.connections
        )


@asynccontextmanager
async def rig(listed=True, **changes):
    """Run a root; if `listed`, its watch is answered with a heartbeat."""
    r = Rig(**changes)
    async with trio.open_nursery() as r.nursery:
        r.root = NodeRoot(r.config, r.network, r.log)
        await r.nursery.start(r.root.run)
        with trio.fail_after(20):
            if listed:
                r.first_watch = await r.accept_watch()
                await r.first_watch.send_chunk(b"\n")
                while not r.root.watch.policy.has_received:
                    await trio.sleep(0.001)
            yield r
        r.nursery.cancel_scope.cancel()


def on_real_sockets(test):
    """Decorate an async test to run under trio, on real sockets and the real clock."""

    def run(**values):
        trio.run(lambda: test(**values))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    if hasattr(test, "pytestmark"):
        run.pytestmark = test.pytestmark
    import inspect

    run.__signature__ = inspect.signature(test)
    return run


async def wait_until(condition, what="a state"):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.001)


def long_text(n=60_000):
    return "x" * n


def classes_with_retry_window(window_s):
    """Return the classes, with long objectives and a retry window for the keyed class."""
    read, hold = options()["lanes"]
    return [
        read,
        {
            **hold,
            "aimUs": 4_000_000,
            "deadlineUs": 8_000_000,
            "repeatWindowUs": int(window_s * 1e6),
        },
    ]


async def used_connection(r, shard=0):
    """Return a connection to a shard's leaf that has answered once, so its latency is known."""
    client, home = r.client(), r.home_leaf(shard)
    client.send_bytes(request("first", "read", (shard,), timeout_ms=6000))
    connection = await home.accept_connection()
    assert await connection.read_call() == [f"first.{shard}"]
    await connection.answer_part(f"first.{shard}", after_s=0.3)
    assert (await client.read_answer())[0] == 200
    return connection


def send_attempt(r, part, leaf, *more):
    """Send an attempt of a part as if the balancer had decided it in a turn of its own."""
    core = r.root.core
    core.dispatcher.now_us = int(trio.current_time() * 1e6)
    core.actions.pending_sends.clear()
    core.actions.send(i.Send(part.id, leaf.name, 5_000_000, *more))
    core.leaves.send(leaf.name, core.actions.pending_sends.pop(leaf.name))


async def wait_for_connections(r, name, ready):
    """Wait until the root has connections to a leaf and all satisfy `ready`; return them."""
    leaf = r.root.pool.leaves[name]
    await wait_until(lambda: leaf.connections and all(ready(k) for k in leaf.connections))
    return list(leaf.connections)


async def serve_connection(connection, after_s=0.0):
    """Answer each part that is received on a connection."""
    while (found := await connection.read_frame()) is not None:
        for wire_id in wire_ids(found[1]) if found[0] == "m" else ():
            await connection.answer_part(wire_id, after_s=after_s)
