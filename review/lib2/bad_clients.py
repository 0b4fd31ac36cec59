"""Bad clients, as a process of their own: `bad_clients.py KIND HOST:PORT COUNT SECONDS`.

COUNT connections are kept up for SECONDS. Each sends what its kind says at full speed, reads what
it is sent and, once the root has turned it away, does the same again on a new connection.

chunk-line      a chunked body whose first chunk's line is blanks without end
half-request    a request that stops in its head, and stays
many-requests   several hundred sound requests at once
long-head       a head of nearly 16 KiB in short lines, with no request id
"""

import functools
import json
import selectors
import socket
import sys
import time

# Requests that a client sends at once: those of its own, and those behind them.
FIRST_REQUESTS = 350
MANY_REQUESTS = 600
LONG_TEXT = "c41e77d0" * 7500
READ_BYTES = 1 << 16
SEND_BYTES = 1 << 20


def chunk_line(name):
    """Return a request whose chunk line does not end within 16 KB."""
    head = (
        f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: chunk{name}\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    )
    return (head.encode() + b"1;" + b" " * 16_000,)


def half_request(name):
    """Return the first half of a request's head."""
    return (f"POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: half{name}".encode(),)


def long_head(name):
    """Return a complete head of nearly 16 KiB, which names no request."""
    return (b"POST /api HTTP/1.1\r\nHost: api.internal\r\n" + b"a:\r\n" * 4080 + b"\r\n",)


def sound_request(request_id, text):
    """Return a request for one shard."""
    ranges = [{"range": 3, "portion": 1}]
    body = json.dumps({"ranges": ranges, "predicate": text}).encode()
    head = (
        f"POST /api?sid=7f3a9c21e0b4d655 HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Request-ID: {request_id}\r\nX-Priority-Class: order-lookup\r\n"
        f"X-Timeout-Ms: 2500\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def many_requests(name):
    """Return several hundred requests; those behind the first are the same for all clients."""
    first = b"".join(
        sound_request(f"many{name}-{serial}", "c41e77d0") for serial in range(FIRST_REQUESTS)
    )
    return first, later_requests()


@functools.cache
def later_requests():
    """Return the requests behind each client's first."""
    return b"".join(sound_request(f"later-{serial}", LONG_TEXT) for serial in range(MANY_REQUESTS))


@functools.cache
def small_chunks_body():
    """Return a sound body of nearly 64 KiB in chunks of one byte."""
    body = json.dumps({"ranges": [{"range": 3, "portion": 1}], "predicate": LONG_TEXT}).encode()
    chunks = (b"1\r\n" + body[start : start + 1] + b"\r\n" for start in range(len(body)))
    return b"".join(chunks) + b"0\r\n\r\n"


def small_chunks(name):
    """Return a sound request whose body comes in chunks of one byte."""
    head = (
        f"POST /api?sid={name} HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Request-ID: small{name}\r\nX-Priority-Class: stock-search\r\n"
        "X-Timeout-Ms: 3000\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    return head.encode(), small_chunks_body()


KINDS = {
    "chunk-line": chunk_line,
    "half-request": half_request,
    "many-requests": many_requests,
    "long-head": long_head,
    "small-chunks": small_chunks,
}


class BadClients:
    """The connections of bad clients of one kind."""

    def __init__(self, kind, address, count):
        """Create clients that connect once run."""
        host, port = address.split(":")
        self.address = host, int(port)
        self.payload = KINDS[kind]
        self.selector = selectors.DefaultSelector()
        self.turned_away = 0
        self.to_start = list(range(count))

    def run(self, until_s):
        """Keep the connections up until a time of the monotonic clock."""
        while time.monotonic() < until_s:
            numbers, self.to_start = self.to_start, []
            for number in numbers:
                self._start(number)
            for key, events in self.selector.select(0.05):
                self._handle(key, events)

    def _start(self, number):
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(self.address)
        payload = self.payload(f"{number}-{self.turned_away}")  # a name that is used once
        state = [number, [memoryview(piece) for piece in payload]]
        self.selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, state)

    def _handle(self, key, events):
        sock, state = key.fileobj, key.data
        try:
            if events & selectors.EVENT_READ and not sock.recv(READ_BYTES):
                raise ConnectionError("closed")
            if events & selectors.EVENT_WRITE:
                pieces = state[1]
                pieces[0] = pieces[0][sock.send(pieces[0][:SEND_BYTES]) :]
                if not pieces[0]:
                    del pieces[0]
                if not pieces:
                    self.selector.modify(sock, selectors.EVENT_READ, state)
        except BlockingIOError:
            pass
        except OSError:
            self.turned_away += 1
            self.selector.unregister(sock)
            sock.close()
            self.to_start.append(state[0])


def main():
    """Run, and print how often clients were turned away."""
    kind, address, count, seconds = sys.argv[1:]
    clients = BadClients(kind, address, int(count))
    clients.run(time.monotonic() + float(seconds))
    print(clients.turned_away)


if __name__ == "__main__":
    main()
