"""A root of the platform on loopback, whose agent, leaves and clients do what the test says, no
more.

Each crossing is forced by a peer that the test drives, or by the root held between two steps; none
is waited for and hoped to come.
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
from tests.support.platform_day import Kept

HOST = "127.0.0.1"
SMALL = 4096  # bytes of a socket's buffer, where a frame has to stop midway


def listening(small=False):
    sock = socket.socket()
    if small:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
    sock.bind((HOST, 0))
    sock.listen(64)
    sock.setblocking(False)
    return sock


def address(sock):
    return f"{HOST}:{sock.getsockname()[1]}"


class Link:
    """A leaf's end of a connection. Nothing is read or said unless the test says so."""

    def __init__(self, stream):
        self.stream, self.held = stream, b""

    async def frame(self):
        """(letter, rest) of the next frame; None at the end of the connection."""
        while len(self.held) < 4 or len(self.held) < 4 + struct.unpack("<I", self.held[:4])[0]:
            try:
                data = await self.stream.receive_some(1 << 16)
            except trio.BrokenResourceError:
                return None
            if not data:
                return None
            self.held += data
        n = 4 + struct.unpack("<I", self.held[:4])[0]
        found, self.held = self.held[:n], self.held[n:]
        return found[4:5].decode(), found[5:]

    async def call(self):
        """The wire ids of the next call."""
        letter, rest = await self.frame()
        assert letter == "m", (letter, rest)
        return ids(rest)

    async def good(self, wire_id, value="v", after_s=0.0):
        """Answers a part. `after_s`: late enough that the next one's first moments are not taken
        for slowness.
        """
        await trio.sleep(after_s)
        self.stream.socket._sock.send(
            self.answer(wire_id, value)
        )  # whole: several tasks may answer at once

    @staticmethod
    def answer(wire_id, value="v", end="good"):
        rest = b"q" + f"{wire_id} {end} 1 -\n{value}".encode()
        return struct.pack("<I", len(rest)) + rest

    async def nothing(self, span_s=0.3):
        """Nothing but a word that something is given up comes within the span."""
        with trio.move_on_after(span_s):
            while (found := await self.frame()) is not None:
                assert found[0] == "n", found


def frames_of(rest):
    """(wire id, shard, milliseconds told) of each part of a call."""
    found = []
    while rest:
        line, _, rest = rest.partition(b"\n")
        wire_id, shard, told, length = line.decode().split(" ")
        found.append(
            (wire_id, int(shard), int(dict(word.split("=") for word in told.split(","))["d"]))
        )
        rest = rest[int(length) :]
    return found


def ids(rest):
    return [wire_id for wire_id, _, _ in frames_of(rest)]


class Leaf:
    def __init__(self, name, cell, small):
        self.name, self.cell, self.small, self.sock = name, cell, small, listening(small)
        self.listener = trio.SocketListener(trio.socket.from_stdlib_socket(self.sock))
        self.address = address(self.sock)

    async def link(self):
        return Link(await self.listener.accept())

    async def nobody(self, span_s=0.3):
        with trio.move_on_after(span_s):
            await self.listener.accept()
            raise AssertionError(f"a connection came to {self.name}")


class Client:
    """A client over a plain socket: `now` says something without giving the root a chance to run."""

    def __init__(self, where):
        host, port = where.split(":")
        self.sock, self.held = socket.create_connection((host, int(port))), b""
        self.sock.setblocking(False)
        self.stream = trio.SocketStream(trio.socket.from_stdlib_socket(self.sock))

    def now(self, data):
        assert self.sock.send(data) == len(data)

    def leave(self):
        self.stream.socket.close()

    async def answer(self):
        """(status, headers, body); None if the connection was closed, or reset, without one."""
        try:
            while b"\r\n\r\n" not in self.held:
                data = await self.stream.receive_some(1 << 16)
                if not data:
                    return None
                self.held += data
            head, _, rest = self.held.partition(b"\r\n\r\n")
            headers = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:])
            n = int(headers["content-length"])
            while len(rest) < n:
                data = await self.stream.receive_some(1 << 16)
                if not data:
                    return None
                rest += data
        except trio.BrokenResourceError:
            return None
        self.held = rest[n:]
        return int(head.split()[1]), headers, rest[:n]

    async def ended(self):
        """The connection ends properly, not by a reset."""
        return await self.stream.receive_some(1) == b""


class Watch:
    def __init__(self, stream, target):
        self.stream, self.target, self.writing = stream, target, trio.Lock()

    async def raw(self, data):
        async with self.writing:
            await self.stream.send_all(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def say(self, rev, *targets, whole=False):
        await self.raw(
            json.dumps({"rev": rev, "all": whole, "targets": list(targets)}).encode() + b"\n"
        )


class Held(net.SocketNetwork):
    """Real sockets; a test may keep connects waiting, and make what the root sends with small."""

    def __init__(self):
        super().__init__()
        self.gate, self.small, self.asked, self.full = None, False, 0, b""

    async def open(self, where, source=None):
        self.asked += 1
        if self.gate is not None:
            await self.gate.wait()
        stream = await super().open(where, source)
        if self.small:
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL)
        return stream

    def send_now(self, stream, data):
        return (
            0 if self.full and data[4:5] == self.full else super().send_now(stream, data)
        )  # full: no such frame is taken


class Rig:
    def __init__(self, small=False, **changes):
        self.network, self.log = Held(), Kept()
        # Long aims: on a machine that is busy elsewhere no part is moved for its slowness while a
        # test drives its leaf.
        changes.setdefault(
            "lanes",
            [{**lane, "aimUs": 4_000_000, "deadlineUs": 8_000_000} for lane in options()["lanes"]],
        )
        self.leaves = [Leaf(f"s{n}", n, small) for n in range(CELLS)]
        self.agent = trio.SocketListener(trio.socket.from_stdlib_socket(listening()))
        text = {
            "name": "n0",
            "listen": f"{HOST}:0",
            "discovery": address(self.agent.socket),
            "seed": "8c1f",
            "known": {
                "rev": 40,
                "all": True,
                "targets": [self.target(leaf) for leaf in self.leaves],
            },
            "limits": {"cores": 1, "memory_mb": 64, "sockets": changes.pop("sockets", 256)},
            "settings": options(**changes),
        }
        self.text = text
        self.config = node_config.parse(json.dumps(text).encode())
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

    async def watch(self):
        """The next watch that the root opens."""
        stream, head = await self.agent.accept(), b""
        while b"\r\n\r\n" not in head:
            head += await stream.receive_some(4096)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        return Watch(stream, head.split(b" ")[1].decode())

    def address_of_agent(self):
        return address(self.agent.socket)

    def second_agent(self):
        """The address of another agent, `other_agent`, that listens from now on."""
        self.other_agent = trio.SocketListener(trio.socket.from_stdlib_socket(listening()))
        return address(self.other_agent.socket)

    def client(self):
        return Client(self.root.addresses[0])

    def home(self, shard, kind="read"):
        """The leaf that a part of a query goes to first, by the module's own hash."""
        b = self.root.core.balancer
        part = type(
            "P", (), {"shard": shard, "cost_us": 1, "query": type("Q", (), {"key": "7f3a"})}
        )
        return next(
            leaf for leaf in self.leaves if leaf.name == b.placement.ready_replicas(part)[0].id
        )

    async def empty(self):
        """Nothing is kept for anybody once the core's next turn is over, and each query that was
        taken had its one end.
        """
        core, b = self.root.core, self.root.core.balancer
        while core.dispatcher.events:
            await trio.lowlevel.checkpoint()
        taken, ends, left = core.unanswered()
        assert (
            taken == ends
            and not left
            and not core.parts
            and not self.root.frontend.handler.open_request_ids
        ), (
            taken,
            ends,
            left,
        )
        assert not b.queries.by_id and not b.queries.by_number and not b.sender.attempts
        assert not any(
            link.in_flight or link.queued
            for leaf in self.root.pool.leaves.values()
            for link in leaf.connections
        )


@asynccontextmanager
async def rig(listed=True, **changes):
    """A root that is up, its watch answered with what it knew."""
    r = Rig(**changes)
    async with trio.open_nursery() as r.nursery:
        r.root = NodeRoot(r.config, r.network, r.log)
        await r.nursery.start(r.root.run)
        with trio.fail_after(20):
            if listed:
                r.first = await r.watch()
                await r.first.raw(b"\n")
                while not r.root.watch.policy.has_received:
                    await trio.sleep(0.001)
            yield r
        r.nursery.cancel_scope.cancel()


def real(test):
    """Runs a test on real sockets."""

    def run(**values):
        trio.run(lambda: test(**values))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    if hasattr(test, "pytestmark"):
        run.pytestmark = test.pytestmark
    import inspect

    run.__signature__ = inspect.signature(test)
    return run


async def until(condition, what="a state"):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.001)


def long(n=60_000):
    return "x" * n


def keyed(window_s):
    """The classes of the settings, with so long a window of the keyed one, and long aims."""
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


async def usual(r, shard=0):
    """A connection to a shard's leaf that has answered once: what the module takes for usual."""
    client, home = r.client(), r.home(shard)
    client.now(request("first", "read", (shard,), timeout_ms=6000))
    link = await home.link()
    assert await link.call() == [f"first.{shard}"]
    await link.good(f"first.{shard}", after_s=0.3)
    assert (await client.answer())[0] == 200
    return link


def send(r, part, leaf, *more):
    """Sends an attempt of a part as if the module had decided it in a turn of its own."""
    core = r.root.core
    core.dispatcher.now_us = int(trio.current_time() * 1e6)
    core.actions.pending_sends.clear()
    core.actions.send(i.Send(part.id, leaf.name, 5_000_000, *more))
    core.leaves.send(leaf.name, core.actions.pending_sends.pop(leaf.name))


async def links(r, name, ready):
    """The root's connections to a leaf, once each is so."""
    leaf = r.root.pool.leaves[name]
    await until(lambda: leaf.connections and all(ready(k) for k in leaf.connections))
    return list(leaf.connections)


async def serve(link, after_s=0.0):
    """Answers each part of a connection."""
    while (found := await link.frame()) is not None:
        for wire_id in ids(found[1]) if found[0] == "m" else ():
            await link.good(wire_id, after_s=after_s)
