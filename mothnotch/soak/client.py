"""A process of simulated clients of one root. They behave in different ways, and each request and
its outcome is recorded.

Some send many requests on one connection, with pauses or without; others pipeline, write slowly,
disconnect before the answer, open a connection per request, leave a connection idle before they use
it again, stop in the middle of a request, or send malformed data.
"""

import functools
import itertools
import json
import random
import sys

import trio

from mothnotch.soak.leaf import reset_connection
from mothnotch.soak.records import EventLog, now
from mothnotch.soak.settings import SHARDS, TENANT, expected_value

CLASSES = ("read", "read", "read", "hold", "book")
MALFORMED_REQUESTS = (
    b"\x16\x03\x01\x02\x00\x01\x00",
    b"GET / HTTP/1.1\r\nHost: a\r\n",
    b"POST /api HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
    b"POST /api HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n" + b"x" * 2000,
    b"POST /api HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
)
IDLE_RECONNECT_DELAY_S = (2.0, 4.0)  # range of the delay after an idle connection was closed
PATIENT_TIMEOUT_S = 6.0  # timeout of requests that outlast the shutdown of a root
PADDING_BYTES = 63_000  # of a large body; a body has 64 KiB at most
CHUNKED_PAUSE_S = 0.05  # pause after each answer to such a request
ANSWER_GRACE_S = 1.2  # after the request's timeout, an answer is still awaited for this long


def encode_chunks(data, chunk_bytes):
    """Return the data in chunks of one size, without the last chunk."""
    chunks = [data[at : at + chunk_bytes] for at in range(0, len(data), chunk_bytes)]
    return b"".join(b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks)


@functools.cache
def encode_padding(chunk_bytes):
    """Return the white space of a large body in chunks; encoding it takes long."""
    return encode_chunks(b" " * PADDING_BYTES, chunk_bytes)


class Request:
    """A request of a client and its encoding."""

    def __init__(self, rid, class_name, shards, timeout_s):
        self.rid, self.class_name, self.shards, self.timeout_s = rid, class_name, shards, timeout_s

    @property
    def data(self):
        body = self._body()
        return self._head(f"Content-Length: {len(body)}") + body

    def chunked_data(self, chunk_bytes):
        """Return the request with a large body, by white space, in chunks of one size."""
        body = encode_chunks(self._body(), chunk_bytes) + encode_padding(chunk_bytes)
        return self._head("Transfer-Encoding: chunked") + body + b"0\r\n\r\n"

    def _body(self):
        return json.dumps(
            {
                "ranges": [
                    {"range": s, "portion": 1 / len(self.shards), "price": 20000.0}
                    for s in self.shards
                ],
                "predicate": f"q{self.rid}",
            }
        ).encode()

    def _head(self, framing):
        header_lines = [
            "POST /api?sid=%s HTTP/1.1" % self.rid[-2:],
            "Host: a",
            f"X-Request-ID: {self.rid}",
            f"X-Priority-Class: {self.class_name}",
            f"X-Tenant-Id: {TENANT}",
            f"X-Timeout-Ms: {int(self.timeout_s * 1000)}",
            framing,
        ]
        if self.class_name == "hold":
            header_lines.append(f"Idempotency-Key: k{self.rid}")
        return "\r\n".join([*header_lines, "", ""]).encode()


class Connection:
    """A connection from a client to the root."""

    def __init__(self, stream, number, connect_started_s):
        """Wrap an open stream.

        `connect_started_s` is the time before the connect call. From it, the checks derive which
        root process accepted the connection.
        """
        self.stream, self.buffer, self.requests_sent = stream, b"", 0
        self.number, self.connect_started_s = number, connect_started_s

    async def read_answer(self):
        """Return (status, headers, body), or "closed", "cut" or "reset" if the connection ended."""
        try:
            while b"\r\n\r\n" not in self.buffer:
                data = await self.stream.receive_some(1 << 16)
                if not data:
                    return "cut" if self.buffer else "closed"
                self.buffer += data
            head, _, body = self.buffer.partition(b"\r\n\r\n")
            headers = dict(line.lower().split(": ", 1) for line in head.decode().split("\r\n")[1:])
            while len(body) < int(headers["content-length"]):
                data = await self.stream.receive_some(1 << 16)
                if not data:
                    return "cut"
                body += data
            n = int(headers["content-length"])
            self.buffer = body[n:]
            return int(head.split()[1]), headers, body[:n]
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return "reset"


class ClientsProcess:
    """The process that runs the clients of one root."""

    def __init__(self, options):
        self.root, self.port, self.end_time = options["root"], options["port"], options["until"]
        self.event_log, self.random = (
            EventLog(options["folder"], options["name"]),
            random.Random(options["seed"]),
        )
        self.name, self.deadline_s, self.rate = (
            options["name"],
            options["deadline_s"],
            options["rate"],
        )
        self.request_numbers, self.connection_numbers = itertools.count(), itertools.count()
        self.nursery, self.idle = None, options["idle"]
        self.chunked_load = options["chunked_load"]
        self.insisting_clients = options["insisting"]

    async def run(self):
        async with trio.open_nursery() as self.nursery:
            behaviours = (
                [self.steady] * 6
                + [self.once] * 3
                + [self.pipelining] * 2
                + [self.insisting] * 2
                + [
                    self.slow,
                    self.patient,
                    self.patient,
                    self.leaving,
                    self.leaving,
                    self.resting,
                    self.send_partial_request,
                    self.send_malformed_request,
                ]
            )
            behaviours += [self.idle_until_closed] * self.idle
            behaviours += [self.insisting] * self.insisting_clients
            for behaviour in behaviours:
                self.nursery.start_soon(self.repeat, behaviour)
            if self.chunked_load is not None:
                for _ in range(self.chunked_load["clients"]):
                    self.nursery.start_soon(self.send_in_chunks)

    async def repeat(self, behaviour):
        while now() < self.end_time:
            try:
                await behaviour()
            except OSError:
                await trio.sleep(0.1)  # nothing listens: the root is being restarted
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                pass
            await trio.sleep(self.random.expovariate(self.rate))

    # ---- steps that the behaviours share ----

    def request(self):
        shards = sorted(self.random.sample(range(SHARDS), self.random.choice((1, 1, 2, 4))))
        # A few timeouts are far shorter than the class's deadline.
        timeout_s = self.deadline_s * self.random.choice((1, 1, 1, 0.6, 0.3, 0.05))
        return Request(
            f"r{self.root}.{self.name}.{next(self.request_numbers)}",
            self.random.choice(CLASSES),
            shards,
            timeout_s,
        )

    async def connect(self):
        connect_started_s = now()
        stream = await trio.open_tcp_stream("127.0.0.1", self.port)
        return Connection(stream, next(self.connection_numbers), connect_started_s)

    def record_request(self, request, connection, behaviour, crossing=False):
        connection.requests_sent += 1
        self.event_log.write(
            "request",
            rid=request.rid,
            root=self.root,
            cls=request.class_name,
            shards=request.shards,
            timeout_s=request.timeout_s,
            of=behaviour,
            first=connection.requests_sent == 1,
            crossing=crossing,
            connection=f"{self.name}.{connection.number}",
            connected=connection.connect_started_s,
            size=len(request.data),
        )

    async def receive_answer(self, request, connection):
        """Receive and record an answer; return whether the connection can be reused."""
        return self.record_result(request, await self.await_result(request, connection))

    async def await_result(self, request, connection):
        """Return what the client gets: an answer, or how the wait for it ended."""
        with trio.move_on_after(request.timeout_s + ANSWER_GRACE_S) as scope:
            result = await connection.read_answer()
        return "nothing" if scope.cancelled_caught else result

    def record_result(self, request, result):
        """Record the result of a request; return whether the connection can be reused."""
        if isinstance(result, str):
            self.event_log.write("outcome", rid=request.rid, how=result)
            return False
        status, headers, body = result
        fields = {}
        if status == 200:
            answer = json.loads(body)
            fields = {
                "total": answer["total"],
                "in": [a["range"] for a in answer["answers"]],
                "right": all(
                    a["blob"] == expected_value(f"q{request.rid}", a["range"])
                    for a in answer["answers"]
                ),
            }
        self.event_log.write("outcome", rid=request.rid, how=status, **fields)
        return headers.get("connection") != "close"

    async def exchange(self, connection, behaviour="steady"):
        request = self.request()
        await connection.stream.send_all(request.data)
        self.record_request(request, connection, behaviour)
        return await self.receive_answer(request, connection)

    # ---- behaviours ----

    async def steady(self):
        connection = await self.connect()
        for _ in range(self.random.randint(2, 30)):
            if now() >= self.end_time or not await self.exchange(connection):
                break
            await trio.sleep(self.random.expovariate(self.rate))
        await trio.aclose_forcefully(connection.stream)

    async def insisting(self):
        """Send requests with short pauses until the connection ends, even as the root stops."""
        connection = await self.connect()
        while now() < self.end_time and await self.exchange(connection, "insisting"):
            await trio.sleep(self.random.uniform(0.02, 0.08))
        await trio.aclose_forcefully(connection.stream)

    async def patient(self):
        """Send requests that may take longer than a root has for its shutdown."""
        connection = await self.connect()
        for _ in range(3):
            request = self.request()
            request.timeout_s = PATIENT_TIMEOUT_S
            await connection.stream.send_all(request.data)
            self.record_request(request, connection, "patient")
            if not await self.receive_answer(request, connection):
                break
        await trio.aclose_forcefully(connection.stream)

    async def idle_until_closed(self):
        """Send nothing and keep the connection open until the root closes it."""
        connection = await self.connect()
        with trio.move_on_after(max(0, self.end_time - now())):
            await connection.read_answer()
        await trio.aclose_forcefully(connection.stream)
        with trio.move_on_after(max(0, self.end_time - now())):
            await trio.sleep(self.random.uniform(*IDLE_RECONNECT_DELAY_S))

    async def once(self):
        connection = await self.connect()
        await self.exchange(connection, "once")
        await trio.aclose_forcefully(connection.stream)

    async def pipelining(self):
        connection = await self.connect()
        requests = [self.request() for _ in range(self.random.randint(2, 8))]
        first_sent = trio.Event()

        async def send():
            for request in requests:
                await connection.stream.send_all(request.data)
                self.record_request(request, connection, "pipelining")
                first_sent.set()
                if self.random.random() < 0.3:
                    await trio.sleep(self.random.uniform(0, 0.3))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.ignore_broken_stream, send)
            await first_sent.wait()
            for n, request in enumerate(requests):
                if not await self.receive_answer(request, connection):
                    for unanswered in requests[n + 1 :]:
                        self.event_log.write("outcome", rid=unanswered.rid, how="not reached")
                    break
            nursery.cancel_scope.cancel()
        await trio.aclose_forcefully(connection.stream)

    async def ignore_broken_stream(self, operation):
        try:
            await operation()
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def slow(self):
        connection, request = await self.connect(), self.request()
        data = request.data
        for offset in range(0, len(data), 40):
            await connection.stream.send_all(data[offset : offset + 40])
            await trio.sleep(self.random.uniform(0, 0.06))
        self.record_request(request, connection, "slow")
        await self.receive_answer(request, connection)
        await trio.aclose_forcefully(connection.stream)

    async def send_in_chunks(self):
        """Send large bodies in small chunks for the time of the drawn load."""
        load = self.chunked_load
        await trio.sleep(max(0, load["begin"] - now()))
        while now() < min(load["end"], self.end_time):
            try:
                await self.exchange_in_chunks(load["chunk_bytes"])
            except OSError:
                await trio.sleep(0.1)  # nothing listens: the root is being restarted
            await trio.sleep(CHUNKED_PAUSE_S)

    async def exchange_in_chunks(self, chunk_bytes):
        """Send a large body in small chunks; the request counts from its last byte."""
        connection, request = await self.connect(), self.request()
        request.timeout_s = self.deadline_s
        recorded = False

        async def send():
            nonlocal recorded
            await connection.stream.send_all(data)
            if not recorded:
                recorded = True
                self.record_request(request, connection, "in chunks")

        data = request.chunked_data(chunk_bytes)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.ignore_broken_stream, send)
            result = await self.await_result(request, connection)
            if not recorded:
                # Answered before its last byte was written.
                recorded = True
                self.record_request(request, connection, "in chunks")
            self.record_result(request, result)
            nursery.cancel_scope.cancel()
        await trio.aclose_forcefully(connection.stream)

    async def leaving(self):
        connection, request = await self.connect(), self.request()
        await connection.stream.send_all(request.data)
        self.record_request(request, connection, "leaving")
        await trio.sleep(self.random.choice((0, 0, 0.005, 0.05, 0.3)))
        self.event_log.write("left", rid=request.rid)
        if self.random.random() < 0.5:
            await reset_connection(connection.stream)
        else:
            await trio.aclose_forcefully(connection.stream)

    async def resting(self):
        connection = await self.connect()
        if not await self.exchange(connection, "resting"):
            return
        with trio.move_on_after(self.random.uniform(0.5, 9)):
            await connection.read_answer()  # returns once the root closes the connection
            await trio.aclose_forcefully(connection.stream)
            return
        request = self.request()
        await connection.stream.send_all(request.data)
        self.record_request(request, connection, "resting", crossing=True)
        await self.receive_answer(request, connection)
        await trio.aclose_forcefully(connection.stream)

    async def send_partial_request(self):
        connection, request = await self.connect(), self.request()
        await self.expect_error_or_close(connection, request.data[: self.random.randint(1, 150)])

    async def send_malformed_request(self):
        await self.expect_error_or_close(
            await self.connect(), self.random.choice(MALFORMED_REQUESTS)
        )

    async def expect_error_or_close(self, connection, data):
        """Send data that is no complete valid request; record when an error or a close follows."""
        started_at, outcome = now(), "nothing"
        await connection.stream.send_all(data)
        with trio.move_on_after(5):
            result = await connection.read_answer()
            outcome = result if isinstance(result, str) else result[0]
        self.event_log.write(
            "halted",
            root=self.root,
            after_s=now() - started_at,
            how=outcome,
            connected=connection.connect_started_s,
        )
        await trio.aclose_forcefully(connection.stream)


if __name__ == "__main__":
    trio.run(ClientsProcess(json.loads(sys.argv[1])).run)
