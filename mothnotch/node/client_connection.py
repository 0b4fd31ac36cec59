"""A client's connection: receives HTTP requests and sends the answers in order.

`RequestReader` splits the input into requests, in quanta that `InputScheduler` grants. Pipelined
requests behind an open one are buffered up to a bound, and read once that has its answer.
`client_connections` decides when the connection is closed.
"""

import math

import h11
import trio

from mothnotch.decisions.client_input import (
    INPUT_QUANTUM_BYTES,
    unprocessed_deadline_s,
    was_held_back,
)
from mothnotch.net import CONNECTION_LOST_ERRORS
from mothnotch.net.write_buffer import BufferedWriter
from mothnotch.node import requests
from mothnotch.node.arrival_times import ArrivalTimes
from mothnotch.node.closing import ClientCloseReason
from mothnotch.node.request_reader import RequestReader

# Maximum size of one read.
READ_BYTES = 1 << 15
# Maximum size of pipelined requests that are buffered while one is open: otherwise one client could
# exhaust the root's memory.
MAX_PIPELINED_BYTES = 1 << 16
# No more requests than this fit into the buffer, as none is shorter than 128 bytes.
MAX_PIPELINED_REQUESTS = MAX_PIPELINED_BYTES // 128
# Maximum size of one read of discarded data, and of all data discarded after a last answer. The
# rest of a body of 64 KiB in chunks of one byte is less.
MAX_DISCARDED_BYTES = 1 << 19
JSON = "application/json"
TEXT = "text/plain"


class ClientConnection(BufferedWriter):
    """A client's connection, driven by `feed`, its quanta and the end of its query.

    `since_s`: the start of its current timeout: the time of connecting, of the first byte of a
    request or of the last answer, whichever was last; later by the time for which input was queued.
    `arrived_s`: arrival time of the last byte of the current request. `pipelined_bytes`: bytes
    received behind it. `partial_line`: the last of these from the last line feed on. `partial`:
    part of a next request was received. `is_queued`: received input waits to be processed, and no
    more is read. `truncated`: more pipelined bytes came than are buffered, and further input is
    ignored. `closing`: the last answer was given; `lingering`: and it is written completely.
    """

    def __init__(self, connections, handler, nursery, stream):
        """`connections` closes it, `handler` processes its requests."""
        super().__init__(connections.context.network, nursery, stream)
        self.context = connections.context
        self.connections = connections
        self.handler = handler
        self.reader = RequestReader()
        self.http = self.reader.http
        self.query = None
        self.request_id = None
        self.head = None
        self.body = bytearray()
        self.since_s = trio.current_time()
        self.arrivals = ArrivalTimes()
        # Whether a read of the current request was full, so that its rest may be held back by the
        # network; the earliest time at which that may have been written; the time of the last read.
        self.had_full_read = False
        self.written_since_s = self.since_s
        self.last_read_s = self.since_s
        self.turn_quanta = 0
        # For the first read: its first bytes may be as old as the connection.
        self.waited_since_s = self.network.pending_since(stream)
        self.arrived_s = self.since_s
        self.pipelined_bytes = 0
        self.partial_line = b""
        self.discarded_bytes = 0
        self.partial = False
        self.is_queued = False
        self.queued_at_s = 0.0
        self.input_processed = trio.Event()
        self.truncated = False
        self.served = False
        self.closing = False
        self.lingering = False

    @property
    def is_idle(self) -> bool:
        """Return whether it is between requests, with no byte of a next one read."""
        if self.lingering:
            return True
        return self.query is None and not (self.partial or self.is_queued or self.unsent)

    @property
    def input_phase(self) -> str:
        """Return what its next quantum begins with: "head", "chunks" or "body"."""
        return self.reader.phase

    @property
    def is_behind(self) -> bool:
        """Return whether a request may have been written completely that the root has not processed
        completely.
        """
        if self.closing or self.query is not None:
            return False
        return self.is_queued or (
            self.had_full_read and was_held_back(trio.current_time() - self.last_read_s)
        )

    def expires_s(self, limits) -> float | None:
        """Return when the sweep must end it by its limits; None while a query is open.

        The time for which the root has not processed its input does not count as the client's.
        """
        if self.lingering:
            return self.since_s + limits.linger_s
        if self.unsent:
            return self.since_s + limits.send_timeout_s
        if self.is_behind:
            timeout_ms = None if self.head is None else requests.timeout_ms(self.head.headers)
            return unprocessed_deadline_s(self.written_since_s, timeout_ms)
        if self.query is not None:
            return None
        if self.served and not self.partial:
            return self.since_s + limits.client_idle_timeout_s
        return self.since_s + limits.request_timeout_s

    # ---- requests in ----

    def feed(self, data: bytes, at_s: float):
        """Process data from the client; b"" is the end of its stream. Raise BadRequestError or
        h11's error if the data is not a valid request.
        """
        if not data:
            self.connections.close(self, ClientCloseReason.LEFT)
            return
        if self.closing:
            self._discard(data)
            return
        if self.truncated:
            return
        if self.query is not None or self.unsent:
            self.pipelined_bytes += len(data)
            if self.pipelined_bytes > MAX_PIPELINED_BYTES:
                # Buffered requests are answered, then the connection ends with an error.
                self.truncated = True
                return
            self.handler.shorten_deadline(self, data, at_s)
        elif not self.partial:
            self.partial = True
            self.since_s = at_s
        self._receive(data, at_s)
        self.connections.scheduler.process(self)

    def process_quantum(self) -> bool:
        """Process received data until it is consumed, a request ends or the quantum is used;
        return whether more can be processed.
        """
        unprocessed_bytes = len(self.reader.received)
        while self._may_process():
            event = self.reader.next_event()
            if isinstance(event, h11.Request):
                self._on_head(event)
            elif isinstance(event, h11.Data):
                self.body += event.data
                if unprocessed_bytes - len(self.reader.received) >= INPUT_QUANTUM_BYTES:
                    return True
            elif isinstance(event, h11.EndOfMessage):
                self._on_request()
                if self.reader.received:
                    return self._may_process()
            else:  # NEED_DATA
                self._on_need_data()
                return self.had_full_read and self.partial and self._receive_rest()
        return False

    def _receive_rest(self):
        """Read more of a request without waiting, so that the connection keeps its turn; return
        whether there was any.
        """
        try:
            data = self.network.receive_now(self.stream, READ_BYTES)
        except CONNECTION_LOST_ERRORS:
            data = b""
        if data is None:
            return False
        if not data:
            self.connections.close(self, ClientCloseReason.LEFT)
            return False
        # When it arrived is not known: since the last read.
        self._receive(data, self.last_read_s)
        return True

    def _may_process(self):
        """Return whether received data may be processed: no answer is open or unsent."""
        return self.query is None and not self.unsent and not self.is_closed and not self.closing

    def on_queued(self):
        """Note that received input waits to be processed."""
        self.is_queued = True
        self.queued_at_s = trio.current_time()
        self.input_processed = trio.Event()

    def on_dequeued(self):
        """Note that all input was processed that can be; the wait for it was the root's."""
        self.is_queued = False
        if self.partial and not self.closing:
            self.since_s += trio.current_time() - self.queued_at_s
        self.input_processed.set()

    def _discard(self, data):
        """Count data received after the last answer; too much of it closes the connection."""
        self.discarded_bytes += len(data)
        if self.lingering and self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.connections.close(self, ClientCloseReason.TOO_MUCH_BEHIND)

    def _receive(self, data, at_s):
        """Buffer data, and record its arrival time.

        Data behind a full read may be as old as that: the client may have written it already, but
        the network held it back until the root made room for it.
        """
        if not self.reader.received:
            self.arrivals.clear()
        first_s = min(self.network.earliest_arrival(at_s), self.waited_since_s)
        self.waited_since_s = math.inf
        if self.had_full_read and was_held_back(at_s - self.last_read_s):
            first_s = self.written_since_s
            at_s = first_s
        self.written_since_s = first_s
        self.last_read_s = trio.current_time()
        self.had_full_read = self.had_full_read or len(data) >= READ_BYTES
        self.arrivals.add(len(data), at_s, first_s)
        self.reader.received += data

    def _has_more_input(self):
        """Return whether data beyond the current request was received, reading from the socket if
        necessary.
        """
        if self.reader.received:
            return True
        try:
            data = self.network.receive_now(self.stream, READ_BYTES)
        except CONNECTION_LOST_ERRORS:
            return False
        if data:
            self.pipelined_bytes += len(data)
            self._receive(data, trio.current_time())
        return bool(data)

    def _on_need_data(self):
        """Handle that all data is consumed but the start of a next request."""
        self.partial = self.head is not None or bool(self.reader.received)
        if self.truncated:
            raise requests.BadRequestError(
                413, f"more than {MAX_PIPELINED_BYTES} bytes sent ahead of an answer"
            )
        if self.context.stopping and self.served and not self.partial:
            # No byte of a next request was received, so the last answer has been given.
            self.closing = True
            self.connections.half_close(self)

    def _on_head(self, head):
        """Begin a request whose head was read."""
        self.head = requests.Head.from_event(head)
        if self.http.they_are_waiting_for_100_continue:
            self.send(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))

    def _on_request(self):
        """Serve a completely received request."""
        head = self.head
        body = self.body
        self.head = None
        self.body = bytearray()
        self.partial = False
        self.turn_quanta = 0
        self.had_full_read = False
        # The remaining bytes belong to the next request.
        self.pipelined_bytes = len(self.reader.received)
        arrived_s = self.arrivals.take_until(self.arrivals.total_bytes - self.pipelined_bytes)
        if arrived_s is not None:
            self.arrived_s = arrived_s
        path, _, query_string = head.target.decode("latin-1").partition("?")
        if path == "/api" and head.method == b"POST":
            self.handler.submit(self, query_string, head.headers, bytes(body))
        elif path in ("/-/ready", "/-/healthy") and head.method in (b"GET", b"HEAD"):
            is_ready = path == "/-/healthy" or self.context.is_ready()
            self.answer(200 if is_ready else 503, b"ready" if is_ready else b"not ready", TEXT)
        else:
            raise requests.BadRequestError(
                404 if path != "/api" else 405, "POST /api and GET /-/ready are served"
            )

    # ---- answers out ----

    def answer(
        self,
        status: int,
        body: bytes,
        content_type: str = JSON,
        retry_after_us: float = 0,
        close: bool = False,
    ):
        """Send the answer to the current request; `close`: it is the last on this connection."""
        if not close and self.context.stopping and not self.truncated:
            close = not self._has_more_input()
        headers = [("Content-Type", content_type), ("Content-Length", str(len(body)))]
        if retry_after_us:
            headers.append(("Retry-After", f"{retry_after_us / 1e6:.3f}"))
        if close:
            headers.append(("Connection", "close"))
        data = self.http.send(h11.Response(status_code=status, headers=headers))
        if self.reader.method != b"HEAD":  # h11 accepts no body in answer to HEAD
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        self.query = None
        self.reader.method = None
        self.since_s = trio.current_time()
        self.served = True
        must_close = self.http.our_state is h11.MUST_CLOSE
        self.closing = close or must_close or self.http.their_state is not h11.DONE
        if not self.closing:
            self.http.start_next_cycle()
        self.send(data)
        if self.closing and not self.unsent:
            self.connections.half_close(self)

    def fail(self, status: int, text: str):
        """Answer an invalid request with an error, and end the connection, as data that follows an
        invalid request cannot be interpreted.
        """
        if self.is_closed or self.closing:
            return
        self.context.counts["bad"] += 1
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.answer(status, requests.encode({"error": text[:200]}), close=True)
        else:
            self.connections.close(self, ClientCloseReason.DEFECT)

    def reject_unprocessed(self):
        """Reject a request that the root has not processed completely in time, and that therefore
        has no effect; end the connection, as the rest of the request is not read.
        """
        if self.is_closed or self.closing:
            return
        self.context.counts["unprocessed"] += 1
        self.on_dequeued()
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.answer(
                503, requests.encode({"error": "busy; asking again is harmless"}), close=True
            )

    def on_write_drained(self):
        """Continue after an answer that had to wait for the socket is written."""
        if self.closing:
            self.connections.half_close(self)
        else:
            self.connections.scheduler.process(self)

    def on_connection_lost(self):
        """Close the connection, as its stream is lost."""
        self.connections.close(self, ClientCloseReason.LEFT)
