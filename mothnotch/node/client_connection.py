"""A client's connection: HTTP in, one answer after another out.

h11 holds the protocol; what comes ahead of an open request is buffered within a bound and read once
that has its answer. When the connection ends is the job of `client_connections`.
"""

import math

import h11
import trio

from mothnotch.net import CONNECTION_LOST_ERRORS
from mothnotch.net.write_buffer import BufferedWriter
from mothnotch.node import requests
from mothnotch.node.arrival_times import ArrivalTimes
from mothnotch.node.closing import ClientCloseReason

# Read at once.
READ_BYTES = 1 << 15
# Of later requests, buffered while one is open: else one client could fill the root's memory.
AHEAD_BYTES = 1 << 16
# Thrown away at once, and in all after a last answer.
DISCARD_BYTES = 1 << 18
JSON = "application/json"
TEXT = "text/plain"


class ClientConnection(BufferedWriter):
    """A client's connection: `feed` and the end of its query drive it.

    `since_s`: of connecting, of the first byte of a request, or of the last answer, whichever was
    last. `arrived_s`: when the last byte of the request at hand came. `partial`: some of a next
    request has come. `truncated`: bytes were thrown away, and nothing that comes is read any more.
    `closing`: its last answer is given; `lingering`: and all of it is written.
    """

    def __init__(self, connections, handler, nursery, stream):
        """`connections` ends it, `handler` takes its requests."""
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
        # Of the first read: some of it may have come as early as the connection.
        self.waited_since_s = self.network.waited_since(stream)
        self.arrived_s = self.since_s
        self.ahead_bytes = 0
        self.discarded_bytes = 0
        self.partial = False
        self.truncated = False
        self.served = False
        self.closing = False
        self.lingering = False

    @property
    def is_idle(self) -> bool:
        """Return whether it is between requests, with nothing of a next one read."""
        return self.lingering or (self.query is None and not self.partial and not self.unsent)

    def due_s(self, share) -> float | None:
        """Return when the sweep is to end it; None while a query is open."""
        if self.lingering:
            return self.since_s + share.linger_s
        if self.unsent:
            return self.since_s + share.send_timeout_s
        if self.query is not None:
            return None
        if self.served and not self.partial:
            return self.since_s + share.client_idle_timeout_s
        return self.since_s + share.request_timeout_s

    # ---- requests in ----

    def feed(self, data: bytes, at_s: float):
        """Take what the client sent; b"" is its end. Raise BadRequestError or h11's error if it
        cannot be read.
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
            self.ahead_bytes += len(data)
            if self.ahead_bytes > AHEAD_BYTES:
                # What is buffered is answered; what follows gets an error.
                self.truncated = True
                return
            self.handler.shorten_deadline(self, data, at_s)
        elif not self.partial:
            self.partial = True
            self.since_s = at_s
        self._receive(data, at_s)
        self.advance()

    def advance(self):
        """Go on as far as what has come allows: to the end of it, or to an open query."""
        while self.query is None and not self.unsent and not self.dead and not self.closing:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                self._on_need_data()
                return
            if isinstance(event, h11.Request):
                self._on_head(event)
            elif isinstance(event, h11.Data):
                self.body += event.data
                if len(self.body) > requests.BODY_BYTES:
                    raise requests.BadRequestError(
                        413, f"a body of more than {requests.BODY_BYTES} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage):
                self._on_request()
            else:  # PAUSED or ConnectionClosed: nothing more is read here
                return

    def _discard(self, data):
        """Count what comes behind the last answer; too much of it ends the connection."""
        self.discarded_bytes += len(data)
        if self.lingering and self.discarded_bytes > DISCARD_BYTES:
            self.connections.close(self, ClientCloseReason.TOO_MUCH_BEHIND)

    def _receive(self, data, at_s):
        """Hand data to h11, and note when it came."""
        if not self.http.trailing_data[0]:
            self.arrivals.clear()
        first_s = min(self.network.earliest(at_s), self.waited_since_s)
        self.waited_since_s = math.inf
        self.arrivals.add(len(data), at_s, first_s)
        self.http.receive_data(data)

    def _more_is_read(self):
        """Whether more of this client's requests has been read, or lies there to be read, than the
        one at hand.
        """
        if self.http.trailing_data[0]:
            return True
        try:
            data = self.network.receive_now(self.stream, READ_BYTES)
        except CONNECTION_LOST_ERRORS:
            return False
        if data:
            self.ahead_bytes += len(data)
            self._receive(data, trio.current_time())
        return bool(data)

    def _on_need_data(self):
        """All that came is used up but the start of a next request, which h11 buffers."""
        self.partial = self.head is not None or bool(self.http.trailing_data[0])
        if self.truncated:
            raise requests.BadRequestError(
                413, f"more than {AHEAD_BYTES} bytes sent ahead of an answer"
            )
        if self.context.stopping and self.served and not self.partial:
            # Nothing of a next request has come: this was the last answer here.
            self.closing = True
            self.connections.half_close(self)

    def _on_head(self, head):
        """Reject what can be rejected by its head before any of the body is buffered."""
        self.method = head.method
        has_length = False
        is_chunked = False
        for name, value in head.headers:
            if name == b"content-length":
                has_length = True
                if len(value) > 9 or int(value) > requests.BODY_BYTES:
                    raise requests.BadRequestError(
                        413, f"a body of more than {requests.BODY_BYTES} bytes"
                    )
            elif name == b"transfer-encoding":
                is_chunked = True
        if has_length and is_chunked:
            # One of the two hides another request from whoever believes the other.
            raise requests.BadRequestError(400, "both Content-Length and Transfer-Encoding")
        self.head = head
        if self.http.they_are_waiting_for_100_continue:
            self.send(self.http.send(h11.InformationalResponse(status_code=100, headers=[])))

    def _on_request(self):
        """Serve a request that has come whole."""
        head = self.head
        body = self.body
        self.head = None
        self.body = bytearray()
        self.partial = False
        # What came with it counts for the next.
        self.ahead_bytes = len(self.http.trailing_data[0])
        arrived_s = self.arrivals.take_until(self.arrivals.total_bytes - self.ahead_bytes)
        if arrived_s is not None:
            self.arrived_s = arrived_s
        path, _, query_string = head.target.decode("latin-1").partition("?")
        if path == "/api" and head.method == b"POST":
            self.handler.submit(self, query_string, head.headers, bytes(body))
        elif path in ("/-/ready", "/-/healthy") and head.method in (b"GET", b"HEAD"):
            ready = path == "/-/healthy" or self.context.ready()
            self.answer(200 if ready else 503, b"ready" if ready else b"not ready", TEXT)
        else:
            raise requests.BadRequestError(
                404 if path != "/api" else 405, "POST /api and GET /-/ready are served"
            )

    # ---- answers out ----

    def answer(
        self,
        status: int,
        body: bytes,
        kind: str = JSON,
        retry_after_us: float = 0,
        close: bool = False,
    ):
        """Send the one answer to the request at hand; `close`: as the last one."""
        if not close and self.context.stopping and not self.truncated:
            close = not self._more_is_read()
        headers = [("Content-Type", kind), ("Content-Length", str(len(body)))]
        if retry_after_us:
            headers.append(("Retry-After", f"{retry_after_us / 1e6:.3f}"))
        if close:
            headers.append(("Connection", "close"))
        data = self.http.send(h11.Response(status_code=status, headers=headers))
        if self.method != b"HEAD":  # to which h11 takes no body
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
        """Answer what cannot be read with an error, and end the connection: what follows on it
        means nothing.
        """
        if self.dead or self.closing:
            return
        self.context.counts["bad"] += 1
        if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.answer(status, requests.encode({"error": text[:200]}), close=True)
        else:
            self.connections.close(self, ClientCloseReason.DEFECT)

    def on_write_drained(self):
        """Go on after an answer that had to wait for its socket."""
        if self.closing:
            self.connections.half_close(self)
        else:
            self.connections.run_step(self, self.advance)

    def on_connection_lost(self):
        """Close it, as its stream is lost."""
        self.connections.close(self, ClientCloseReason.LEFT)
