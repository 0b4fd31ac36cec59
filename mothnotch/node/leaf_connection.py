"""A connection to a leaf, which multiplexes many parts.

Whatever must wait until the connection is established or its socket is writable is queued as
attempts rather than bytes. `LeafConnection.flush_queued` is therefore the only place where they are
rechecked before they are sent. The pool bounds the number of attempts on a connection.
"""

from collections import deque

import trio

from mothnotch.decisions.interface import Result
from mothnotch.decisions.leaf_memory import SMALL_FRAME_BYTES, parts_in_call
from mothnotch.net.write_buffer import BufferedWriter
from mothnotch.node import frames
from mothnotch.node.closing import LeafCloseReason

# Maximum bytes per read; bounds the share of a scheduler pass that one connection uses.
READ_BYTES = 1 << 15


class Leaf:
    """A leaf as last reported by discovery, and the connections to it, oldest first.

    `takes_new`: whether new parts may be sent to it.
    """

    def __init__(self, name: str, address: str):
        """Create a leaf that takes new parts and has no connections."""
        self.name = name
        self.address = address
        self.takes_new = True
        self.connections = []


class UnsentFrame:
    """A call frame of which not all bytes were sent yet, and the attempts it carries.

    The offsets count the bytes written on the connection.
    """

    __slots__ = ("begin_offset", "end_offset", "attempts")

    def __init__(self, begin_offset: int, end_offset: int, attempts: list):
        """`end_offset` is exclusive."""
        self.begin_offset = begin_offset
        self.end_offset = end_offset
        self.attempts = attempts


class LeafConnection(BufferedWriter):
    """A connection to a leaf, established or being established.

    `in_flight`: attempts by wire id whose frame was written or is buffered for the socket.
    `abandoned`: wire ids of cancelled attempts whose answers may still arrive. `queued`: attempts
    of which no byte was sent, because the connection is not established or the socket is full.
    `retired`: the connection accepts no attempts and is closed once it has none. `last_frame_us`:
    when the last complete frame was received; `last_read_s`: when anything was read.
    `waits_for_room`: it is not read, as incomplete frames take the memory. `wanted_bytes`: the
    maximum size of the last read.
    """

    __slots__ = (
        "pool",
        "leaf",
        "address",
        "frame_reader",
        "in_flight",
        "abandoned",
        "queued",
        "written_bytes",
        "unsent_frames",
        "health_checks",
        "idle_since_s",
        "retired",
        "last_frame_us",
        "last_read_s",
        "waits_for_room",
        "wanted_bytes",
    )

    def __init__(self, pool, leaf: Leaf):
        """`pool`: the ConnectionPool that owns the connection and opens and closes its stream."""
        super().__init__(pool.context.network, pool.nursery, None)
        self.pool = pool
        self.leaf = leaf
        self.address = leaf.address
        self.frame_reader = frames.FrameReader()
        self.in_flight = {}
        self.abandoned = {}
        self.queued = []
        self.written_bytes = 0
        self.unsent_frames = deque()
        self.health_checks = deque()  # (sent_us, post) of the unanswered, oldest first
        self.idle_since_s = trio.current_time()
        self.retired = False
        self.last_frame_us = 0
        self.last_read_s = self.idle_since_s
        self.waits_for_room = False
        self.wanted_bytes = READ_BYTES

    @property
    def attempt_count(self) -> int:
        """Return the number of attempts in flight or queued on the connection."""
        return len(self.in_flight) + len(self.queued)

    @property
    def expected_frames(self) -> int:
        """Return the number of frames that the leaf may send by now."""
        return len(self.in_flight) + len(self.abandoned) + len(self.health_checks)

    def close(self, reason: LeafCloseReason):
        """Close the connection, which ends its attempts; do nothing if it is already closed."""
        self.pool.close_connection(self, reason)

    def close_if_idle(self, reason: LeafCloseReason):
        """Close the connection if it is established and has no attempts."""
        if self.stream is not None and not self.attempt_count:
            self.close(reason)

    def on_attempt_removed(self):
        """If no attempts are left, record the start of the idle time, and close it if retired."""
        if not self.attempt_count and not self.is_closed:
            self.idle_since_s = trio.current_time()
            if self.retired:
                self.close(LeafCloseReason.RETIRED)

    # ---- reading ----

    def allowed_read_bytes(self) -> int:
        """Return how much may be read now; 0 if incomplete frames of others take the memory."""
        return self.pool.context.memory.leaf_input.read_bytes(self, READ_BYTES)

    def next_read_bytes(self) -> int:
        """Return how much is read of data that has come, and note it as `wanted_bytes`."""
        self.wanted_bytes = self.allowed_read_bytes() or SMALL_FRAME_BYTES
        return self.wanted_bytes

    # ---- unsent attempts ----

    def flush_queued(self):
        """Send the queued attempts as far as the socket accepts data.

        This is the last point at which an attempt may be withheld.
        """
        while self.queued and self.stream is not None and not self.sending and not self.is_closed:
            count = self._next_call_size()
            attempts = self.queued[:count]
            self.queued = self.queued[count:]
            self.pool.writer.write(self, attempts)

    def _next_call_size(self):
        """Return how many of the queued attempts go into the next call."""
        if len(self.queued) == 1:
            return 1
        context = self.pool.context
        return parts_in_call(
            (len(attempt.payload.text) for attempt in self.queued),
            context.max_parts_per_call,
            context.memory.max_call_bytes,
        )

    def requeue_unsent(self):
        """Requeue the attempts of the first unsent frame if none of its bytes was sent."""
        if not self.unsent_frames or self.is_closed:
            return
        frame = self.unsent_frames[0]
        if frame.begin_offset != self.written_bytes:
            return
        self.unsent_frames.popleft()
        del self.unsent[: frame.end_offset - frame.begin_offset]
        for attempt in frame.attempts:
            del self.in_flight[attempt.call.wire_id]
        self.queued[:0] = frame.attempts
        self.note_unsent()

    def note_unsent(self):
        """Account for the bytes of calls that the socket has not accepted."""
        self.pool.context.memory.unsent_calls.set(self, len(self.unsent))

    def complete_queued(self, result: Result):
        """Complete the queued attempts, of which nothing was sent, with this result."""
        attempts = self.queued
        self.queued = []
        for attempt in attempts:
            attempt.complete(result)

    # ---- hooks of BufferedWriter ----

    def on_write_drained(self):
        """Send the attempts that were queued while the socket was full."""
        self.flush_queued()

    def revoke_unsent(self) -> bool:
        """Return whether the connection was closed rather than send the rest of a frame.

        If an attempt of a partly sent frame must be withheld, the frame must not be completed, so
        the connection is closed.
        """
        self.requeue_unsent()
        now_s = trio.current_time()
        if not any(
            self.pool.writer.withheld_result(attempt, now_s)
            for frame in self.unsent_frames
            for attempt in frame.attempts
        ):
            return False
        self.pool.context.counts["held_back"] += 1
        self.close(LeafCloseReason.WITHDRAWN)
        return True

    def on_bytes_written(self, count: int, at_s: float):
        """Notify the attempts whose first byte was sent, then those whose last byte was sent.

        An attempt may run from its last byte on.
        """
        if self.sending:
            self.note_unsent()
        before_bytes = self.written_bytes
        self.written_bytes += count
        for frame in self.unsent_frames:
            if before_bytes <= frame.begin_offset < self.written_bytes:
                for attempt in frame.attempts:
                    attempt.on_sending()
                    if self.pool.context.trace.enabled:
                        self._trace_sent(attempt, at_s)
        while self.unsent_frames and self.unsent_frames[0].end_offset <= self.written_bytes:
            for attempt in self.unsent_frames.popleft().attempts:
                attempt.call.sent = True
                self.pool.cancellation.check_second_copy(self, attempt)
                attempt.on_sent(int(at_s * 1e6))

    def on_connection_lost(self):
        """Close the connection."""
        self.close(LeafCloseReason.ENDED)

    def _trace_sent(self, attempt, at_s):
        self.pool.context.trace.record(
            "sent",
            wire_id=attempt.call.wire_id,
            part=attempt.part.id,
            attempt=attempt.number,
            leaf=self.leaf.name,
            link=id(self),
            told_ms=attempt.call.deadline_ms,
            out=len(self.in_flight),
            given_up=len(self.abandoned),
            noted_after_s=round(trio.current_time() - at_s, 6),
        )


class CallHandle:
    """An attempt's handle of its call on a connection.

    `sent`: whether the last byte of its frame was sent. `deadline_ms`: the time until the deadline
    as stated in the frame, or None before the frame is built.
    """

    __slots__ = ("connection", "wire_id", "sent", "deadline_ms")

    def __init__(self, connection: LeafConnection, wire_id: str):
        """Create the handle of an attempt that is about to be queued."""
        self.connection = connection
        self.wire_id = wire_id
        self.sent = False
        self.deadline_ms = None

    def cancel(self, attempt):
        """Cancel the attempt, whose result is no longer needed."""
        self.connection.pool.cancellation.cancel(self, attempt)
