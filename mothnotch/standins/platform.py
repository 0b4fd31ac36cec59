"""Stand-ins for the platform that a real root runs on: leaves that speak the framed protocol,
discovery with a watch, and clients.

They implement the platform's protocol independently and share no codec with the root. What goes
over the streams is kept as the record that the audit checks against its six rules.
"""

import json
import struct
import zlib
from dataclasses import dataclass, field

import trio

from mothnotch.audit.rules import DayRecord, QueryRecord
from mothnotch.net import close_now, serve
from mothnotch.standins.leaf import LeafEvent

MALFORMED_REPLIES = (
    "noise",
    "endless",
    "short",
    "huge",
    "letter",
    "end",
    "id",
    "number",
    # The end of a good answer is not where its length states it, or cannot be told from that.
    "length-4",
    "length-8",
    "trailing",
)
REPLIES_WITH_EXTRA_DATA = ("copy", "report")
# Good answers whose length is wrong in a way that shows only with later data.
INCOMPLETE_REPLIES = ("length-1", "length-2", "length-3", "length+1", "length+8")


def value_of(text, shard):
    """Return the value that every leaf answers for a part."""
    return str(zlib.crc32(f"{text}|{shard}".encode()))


@dataclass
class World:
    """The state that all stand-ins share: the record and the idempotency keys already applied."""

    record: DayRecord = field(default_factory=DayRecord)
    keys: dict = field(default_factory=dict)  # (key, shard) -> (time, request id)
    window_s: float = 1.2

    def record_event(self, leaf, what, request_id="", shard=None):
        self.record.leaf_events.append(
            LeafEvent(
                trio.current_time(),
                leaf,
                what,
                values=(f"id:{request_id}",) if request_id else (),
                shard=shard,
            )
        )


class Leaf:
    """One leaf.

    `reply_kind(request_id, shard)` selects the reply to a part: "good", "bad", "later", "silent",
    one of MALFORMED_REPLIES, INCOMPLETE_REPLIES or REPLIES_WITH_EXTRA_DATA. `work_s` is the service
    time of a part.
    """

    def __init__(self, world, network, name, cell, cells, reach, work_s=0.05, listen="leaf:0"):
        self.world, self.network, self.name, self.cell = world, network, name, cell
        self.cells, self.reach, self.work_s, self.listen = cells, reach, work_s, listen
        self.reply_kind, self.streams, self.connections, self.cancelled_parts = (
            lambda request_id, shard: "good",
            set(),
            0,
            [],
        )
        self.address = self.nursery = None
        self.deadlines = []  # the deadline in ms that each part carried

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await self.network.listen(self.listen)
        self.address = self.network.bound_address(listeners[0])
        async with trio.open_nursery() as self.nursery:
            task_status.started(self)
            await serve(listeners, self.serve_root, self.nursery)

    def close_connections(self):
        """Close all connections, as the end of the process does."""
        for stream in list(self.streams):
            close_now(stream)

    async def serve_root(self, stream):
        """Handle the frames of one connection of a root."""
        self.connections += 1
        self.streams.add(stream)
        buffer, waiting = b"", {}
        try:
            while data := await stream.receive_some(1 << 16):
                buffer += data
                while len(buffer) >= 4 and len(buffer) >= 4 + (
                    length := struct.unpack("<I", buffer[:4])[0]
                ):
                    letter, body, buffer = buffer[4:5], buffer[5 : 4 + length], buffer[4 + length :]
                    if letter == b"m":
                        self.receive_call(stream, body, waiting)
                    elif letter == b"n":
                        self.cancelled_parts.append(body.decode())
                        if body.decode() in waiting:
                            waiting.pop(body.decode()).cancel()
                    elif letter == b"p":
                        self.network.send_now(stream, struct.pack("<I", 11) + b"pinflight=3")
                    else:
                        raise AssertionError(f"a root sent the letter {letter!r}")
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        self.streams.discard(stream)
        close_now(stream)

    def receive_call(self, stream, rest, waiting):
        """Start the parts of a call, one for each header line and text."""
        while rest:
            line, _, rest = rest.partition(b"\n")
            wire_id, shard, options, length = line.decode().split(" ")
            text, rest = rest[: int(length)].decode(), rest[int(length) :]
            assert len(text.encode()) == int(length), "the call ends within a text"
            request_id, shard, options = (
                wire_id.rsplit(".", 1)[0],
                int(shard),
                dict(x.split("=") for x in options.split(",")),
            )
            assert (shard - self.cell) % self.cells == 0 or any(
                (shard + j) % self.cells == self.cell for j in range(self.reach)
            ), "the leaf does not hold this shard"
            self.deadlines.append(int(options["d"]))
            self.world.record_event(self.name, "arrived", request_id, shard)
            scope = waiting[wire_id] = trio.CancelScope()
            self.nursery.start_soon(
                self.run_part,
                scope,
                stream,
                wire_id,
                request_id,
                shard,
                text,
                options.get("k"),
                waiting,
            )

    async def run_part(self, scope, stream, wire_id, request_id, shard, text, key, waiting):
        """Answer a part after its service time, unless it is cancelled."""
        with scope:  # already cancelled if the cancellation arrived in one read with the call
            await trio.sleep(self.work_s)
            waiting.pop(wire_id, None)
            reply_kind = self.reply_kind(request_id, shard)
            if reply_kind == "silent":
                return
            if reply_kind not in ("bad", "later") and key is not None:
                previous = self.world.keys.get((key, shard))
                if previous is None or trio.current_time() - previous[0] > self.world.window_s:
                    self.world.keys[key, shard] = trio.current_time(), request_id
                    effects = self.world.record.effect_counts
                    effects[f"id:{request_id}"] = max(
                        1, effects.get(f"id:{request_id}", 0) + (previous is not None)
                    )
                self.world.record_event(self.name, "commit", request_id, shard)
            try:  # sends without waiting, so that frames of concurrent parts do not mix
                self.network.send_now(
                    stream, self.answer(reply_kind, wire_id, value_of(text, shard))
                )
            except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
                pass

    def answer(self, reply_kind, wire_id, value):
        """Return the bytes of a reply."""

        def frame(line, letter=b"q"):
            return struct.pack("<I", 1 + len(line)) + letter + line

        end = reply_kind if reply_kind in ("bad", "later") else "good"
        good = frame(
            f"{wire_id} {end} 184 inflight=7,util=0.61\n{value if end == 'good' else ''}".encode()
        )
        if reply_kind.startswith("length"):
            return struct.pack("<I", len(good) - 4 + int(reply_kind[6:])) + good[4:]
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
    """An agent that serves the endpoint list.

    `publish` sends changes to all watches. While `silent` is set, nothing is sent, as if the agent
    were down.
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
            await serve(listeners, self.serve_root, nursery)

    def publish(self, full_list=False, *targets):
        """Update targets and send them, or the full list, to all watches."""
        self.rev += 1
        self.targets |= {t["uid"]: t for t in targets}
        sent = list(self.targets.values()) if full_list else targets
        self.publish_line(
            json.dumps({"rev": self.rev, "all": full_list, "targets": sent, "new key": 1})
        )

    def publish_line(self, text):
        """Send a line to all watches."""
        self.lines.append(text)
        self.changed.set()
        self.changed = trio.Event()

    def close_connections(self):
        for stream in list(self.streams):
            close_now(stream)

    async def serve_root(self, stream):
        """Answer one request with the list and then its changes, or empty lines every 2 s."""
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
            position = len(self.lines)
            first = json.dumps(
                {"rev": self.rev, "all": True, "targets": list(self.targets.values())}
            )
            await self.send_chunk(stream, first)
            while True:
                if position == len(self.lines):
                    with trio.move_on_after(2):
                        await self.changed.wait()
                if self.silent:
                    await trio.sleep_forever()
                # Lines may be added while these are sent.
                unsent = self.lines[position:]
                position += len(unsent)
                for text in unsent or [""]:
                    await self.send_chunk(stream, text)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self.streams.discard(stream)
            close_now(stream)

    async def send_chunk(self, stream, text):
        data = text.encode() + b"\n"
        await stream.send_all(f"{len(data):x}\r\n".encode() + data + b"\r\n")


class Client:
    """A client connection that records its requests and answers for the audit."""

    def __init__(self, world, network, address):
        self.world, self.network, self.address, self.stream, self.buffer = (
            world,
            network,
            address,
            None,
            b"",
        )

    async def connect(self):
        self.stream = await self.network.open(self.address)
        return self

    async def read_answer(self):
        """Return the next answer as (status, headers, body), or None if the root closed."""
        while b"\r\n\r\n" not in self.buffer:
            if not await self.receive_more():
                return None
        head, _, self.buffer = self.buffer.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        headers = {
            name.lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:])
        }
        while len(self.buffer) < int(headers["content-length"]):
            if not await self.receive_more():
                return None
        length = int(headers["content-length"])
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return int(lines[0].split(" ")[1]), headers, body

    async def receive_more(self):
        """Read into the buffer; return False at the end of the connection."""
        try:
            data = await self.stream.receive_some(1 << 16)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return False
        self.buffer += data
        return bool(data)

    async def send(self, data):
        await self.stream.send_all(data)

    async def ask(self, request_id, kind, shards, text="t", timeout_ms=1000, key=None, root=0):
        """Send a request, record it, and return the answer as `read_answer` does."""
        query = QueryRecord(
            f"id:{request_id}",
            root,
            kind,
            key is not None,
            trio.current_time(),
            timeout_ms / 1000,
            tuple(shards),
        )
        query.expected = {s: (int(value_of(text, s)),) for s in shards}
        self.world.record.queries.append(query)
        await self.send(request(request_id, kind, shards, text, timeout_ms, key))
        answer = await self.read_answer()
        query.ended_at = trio.current_time()
        if answer is None:
            query.outcome = "lost"
            return None
        query.reply_count, query.surplus_bytes = 1, len(self.buffer)
        query.outcome = {200: "answered", 503: "refused", 429: "refused"}.get(answer[0], "failed")
        if answer[0] == 200:
            body = json.loads(answer[2])
            query.value = (sum(int(a["blob"]) for a in body["answers"]),)
            answered = {a["range"] for a in body["answers"]}
            query.missing = () if body["total"] else tuple(s for s in shards if s not in answered)
        return answer


def request(request_id, kind, shards, text="t", timeout_ms=1000, key=None, headers=(), body=None):
    """Return the bytes of an HTTP request."""
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
        f"X-Request-ID: {request_id}",
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
