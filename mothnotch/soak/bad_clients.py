"""Bad clients of a root, as a process of their own.

`python -m mothnotch.soak.bad_clients KIND HOST:PORT COUNT SECONDS [PREFIX]`

COUNT connections are kept up for SECONDS. Each sends what its kind says, reads what it is sent
unless its kind says otherwise, and does the same again on a new connection once it was turned away.
"""

import contextlib
import functools
import heapq
import itertools
import json
import selectors
import socket
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

READ_BYTES = 1 << 16
SEND_BYTES = 1 << 18
SELECT_TIMEOUT_S = 0.02
# Short header fields that fit into a head of 16 KiB.
SHORT_FIELDS = 4000
LARGE_BODY_BYTES = 60_000
# Requests of a client that sends many at once, or that sends them without pause.
MANY_REQUESTS = 950
# Requests that are built at once for a client that sends without pause.
BATCH_REQUESTS = 20
SLOW_WRITE_PAUSE_S = 0.02
LONG_TIMEOUT_MS = 15_000
SHARDS = 8  # of the deployments of soaks and tests
BLANKS = b" " * 16_000
# Time after which clients leave that do not stay, though they have more to write.
MAX_STAY_S = 0.2


def head(name: str, *lines: str, class_name: str = "read", timeout_ms: int = 2500) -> bytes:
    """Return a request's head with further lines."""
    fields = [
        f"POST /api?sid={name} HTTP/1.1",
        "Host: a",
        f"X-Request-ID: {name}",
        f"X-Priority-Class: {class_name}",
        f"X-Timeout-Ms: {timeout_ms}",
        f"Idempotency-Key: {name}",
        *lines,
    ]
    return ("\r\n".join(fields) + "\r\n\r\n").encode()


@functools.lru_cache(maxsize=64)
def sound_body(text_bytes: int, shards: int = 1) -> bytes:
    """Return the body of a sound request for the first shards."""
    ranges = [{"range": shard, "portion": 1 / shards} for shard in range(shards)]
    return json.dumps({"ranges": ranges, "predicate": "c" * text_bytes}).encode()


def sound_request(
    name: str,
    text_bytes: int = 8,
    class_name: str = "read",
    timeout_ms: int = 2500,
    shards: int = 1,
) -> bytes:
    """Return a sound request for the first shards."""
    body = sound_body(text_bytes, shards)
    length = f"Content-Length: {len(body)}"
    return head(name, length, class_name=class_name, timeout_ms=timeout_ms) + body


def one_byte_at_a_time(name: str) -> Iterator[bytes]:
    """Yield a sound request of which each byte is written alone."""
    data = sound_request(name, LARGE_BODY_BYTES)
    return (data[at : at + 1] for at in range(len(data)))


def half_body(name: str) -> Iterator[bytes]:
    """Yield a request of a large body, which stops half way through it."""
    data = sound_request(name, LARGE_BODY_BYTES)
    yield data[: len(data) // 2]


def nearly_whole_body(name: str) -> Iterator[bytes]:
    """Yield a request of a large body, all but its last byte."""
    yield sound_request(name, LARGE_BODY_BYTES)[:-1]


def half_head(name: str) -> Iterator[bytes]:
    """Yield the first half of a head."""
    yield f"POST /api HTTP/1.1\r\nHost: a\r\nX-Request-ID: {name}".encode()


def many_fields(name: str) -> Iterator[bytes]:
    """Yield a head of very many short fields, whose body does not come."""
    yield head(name, *["a:"] * SHORT_FIELDS, "Content-Length: 100")


def many_fields_without_end(_name: str) -> Iterator[bytes]:
    """Yield a head of very many short fields without its end."""
    yield b"POST /api HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * SHORT_FIELDS


def many_trailers(name: str) -> Iterator[bytes]:
    """Yield a chunked request with very many short trailers."""
    yield head(name, "Transfer-Encoding: chunked") + b"0\r\n" + b"a:\r\n" * SHORT_FIELDS + b"\r\n"


def chunk_line_without_end(name: str) -> Iterator[bytes]:
    """Yield a chunked request whose first chunk line does not end."""
    yield head(name, "Transfer-Encoding: chunked") + b"1;" + BLANKS


@functools.cache
def large_requests() -> bytes:
    """Return many large requests, which are the same for all clients."""
    return b"".join(sound_request(f"l{n}", LARGE_BODY_BYTES) for n in range(MANY_REQUESTS // 2))


def many_requests(name: str) -> Iterator[bytes]:
    """Yield hundreds of sound requests at once, small ones and large ones behind them."""
    yield b"".join(sound_request(f"{name}.{n}") for n in range(MANY_REQUESTS // 2))
    yield large_requests()


def some_requests(name: str) -> Iterator[bytes]:
    """Yield some dozens of sound requests at once."""
    yield b"".join(sound_request(f"{name}.{n}") for n in range(40))


def many_small_requests(name: str) -> Iterator[bytes]:
    """Yield some megabytes of small sound requests at once."""
    yield b"".join(sound_request(f"{name}.{n}") for n in range(6 * MANY_REQUESTS))


def endless_batches(name: str, make: Callable[[str], bytes]) -> Iterator[bytes]:
    """Yield requests without end, each with a name of its own."""
    for batch in itertools.count():
        yield b"".join(make(f"{name}.{batch}.{n}") for n in range(BATCH_REQUESTS))


def sound_stream(name: str) -> Iterator[bytes]:
    """Yield small sound requests without end."""
    return endless_batches(name, sound_request)


def keyed_stream(name: str) -> Iterator[bytes]:
    """Yield small sound requests with ever new idempotency keys, without end."""
    return endless_batches(name, lambda each: sound_request(each, class_name="hold"))


def patient_stream(name: str) -> Iterator[bytes]:
    """Yield large sound requests whose timeouts are as long as they may be, without end."""
    return endless_batches(
        name, lambda each: sound_request(each, LARGE_BODY_BYTES, timeout_ms=LONG_TIMEOUT_MS)
    )


def patient_request(name: str) -> Iterator[bytes]:
    """Yield one large sound request with a long timeout, and ask to be closed after its answer."""
    yield close_after(sound_request(name, LARGE_BODY_BYTES, timeout_ms=LONG_TIMEOUT_MS))


def patient_small_request(name: str) -> Iterator[bytes]:
    """Yield one small keyed request with long names and a long timeout."""
    long_name = name.ljust(128, "n")
    yield close_after(sound_request(long_name, class_name="hold", timeout_ms=LONG_TIMEOUT_MS))


def close_after(request: bytes) -> bytes:
    """Return a request that asks to be closed after its answer."""
    return request.replace(b"Host: a", b"Host: a\r\nConnection: close", 1)


def one_request(name: str) -> Iterator[bytes]:
    """Yield one small sound request, and ask to be closed after its answer."""
    yield close_after(sound_request(name))


def many_parts(name: str) -> Iterator[bytes]:
    """Yield one sound request for all shards, and ask to be closed after its answer."""
    yield close_after(sound_request(name, shards=SHARDS))


def large_request(name: str) -> Iterator[bytes]:
    """Yield one large sound request, and ask to be closed after its answer."""
    yield close_after(sound_request(name, LARGE_BODY_BYTES))


def large_request_of_many_parts(name: str) -> Iterator[bytes]:
    """Yield one large sound request for all shards, and ask to be closed after its answer."""
    yield close_after(sound_request(name, LARGE_BODY_BYTES, shards=SHARDS))


def ready_stream(name: str) -> Iterator[bytes]:
    """Yield the shortest requests that are answered at once, without end."""
    return endless_batches(name, lambda _: b"GET /-/ready HTTP/1.1\r\nHost:a\r\n\r\n")


def long_names(name: str) -> Iterator[bytes]:
    """Yield small requests whose names are as long as they may be, without end."""

    def make(each):
        fields = head(each.ljust(128, "n"), f"Content-Length: {len(sound_body(8))}")
        return fields.replace(b"sid=", b"sid=" + b"s" * 1000) + sound_body(8)

    return endless_batches(name, make)


def unknown_class(name: str) -> Iterator[bytes]:
    """Yield requests of a class that does not exist, behind one another."""
    body = sound_body(8)
    length = f"Content-Length: {len(body)}"
    yield b"".join(head(f"{name}.{n}", length, class_name=f"c{name}.{n}") + body for n in range(50))


def unknown_path(name: str) -> Iterator[bytes]:
    """Yield requests for paths that do not exist, behind one another."""
    yield b"".join(b"GET /%b%d HTTP/1.1\r\nHost: a\r\n\r\n" % (name.encode(), n) for n in range(50))


def noise(name: str) -> Iterator[bytes]:
    """Yield bytes that are no request."""
    yield b"\x16\x03\x01" + name.encode() * 200


@dataclass(frozen=True)
class Kind:
    """What bad clients of a kind do.

    `pieces(name)` are written one after another, with `pause_s` between two; `reads`: whether they
    read; `leaves`: whether they close the connection once all is written or MAX_STAY_S has passed,
    else they stay.
    """

    pieces: Callable[[str], Iterator[bytes]]
    pause_s: float = 0.0
    reads: bool = True
    leaves: bool = False


KINDS = {
    "slow-writes": Kind(one_byte_at_a_time, pause_s=SLOW_WRITE_PAUSE_S),
    "half-body": Kind(half_body),
    "nearly-whole-body": Kind(nearly_whole_body),
    "half-head": Kind(half_head),
    "many-fields": Kind(many_fields),
    "many-fields-without-end": Kind(many_fields_without_end),
    "many-trailers": Kind(many_trailers),
    "chunk-line": Kind(chunk_line_without_end),
    "many-requests": Kind(many_requests),
    "many-requests-unread": Kind(many_requests, reads=False),
    "many-requests-and-leave": Kind(many_requests, leaves=True),
    "many-small-requests-and-leave": Kind(many_small_requests, reads=False, leaves=True),
    "some-requests-and-leave": Kind(some_requests, leaves=True),
    "one-request-and-leave": Kind(lambda name: iter([sound_request(f"{name}.0")]), leaves=True),
    "sound-stream": Kind(sound_stream),
    "sound-stream-unread": Kind(sound_stream, reads=False),
    "keyed-stream": Kind(keyed_stream),
    "patient-request": Kind(patient_request),
    "patient-small-request": Kind(patient_small_request),
    "patient-stream": Kind(patient_stream),
    "one-request": Kind(one_request),
    "many-parts": Kind(many_parts),
    "large-request": Kind(large_request),
    "large-request-of-many-parts": Kind(large_request_of_many_parts),
    "large-request-unread": Kind(large_request, reads=False),
    "ready-stream": Kind(ready_stream),
    "ready-stream-unread": Kind(ready_stream, reads=False),
    "long-names": Kind(long_names),
    "unknown-class": Kind(unknown_class),
    "unknown-path": Kind(unknown_path),
    "noise": Kind(noise),
    "silent": Kind(lambda _name: iter(())),
}


@dataclass(eq=False)
class Connection:
    """A bad client's connection. `piece`: what is left of the piece that is being written."""

    number: int
    name: str
    sock: socket.socket
    pieces: Iterator[bytes]
    piece: memoryview = field(default_factory=lambda: memoryview(b""))
    has_more: bool = True
    is_closed: bool = False


class BadClients:
    """The connections of bad clients of one kind."""

    def __init__(self, kind: Kind, address: str, count: int, prefix: str):
        """Create clients that connect once run; `prefix` begins the names of their requests."""
        host, port = address.rsplit(":", 1)
        self.address = host, int(port)
        self.kind = kind
        self.prefix = prefix
        self.selector = selectors.DefaultSelector()
        self.serials = itertools.count()
        self.turned_away = 0
        self.sent_bytes = 0
        self.left_s = {}  # name of a client that left -> when, by the monotonic clock
        self.to_start = list(range(count))
        self.leaving = []  # heap of (time of leaving, serial, connection)
        self.paused = []  # heap of (time of the next write, serial, connection)

    def run(self, until_s: float) -> None:
        """Keep the connections up until a time of the monotonic clock."""
        while time.monotonic() < until_s:
            numbers, self.to_start = self.to_start, []
            for number in numbers:
                self._start(number)
            for key, events in self.selector.select(SELECT_TIMEOUT_S):
                self._handle(key.data, events)
            self._resume_paused()
            self._leave_overdue()

    def _start(self, number):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.address)
        name = f"{self.prefix}{number}-{next(self.serials)}"
        connection = Connection(number, name, sock, self.kind.pieces(name))
        self._set_events(connection, selectors.EVENT_WRITE, register=True)
        if self.kind.leaves:
            due_s = time.monotonic() + MAX_STAY_S
            heapq.heappush(self.leaving, (due_s, next(self.serials), connection))

    def _set_events(self, connection, events, register=False):
        events |= selectors.EVENT_READ
        change = self.selector.register if register else self.selector.modify
        change(connection.sock, events, connection)

    def _resume_paused(self):
        while self.paused and self.paused[0][0] <= time.monotonic():
            connection = heapq.heappop(self.paused)[2]
            if not connection.is_closed:
                self._set_events(connection, selectors.EVENT_WRITE)

    def _handle(self, connection, events):
        try:
            if events & selectors.EVENT_WRITE:
                self._write(connection)
            if events & selectors.EVENT_READ and not connection.is_closed:
                self._read(connection)
        except BlockingIOError:
            pass
        except OSError:
            self._end(connection)

    def _read(self, connection):
        if self.kind.reads:
            if not connection.sock.recv(READ_BYTES):
                self._end(connection)
        elif connection.sock.recv(1, socket.MSG_PEEK):
            # Not read; without this the selector would report it all the time.
            if connection.has_more:
                self.selector.modify(connection.sock, selectors.EVENT_WRITE, connection)
            else:
                self.selector.unregister(connection.sock)
        else:
            self._end(connection)

    def _write(self, connection):
        if not connection.piece:
            piece = next(connection.pieces, None)
            if piece is None:
                connection.has_more = False
                if self.kind.leaves:
                    self._leave(connection)
                else:
                    self._set_events(connection, 0)
                return
            connection.piece = memoryview(piece)
        sent_bytes = connection.sock.send(connection.piece[:SEND_BYTES])
        self.sent_bytes += sent_bytes
        connection.piece = connection.piece[sent_bytes:]
        if not connection.piece and self.kind.pause_s:
            self._set_events(connection, 0)
            due_s = time.monotonic() + self.kind.pause_s
            heapq.heappush(self.paused, (due_s, next(self.serials), connection))

    def _leave(self, connection):
        self._end(connection)
        self.left_s[connection.name] = time.monotonic()

    def _leave_overdue(self):
        while self.leaving and self.leaving[0][0] <= time.monotonic():
            connection = heapq.heappop(self.leaving)[2]
            if not connection.is_closed:
                self._leave(connection)

    def _end(self, connection):
        connection.is_closed = True
        self.turned_away += 1
        with contextlib.suppress(KeyError):  # a client that does not read is not registered
            self.selector.unregister(connection.sock)
        connection.sock.close()
        self.to_start.append(connection.number)


def main() -> None:
    """Run, and print how often clients were turned away, how much they sent, and who left when."""
    kind, address, count, seconds = sys.argv[1:5]
    prefix = sys.argv[5] if len(sys.argv) > 5 else f"{kind}-"
    clients = BadClients(KINDS[kind], address, int(count), prefix)
    clients.run(time.monotonic() + float(seconds))
    print(
        json.dumps(
            {
                "turned_away": clients.turned_away,
                "sent_bytes": clients.sent_bytes,
                "left_s": clients.left_s,
            }
        )
    )


if __name__ == "__main__":
    main()
