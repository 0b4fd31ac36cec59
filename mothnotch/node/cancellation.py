"""Cancels attempts that are no longer needed, and tracks those that a leaf may still run.

The wire id of a cancelled attempt is called abandoned. It is kept, and counts towards the attempts
on its connection, until the leaf has answered it. A connection with `MAX_ABANDONED` such ids
accepts no new attempts.
"""

import trio

from mothnotch.decisions import connection_policy
from mothnotch.decisions.interface import Result
from mothnotch.decisions.invariants import Invariant
from mothnotch.node import frames
from mothnotch.node.call_context import CallContext
from mothnotch.node.closing import LeafCloseReason
from mothnotch.node.leaf_connection import CallHandle, LeafConnection

# Maximum number of abandoned ids on a connection. Bounds the table if a leaf never answers
# cancelled calls.
MAX_ABANDONED = 1024


class Cancellation:
    """Cancels attempts on a pool's connections."""

    def __init__(self, context: CallContext):
        """Start without abandoned ids."""
        self.context = context
        # Wire id -> the connection on which it was abandoned. Bounded, as `MAX_ABANDONED` bounds
        # each connection's.
        self.abandoned_on = {}

    def cancel(self, call: CallHandle, attempt):
        """Cancel an attempt, and notify its leaf unless nothing of its frame was sent."""
        connection = call.connection
        connection.requeue_unsent()
        if attempt in connection.queued:
            connection.queued.remove(attempt)
            return
        if connection.is_closed or connection.in_flight.get(call.wire_id) is not attempt:
            return
        streams_exhausted = len(connection.in_flight) >= self.context.max_streams
        del connection.in_flight[call.wire_id]
        self.context.counts["given_up"] += 1
        if call.sent and not connection.retired:
            self._retire_if_silent(connection, attempt)
        if not call.sent or self._needs_close(connection, attempt, streams_exhausted):
            # A partly sent frame must not be completed; for a completely sent one, a cancel frame
            # would be read too late.
            connection.close(LeafCloseReason.GIVEN_UP)
            return
        self._abandon(connection, call.wire_id)
        connection.send(frames.encode_cancel(call.wire_id))
        if self._needs_close(connection, attempt, False):
            # The cancel frame was not sent at once: another attempt would overtake it.
            connection.close(LeafCloseReason.GIVEN_UP)
            return
        connection.on_attempt_removed()

    def on_timeout(self, attempt, _now_s: float):
        """Complete an attempt whose deadline has passed, and cancel it."""
        call = attempt.call
        attempt.complete(Result.TIMEOUT if call.sent else Result.UNREACHABLE)
        self.cancel(call, attempt)

    def on_late_answer(self, connection: LeafConnection, wire_id: str):
        """Remove an abandoned id whose answer was received, and discard the answer."""
        del connection.abandoned[wire_id]
        self.abandoned_on.pop(wire_id, None)
        self.context.counts["late"] += 1

    def on_closed(self, connection: LeafConnection):
        """Remove the ids abandoned on a closed connection, as its leaf has dropped them."""
        for wire_id in connection.abandoned:
            if self.abandoned_on.get(wire_id) is connection:
                del self.abandoned_on[wire_id]

    def check_second_copy(self, connection: LeafConnection, attempt):
        """Check that no earlier attempt of the part may run beside one that is being sent.

        An earlier attempt may if its leaf cannot read its cancellation yet.
        """
        earlier = self.abandoned_on.get(attempt.call.wire_id)
        if earlier is None or self.context.hedging_allowed:
            return
        occupied = len(earlier.in_flight) + len(earlier.abandoned)
        cancel_unread = earlier.sending or occupied >= self.context.max_streams
        self.context.violations.check(
            not cancel_unread,
            Invariant.SECOND_COPY,
            wire_id=attempt.call.wire_id,
            leaf=connection.leaf.name,
            earlier=earlier.leaf.name,
        )

    def _retire_if_silent(self, connection, attempt):
        """Retire a connection that has become silent, so that later attempts use another."""
        now_us = int(trio.current_time() * 1e6)
        if self.context.silence_detector.is_silent(
            attempt.sent_us, connection.last_frame_us, now_us
        ):
            connection.retired = True
            self.context.counts["silent"] += 1

    def _needs_close(self, connection, attempt, streams_exhausted):
        return connection_policy.must_close(
            streams_exhausted,
            connection.sending,
            attempt.part.query.outcome is not None,
            self.context.hedging_allowed,
        )

    def _abandon(self, connection, wire_id):
        connection.abandoned[wire_id] = None
        self.abandoned_on[wire_id] = connection
        if self.context.trace.enabled:
            self.context.trace.record(
                "given up",
                wire_id=wire_id,
                leaf=connection.leaf.name,
                link=id(connection),
                out=len(connection.in_flight),
                given_up=len(connection.abandoned),
                waits=connection.sending,
            )
        if len(connection.abandoned) >= MAX_ABANDONED:
            # No id is evicted: its late answer would be taken for a protocol violation.
            connection.retired = True
