"""A client's connection: receives HTTP requests and sends the answers in order.

h11 implements the protocol. Pipelined requests behind an open one are buffered up to a bound, and
read once that has its answer. `client_connections` decides when the connection is closed.
"""

import math

import h11
import trio

from mothnotch.net import CONNECTION_LOST_ERRORS
from mothnotch.net.write_buffer import BufferedWriter
from mothnotch.node import requests
from mothnotch.node.arrival_times import ArrivalTimes
from mothnotch.node.closing import ClientCloseReason

# Maximum size of one read.
READ_BYTES = 1 << 15
# Maximum size of pipelined requests that are buffered while one is open: otherwise one client could
# exhaust the root's memory.
MAX_PIPELINED_BYTES = 1 << 16
# No more requests than this fit into the buffer, as none is shorter than 128 bytes.
MAX_PIPELINED_REQUESTS = MAX_PIPELINED_BYTES // 128
# Maximum size of one read of discarded data, and of all data discarded after a last answer.
MAX_DISCARDED_BYTES = 1 << 18
JSON = "application/json"
TEXT = "text/plain"


class ClientConnection(BufferedWriter):
    """A client's connection, driven by `feed` and by the end of its query.

    `since_s`: the start of its current timeout: the time of connecting, of the first byte of a
    request or of the last answer, whichever was last. `arrived_s`: arrival time of the last byte of
    the current request. `pipelined_bytes`: bytes received behind it. `partial_line`: the last
    of these from the last line feed on. `partial`: part of a next
    request was received. `truncated`: more pipelined bytes came than are buffered, and further
    input is ignored. `closing`: the last answer was given; `lingering`: and it is written
    completely.
    """

    def __init__(self, connections, handler, nursery, stream):
        """`connections` closes it, `handler` processes its requests."""
        super().__init__(connections.context.network, nursery, stream)
        self.context = connections.context
        self.connections = connections
        self.handler = handler
        self.http = h11.Connection(h11.SERVER)
        self.query = None
        self.request_id = None
        self.head = None
        self.body = bytearray()
        self.method = None
        self.since_s = trio.current_time()
        self.arrivals = ArrivalTimes()
        # For the first read: its first bytes may be as old as the connection.
        self.waited_since_s = self.network.pending_since(stream)
        self.arrived_s = self.since_s
        self.pipelined_bytes = 0
        self.partial_line = b""
        self.discarded_bytes = 0
        self.partial = False
        self.truncated = False
        self.served = False
        self.closing = False
        self.lingering = False

    @property
    def is_idle(self) -> bool:
        """Return whether it is between requests, with no byte of a next one read."""
        return self.lingering or (self.query is None and not self.partial and not self.unsent)

    def expires_s(self, limits) -> float | None:
        """Return when the sweep must end it by its limits; None while a query is open."""
        if self.lingering:
            return self.since_s + limits.linger_s
        if self.unsent:
            return self.since_s + limits.send_timeout_s
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
        self.advance()

    def advance(self):
        """Process received data until it is consumed or a query is open."""
        while self.query is None and not self.unsent and not self.is_closed and not self.closing:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self._on_need_data()
                return
            if isinstance(event, h11.Request):
                self._on_head(event)
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > requests.MAX_BODY_BYTES:
                    raise requests.BadRequestError(
                        413, f"a body of more than {requests.MAX_BODY_BYTES} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage):
                self._on_request()
            else:  # PAUSED or ConnectionClosed: no further request is read
                return

    def _discard(self, data):
        """Count data received after the last answer; too much of it closes the connection."""
        self.discarded_bytes += len(data)
        if self.lingering and self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.connections.close(self, ClientCloseReason.TOO_MUCH_BEHIND)

    def _receive(self, data, at_s):
        """Pass data to h11, and record its arrival time."""
        if not self.http.trailing_data[0]:
            self.arrivals.clear()
        first_s = min(self.network.earliest_arrival(at_s), self.waited_since_s)
        self.waited_since_s = math.inf
        self.arrivals.add(len(data), at_s, first_s)
        self.http.receive_data(data)

    def _has_more_input(self):
        """Return whether data beyond the current request was received, reading from the socket if
        necessary.
        """
        if self.http.trailing_data[0]:
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
        """Handle that all data is consumed but the start of a next request, which h11 buffers."""
        self.partial = self.head is not None or bool(self.http.trailing_data[0])
        if self.truncated:
            raise requests.BadRequestError(
                413, f"more than {MAX_PIPELINED_BYTES} bytes sent ahead of an answer"
            )
        if self.context.stopping and self.served and not self.partial:
            # No byte of a next request was received, so the last answer has been given.
            self.closing = True
            self.connections.half_close(self)

    def _on_head(self, head):
        """Reject a request that is invalid by its head before any of its body is buffered."""
        self.method = head.method
        has_length = False
        is_chunked = False
        for name, value in head.headers:
            if name == b"content-length":
                has_length = True
                if len(value) > 9 or int(value) > requests.MAX_BODY_BYTES:
                    raise requests.BadRequestError(
                        413, f"a body of more than {requests.MAX_BODY_BYTES} bytes"
                    )
            elif name == b"transfer-encoding":
                is_chunked = True
        if has_length and is_chunked:
            # Request smuggling: parsers that trust different headers see different requests.
            raise requests.BadRequestError(400, "both Content-Length and Transfer-Encoding")
        self.head = head
        if self.http.they_are_waiting_for_100_continue:
            self.send(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))

    def _on_request(self):
        """Serve a completely received request."""
        head = self.head
        body = self.body
        self.head = None
        self.body = bytearray()
        self.partial = False
        # The remaining bytes belong to the next request.
        self.pipelined_bytes = len(self.http.trailing_data[0])
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
        if self.method != b"HEAD":  # h11 accepts no body in answer to HEAD
            data += self.http.send(h11.Data(data=body))
        data += self.http.send(h11.EndOfMessage())
        self.query = None
        self.method = None
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

    def on_write_drained(self):
        """Continue after an answer that had to wait for the socket is written."""
        if self.closing:
            self.connections.half_close(self)
        else:
            self.connections.run_step(self, self.advance)

    def on_connection_lost(self):
        """Close the connection, as its stream is lost."""
        self.connections.close(self, ClientCloseReason.LEFT)
