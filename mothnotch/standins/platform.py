"""Stand-ins for the platform that a real root runs on: leaves that speak frames, discovery with a
watch, clients.

Written from the platform's protocol on their own account: they share no codec with the root. What
went over the streams is kept as the auditor of the six rules takes it.
"""

import json
import struct
import zlib
from dataclasses import dataclass, field

import trio

from mothnotch.audit.rules import DayRecord, QueryRecord
from mothnotch.net import close_now, serve
from mothnotch.standins.leaf import LeafEvent

MALFORMED_REPLIES = ("noise", "endless", "short", "huge", "letter", "end", "id", "number")
REPLIES_WITH_EXTRA_DATA = ("copy", "trailing", "report")


def value_of(text, shard):
    """What any leaf answers for a part."""
    return str(zlib.crc32(f"{text}|{shard}".encode()))


@dataclass
class World:
    """What all stand-ins share: the record, and the keys whose effect was taken in."""

    record: DayRecord = field(default_factory=DayRecord)
    keys: dict = field(default_factory=dict)  # (key, shard) -> (time, id)
    window_s: float = 1.2

    def record_event(self, leaf, what, rid="", shard=None):
        self.record.leaf_events.append(
            LeafEvent(
                trio.current_time(), leaf, what, values=(f"id:{rid}",) if rid else (), shard=shard
            )
        )


class Leaf:
    """One leaf. `reply_kind(rid, shard)` says how a part is answered: "good", "bad", "later",
    "silent", one of MALFORMED_REPLIES or of REPLIES_WITH_EXTRA_DATA; `work_s` is the time a part
    takes.
    """

    def __init__(self, world, network, name, cell, cells, reach, work_s=0.05, listen="leaf:0"):
        self.world, self.network, self.name, self.cell = world, network, name, cell
        self.cells, self.reach, self.work_s, self.listen = cells, reach, work_s, listen
        self.reply_kind, self.streams, self.connections, self.cancelled_parts = (
            lambda rid, shard: "good",
            set(),
            0,
            [],
        )
        self.address = self.nursery = None
        self.deadlines = []  # the milliseconds each part was told

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await self.network.listen(self.listen)
        self.address = self.network.bound_address(listeners[0])
        async with trio.open_nursery() as self.nursery:
            task_status.started(self)
            await serve(listeners, self.connection, self.nursery)

    def close_connections(self):
        """Ends its connections, as a process that dies does."""
        for stream in list(self.streams):
            close_now(stream)

    async def connection(self, stream):
        self.connections += 1
        self.streams.add(stream)
        held, waiting = b"", {}
        try:
            while data := await stream.receive_some(1 << 16):
                held += data
                while len(held) >= 4 and len(held) >= 4 + (n := struct.unpack("<I", held[:4])[0]):
                    letter, rest, held = held[4:5], held[5 : 4 + n], held[4 + n :]
                    if letter == b"m":
                        self.call(stream, rest, waiting)
                    elif letter == b"n":
                        self.cancelled_parts.append(rest.decode())
                        if rest.decode() in waiting:
                            waiting.pop(rest.decode()).cancel()
                    elif letter == b"p":
                        self.network.send_now(stream, struct.pack("<I", 11) + b"pinflight=3")
                    else:
                        raise AssertionError(f"a root sent the letter {letter!r}")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.streams.discard(stream)
        close_now(stream)

    def call(self, stream, rest, waiting):
        while rest:
            line, _, rest = rest.partition(b"\n")
            wire_id, shard, told, length = line.decode().split(" ")
            text, rest = rest[: int(length)].decode(), rest[int(length) :]
            assert len(text.encode()) == int(length), "a text cut short"
            rid, shard, told = (
                wire_id.rsplit(".", 1)[0],
                int(shard),
                dict(x.split("=") for x in told.split(",")),
            )
            assert (shard - self.cell) % self.cells == 0 or any(
                (shard + j) % self.cells == self.cell for j in range(self.reach)
            ), "not a holder"
            self.deadlines.append(int(told["d"]))
            self.world.record_event(self.name, "arrived", rid, shard)
            scope = waiting[wire_id] = trio.CancelScope()
            self.nursery.start_soon(
                self.part, scope, stream, wire_id, rid, shard, text, told.get("k"), waiting
            )

    async def part(self, scope, stream, wire_id, rid, shard, text, key, waiting):
        with scope:  # given up in one read with its call, it is cancelled already
            await trio.sleep(self.work_s)
            waiting.pop(wire_id, None)
            reply_kind = self.reply_kind(rid, shard)
            if reply_kind == "silent":
                return
            if reply_kind not in ("bad", "later") and key is not None:
                before = self.world.keys.get((key, shard))
                if before is None or trio.current_time() - before[0] > self.world.window_s:
                    self.world.keys[key, shard] = trio.current_time(), rid
                    effects = self.world.record.effect_counts
                    effects[f"id:{rid}"] = max(
                        1, effects.get(f"id:{rid}", 0) + (before is not None)
                    )
                self.world.record_event(self.name, "commit", rid, shard)
            try:  # parts answer side by side: whole frames, without waiting
                self.network.send_now(
                    stream, self.answer(reply_kind, wire_id, value_of(text, shard))
                )
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass

    def answer(self, reply_kind, wire_id, value):
        def frame(line, letter=b"q"):
            return struct.pack("<I", 1 + len(line)) + letter + line

        end = reply_kind if reply_kind in ("bad", "later") else "good"
        good = frame(
            f"{wire_id} {end} 184 inflight=7,util=0.61\n{value if end == 'good' else ''}".encode()
        )
        return {
            "noise": b"\x9d\x01\x00\x00\x07" * 40,
            "endless": frame(b"x" * 4000),
            "short": frame(f"{wire_id} good\n{value}".encode()),
            "huge": struct.pack("<I", 3_000_000_000)
            + b"q"
            + f"{wire_id} good 1 -\n".encode()
            + b"x" * 60_000,
            "letter": frame(f"{wire_id} good 1 -\n{value}".encode(), b"z"),
            "end": frame(f"{wire_id} fine 1 -\n{value}".encode()),
            "id": frame(f"nobody.7 good 1 -\n{value}".encode()),
            "number": frame(f"{wire_id} good x -\n{value}".encode()),
            "copy": good + good,
            "trailing": good + b"\xff" * 30,
            "report": frame(f"{wire_id} good 1 util=,=3\n{value}".encode()),
        }.get(reply_kind, good)


class Discovery:
    """An agent that serves the list; `tell` gives changes to all watches, `silent` keeps quiet as
    while it is down.
    """

    def __init__(self, network, targets, listen="discovery:0"):
        self.network, self.targets, self.rev, self.silent = (
            network,
            {t["uid"]: t for t in targets},
            40,
            False,
        )
        self.lines, self.changed, self.requested_paths, self.streams, self.address = (
            [],
            trio.Event(),
            [],
            set(),
            None,
        )
        self.listen = listen

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await self.network.listen(self.listen)
        self.address = self.network.bound_address(listeners[0])
        async with trio.open_nursery() as nursery:
            task_status.started(self)
            await serve(listeners, self.connection, nursery)

    def publish(self, whole=False, *targets):
        self.rev += 1
        self.targets |= {t["uid"]: t for t in targets}
        said = list(self.targets.values()) if whole else targets
        self.publish_line(
            json.dumps({"rev": self.rev, "all": whole, "targets": said, "new key": 1})
        )

    def publish_line(self, text):
        self.lines.append(text)
        self.changed.set()
        self.changed = trio.Event()

    def close_connections(self):
        for stream in list(self.streams):
            close_now(stream)

    async def connection(self, stream):
        self.streams.add(stream)
        try:
            head = b""
            while b"\r\n\r\n" not in head:
                data = await stream.receive_some(4096)
                if not data:
                    return
                head += data
            self.requested_paths.append(head.split(b" ")[1].decode())
            if self.silent:
                await trio.sleep_forever()
            await stream.send_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            at = len(self.lines)
            first = json.dumps(
                {"rev": self.rev, "all": True, "targets": list(self.targets.values())}
            )
            await self.chunk(stream, first)
            while True:
                with trio.move_on_after(2):
                    await self.changed.wait()
                if self.silent:
                    await trio.sleep_forever()
                for text in self.lines[at:] or [""]:
                    await self.chunk(stream, text)
                at = len(self.lines)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.streams.discard(stream)
            close_now(stream)

    async def chunk(self, stream, text):
        data = text.encode() + b"\n"
        await stream.send_all(f"{len(data):x}\r\n".encode() + data + b"\r\n")


class Client:
    """A client's connection: asks, and keeps what it got for the auditor."""

    def __init__(self, world, network, address):
        self.world, self.network, self.address, self.stream, self.held = (
            world,
            network,
            address,
            None,
            b"",
        )

    async def connect(self):
        self.stream = await self.network.open(self.address)
        return self

    async def answer(self):
        """(status, headers, body) of the next answer; None where the root closed instead."""
        while b"\r\n\r\n" not in self.held:
            if not await self.more():
                return None
        head, _, self.held = self.held.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {n.lower(): v.strip() for n, _, v in (line.partition(":") for line in lines[1:])}
        while len(self.held) < int(headers["content-length"]):
            if not await self.more():
                return None
        n = int(headers["content-length"])
        body, self.held = self.held[:n], self.held[n:]
        return int(lines[0].split(" ")[1]), headers, body

    async def more(self):
        try:
            data = await self.stream.receive_some(1 << 16)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self.held += data
        return bool(data)

    async def send(self, data):
        await self.stream.send_all(data)

    async def ask(self, rid, kind, shards, text="t", timeout_ms=1000, key=None, root=0):
        """Asks once and records it; gives (status, headers, body) or None."""
        ask = QueryRecord(
            f"id:{rid}",
            root,
            kind,
            key is not None,
            trio.current_time(),
            timeout_ms / 1000,
            tuple(shards),
        )
        ask.expected = {s: (int(value_of(text, s)),) for s in shards}
        self.world.record.queries.append(ask)
        await self.send(request(rid, kind, shards, text, timeout_ms, key))
        got = await self.answer()
        ask.ended_at = trio.current_time()
        if got is None:
            ask.outcome = "lost"
            return None
        ask.reply_count, ask.surplus_bytes = 1, len(self.held)
        ask.outcome = {200: "answered", 503: "refused", 429: "refused"}.get(got[0], "failed")
        if got[0] == 200:
            body = json.loads(got[2])
            ask.value = (sum(int(a["blob"]) for a in body["answers"]),)
            there = {a["range"] for a in body["answers"]}
            ask.missing = () if body["total"] else tuple(s for s in shards if s not in there)
        return got


def request(rid, kind, shards, text="t", timeout_ms=1000, key=None, headers=(), body=None):
    """The bytes of a request."""
    if body is None:
        body = json.dumps(
            {
                "ranges": [
                    {"range": s, "portion": 1 / len(shards), "price": 50000.0} for s in shards
                ],
                "predicate": text,
            }
        ).encode()
    lines = [
        "POST /api?sid=7f3a HTTP/1.1",
        "Host: api.internal",
        f"X-Request-ID: {rid}",
        f"X-Priority-Class: {kind}",
        "X-Tenant-Id: t",
        f"X-Timeout-Ms: {timeout_ms}",
        *headers,
    ]
    if key is not None:
        lines.append(f"Idempotency-Key: {key}")
    if not any(
        line.lower().startswith(("content-length", "transfer-encoding")) for line in headers
    ):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body
