"""A client's connection: receives HTTP requests and sends the answers in order.

`ClientReading` reads the input, which is split into requests in quanta that `InputScheduler`
grants. Pipelined requests behind an open one are buffered, up to a bound, until that has its
answer. `client_connections` decides when the connection is closed.
"""

import h11
import trio

from mothnotch.decisions.client_input import INPUT_QUANTUM_BYTES, unprocessed_deadline_s
from mothnotch.net.write_buffer import BufferedWriter
from mothnotch.node import requests
from mothnotch.node.client_reading import ClientReading
from mothnotch.node.closing import ClientCloseReason

# Maximum size of all data discarded after a last answer. The rest of a body of 64 KiB in chunks of
# one byte is less.
MAX_DISCARDED_BYTES = 1 << 19
BUSY = requests.encode({"error": "busy; asking again is harmless"})
# Maximum quanta in which the requests of one client are rejected that have waited for too long.
MAX_REJECTING_QUANTA = 32
JSON = "application/json"
TEXT = "text/plain"


class ClientConnection(BufferedWriter):
    """A client's connection, driven by `feed`, its quanta and the end of its query.

    `since_s`: the start of its current timeout: the time of connecting, of the first byte of a
    request or of the last answer, whichever was last; later by the time for which input was queued.
    `arrived_s`: arrival time of the last byte of the current request. `pipelined_bytes`: bytes
    received behind it. `partial_line`: the last of these from the last line feed on. `partial`:
    part of a next request was received. `is_queued`: received input waits to be processed, and no
    more is read. `is_rejecting`: requests are rejected, as they have waited for too long.
    `closing`: the last answer was given; `lingering`: and it is written completely. `open_bytes`:
    size of the body of the open request.
    """

    def __init__(self, connections, handler, nursery, stream):
        """`connections` closes it, `handler` processes its requests."""
        super().__init__(connections.context.network, nursery, stream)
        self.context = connections.context
        self.connections = connections
        self.handler = handler
        self.reading = ClientReading(self, connections.input_budget)
        self.input = self.reading.input
        self.reader = self.input.reader
        self.http = self.reader.http
        self.query = None
        self.request_id = None
        self.head = None
        self.body = bytearray()
        self.open_bytes = 0
        self.since_s = trio.current_time()
        self.turn_quanta = 0
        self.arrived_s = self.since_s
        self.pipelined_bytes = 0
        self.partial_line = b""
        self.discarded_bytes = 0
        self.partial = False
        self.is_queued = False
        self.queued_at_s = 0.0
        self.is_rejecting = False
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
    def is_within_request(self) -> bool:
        """Return whether part of the current request was processed."""
        return self.reader.has_head

    @property
    def is_behind(self) -> bool:
        """Return whether a request may have been written completely that the root has not processed
        completely.
        """
        if self.closing or self.query is not None:
            return False
        return self.is_queued or self.input.may_be_held_back

    @property
    def is_unfinished(self) -> bool:
        """Return whether part of a request was processed, and its client has to send the rest."""
        return self.partial and self.query is None and not (self.is_queued or self.closing)

    @property
    def has_unprocessed(self) -> bool:
        """Return whether received input could be processed, or waits for the rest of a request."""
        return self._may_process() and bool(self.partial or self.input.size_bytes)

    @property
    def held_bytes(self) -> int:
        """Return the memory that its input takes."""
        head_bytes = 0 if self.head is None else len(self.head.target)
        body_bytes = self.body.__alloc__()
        return self.input.memory_bytes + body_bytes + head_bytes + self.open_bytes

    def expires_s(self, limits) -> float | None:
        """Return when the sweep must end it by its limits; None while a query is open.

        The time for which the root has not processed its input does not count as the client's.
        """
        if self.lingering:
            return self.since_s + limits.linger_s
        if self.unsent:
            return self.since_s + limits.send_timeout_s
        if self.is_behind:
            if self.head is None:
                return unprocessed_deadline_s(self.input.oldest_s, self.input.unread_timeout_ms())
            timeout_ms = requests.timeout_ms(self.head.headers)
            return unprocessed_deadline_s(self.input.written_since_s, timeout_ms)
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
            self.on_discarded(len(data))
            return
        if self._may_process():
            if not self.partial:
                self.partial = True
                self.since_s = at_s
            self.input.add(data, at_s)
            self.connections.scheduler.process(self)
        else:
            self.reading.buffer(data, at_s)
            self.reading.read_ahead()
        self.reading.note_held_bytes()

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
                return self.input.had_full_read and self.partial and self.reading.receive_rest()
        return False

    def _may_process(self):
        """Return whether received data may be processed: no answer is open or unsent."""
        return self.query is None and not self.unsent and not self.is_closed and not self.closing

    def on_queued(self):
        """Note that received input waits to be processed."""
        self.is_queued = True
        self.queued_at_s = trio.current_time()
        self.reading.is_all_read = False

    def on_dequeued(self):
        """Note that all input was processed that can be; the wait for it was the root's."""
        self.is_queued = False
        if self.partial and not self.closing:
            self.since_s += trio.current_time() - self.queued_at_s
        self.reading.resume()

    def on_closed(self):
        """Release its input, and wake the task that reads it."""
        self._drop_input()
        self.reading.release()

    def on_discarded(self, size_bytes: int):
        """Count data received after the last answer; too much of it closes the connection."""
        self.discarded_bytes += size_bytes
        if self.lingering and self.discarded_bytes > MAX_DISCARDED_BYTES:
            self.connections.close(self, ClientCloseReason.TOO_MUCH_BEHIND)

    def _on_need_data(self):
        """Handle that all data is consumed but the start of a next request."""
        self.partial = self.head is not None or bool(self.reader.received)
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
        arrived_s = self.input.end_request(self.reading.is_all_read)
        if arrived_s is not None:
            self.arrived_s = arrived_s
        sees_all = self.reading.sees_all()
        if self.is_closed:
            return
        # The remaining bytes belong to the next request.
        self.pipelined_bytes = self.input.size_bytes
        path, _, query_string = head.target.decode("latin-1").partition("?")
        if path == "/api" and head.method == b"POST":
            if (
                self.is_rejecting
                or self.context.rejects_all
                or not sees_all
                or not self.connections.input_budget.may_open(len(body))
            ):
                self.context.counts["too_far_ahead"] += 1
                self.answer(503, BUSY)
                return
            self.open_bytes = len(body)
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
        if not close and self.context.stopping:
            close = not self.reading.has_more()
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
        self.open_bytes = 0
        self.reading.is_all_read = False
        self.reader.method = None
        self.since_s = trio.current_time()
        self.served = True
        must_close = self.http.our_state is h11.MUST_CLOSE
        self.closing = close or must_close or self.http.their_state is not h11.DONE
        if not self.closing:
            self.http.start_next_cycle()
        self.send(data)
        if self.unsent and not self.is_closed:
            self._note_unsent()
        if self.closing:
            self._drop_input()
            if not self.unsent:
                self.connections.half_close(self)
        self.reading.note_held_bytes()
        self.reading.resume()

    def _note_unsent(self):
        """Account for what the socket has not accepted of an answer."""
        self.connections.answer_budget.set(self, len(self.unsent))
        if self.connections.answer_budget.is_exceeded:
            self.connections.reduce_answers()

    def _drop_input(self):
        """Drop what was received behind the last answer."""
        self.input.drop()
        self.head = None
        self.body = bytearray()

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
        """Reject the requests that the root has not processed in time, and that therefore have no
        effect. If one of them was processed in part, end the connection, as its rest is not read.
        """
        if self.is_closed or self.closing:
            return
        self.context.counts["unprocessed"] += 1
        self.is_rejecting = True
        self._process_received_requests()
        self.is_rejecting = False
        if self.is_closed or self.closing:
            return
        if self.partial or self.is_within_request:
            self.on_dequeued()
            if self.http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
                self.answer(503, BUSY, close=True)
        else:
            self.connections.scheduler.process(self)

    def _process_received_requests(self):
        """Process requests of which all is received, as far as the bound allows."""
        for _ in range(MAX_REJECTING_QUANTA):
            size_bytes = self.input.size_bytes
            if size_bytes and not self.is_within_request:
                self.process_quantum()
            if self.input.size_bytes >= size_bytes:
                return

    def on_write_drained(self):
        """Continue after an answer that had to wait for the socket is written."""
        if self.closing:
            self.connections.half_close(self)
        else:
            self.connections.scheduler.process(self)
            self.reading.resume()

    def on_bytes_written(self, count: int, at_s: float):
        """Account for the rest of an answer that the socket does not accept at once."""
        if self.sending and not self.is_closed:
            self.connections.answer_budget.set(self, len(self.unsent))

    def on_connection_lost(self):
        """Close the connection, as its stream is lost."""
        self.connections.close(self, ClientCloseReason.LEFT)
