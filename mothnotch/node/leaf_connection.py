"""One connection to a leaf, which carries many parts at once.

What has to wait, for the connection to come up or for its socket to take more, is queued as
attempts and not as bytes: `LeafConnection.flush_queued` is the one point at which they are looked
at again before they are sent. The pool bounds how many are on a connection.
"""

from collections import deque

import trio

from mothnotch.decisions.interface import Result
from mothnotch.net.write_buffer import BufferedWriter
from mothnotch.node import frames
from mothnotch.node.closing import LeafCloseReason


class Leaf:
    """A leaf as discovery last named it, and the connections to it, oldest first."""

    def __init__(self, name: str, address: str):
        """A leaf that takes new parts and has no connection yet."""
        self.name = name
        self.address = address
        self.takes_new = True
        self.connections = []


class UnsentFrame:
    """A frame that isn't sent whole: its first byte and its end, counted from the first byte of
    the connection, and the attempts it carries.
    """

    __slots__ = ("begin_offset", "end_offset", "attempts")

    def __init__(self, begin_offset: int, end_offset: int, attempts: list):
        """The end is exclusive."""
        self.begin_offset = begin_offset
        self.end_offset = end_offset
        self.attempts = attempts


class LeafConnection(BufferedWriter):
    """One connection to a leaf, being made or made.

    `in_flight`: attempts by wire id whose frame is written, or buffered for the socket.
    `abandoned`: wire ids cancelled whose answer may still come. `queued`: attempts none of whose
    bytes is sent, as there is no connection yet or the socket is full. `retired`: it takes nothing
    new, and is closed once nothing is on it. `last_frame_us`: when a whole frame last came.
    """

    __slots__ = (
        "pool",
        "leaf",
        "address",
        "reader",
        "in_flight",
        "abandoned",
        "queued",
        "written_bytes",
        "unsent_frames",
        "health_checks",
        "idle_since_s",
        "retired",
        "last_frame_us",
    )

    def __init__(self, pool, leaf: Leaf):
        """`pool`: the ConnectionPool that owns it; it makes the stream and closes it."""
        super().__init__(pool.context.network, pool.nursery, None)
        self.pool = pool
        self.leaf = leaf
        self.address = leaf.address
        self.reader = frames.FrameReader()
        self.in_flight = {}
        self.abandoned = {}
        self.queued = []
        self.written_bytes = 0
        self.unsent_frames = deque()
        self.health_checks = deque()  # (sent_us, post) of those not answered, oldest first
        self.idle_since_s = trio.current_time()
        self.retired = False
        self.last_frame_us = 0

    @property
    def attempt_count(self) -> int:
        """Return how many attempts are in flight or queued here."""
        return len(self.in_flight) + len(self.queued)

    def close(self, reason: LeafCloseReason):
        """Close it; every attempt on it ends. Do nothing if it is closed."""
        self.pool.close_connection(self, reason)

    def close_if_idle(self, reason: LeafCloseReason):
        """Close it if it is made and carries nothing."""
        if self.stream is not None and not self.attempt_count:
            self.close(reason)

    def on_attempt_removed(self):
        """Note the start of an idle time if nothing is left on it; close it then if retired."""
        if not self.attempt_count and not self.dead:
            self.idle_since_s = trio.current_time()
            if self.retired:
                self.close(LeafCloseReason.RETIRED)

    # ---- attempts not sent yet ----

    def flush_queued(self):
        """Send what is queued, as far as the socket takes it: the last point at which an attempt
        may be held back.
        """
        while self.queued and self.stream is not None and not self.sending and not self.dead:
            most = self.pool.context.max_parts_per_call
            attempts = self.queued[:most]
            self.queued = self.queued[most:]
            self.pool.writer.write(self, attempts)

    def requeue_unsent(self):
        """Queue a frame's attempts again if it met a full socket and nothing of it is sent."""
        if not self.unsent_frames or self.dead:
            return
        frame = self.unsent_frames[0]
        if frame.begin_offset != self.written_bytes:
            return
        self.unsent_frames.popleft()
        del self.unsent[: frame.end_offset - frame.begin_offset]
        for attempt in frame.attempts:
            del self.in_flight[attempt.call.wire_id]
        self.queued[:0] = frame.attempts

    def complete_queued(self, result: Result):
        """End what is queued with this result: none of it is sent."""
        attempts = self.queued
        self.queued = []
        for attempt in attempts:
            attempt.complete(result)

    # ---- hooks of the writer ----

    def on_write_drained(self):
        """Send what was queued behind the bytes that had to wait."""
        self.flush_queued()

    def revoke_unsent(self) -> bool:
        """Return whether the connection was closed rather than send the rest of a frame.

        Of a frame that is partly sent none may run: if any attempt of it may not go on any more,
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
        """Mark the attempts whose first byte is sent now, then those whose last byte is: from then
        on they may run.
        """
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
        """Close it, as its stream is lost."""
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
    """What an attempt knows of the connection it is on.

    `sent`: whether the last byte of its frame is. `deadline_ms`: the time the frame states.
    """

    __slots__ = ("connection", "wire_id", "sent", "deadline_ms")

    def __init__(self, connection: LeafConnection, wire_id: str):
        """Of an attempt that is about to be queued."""
        self.connection = connection
        self.wire_id = wire_id
        self.sent = False
        self.deadline_ms = None

    def cancel(self, attempt):
        """Cancel the attempt, whose end nobody waits for any more."""
        self.connection.pool.cancellation.cancel(self, attempt)
