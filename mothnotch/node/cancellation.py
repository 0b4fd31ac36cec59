"""Cancels attempts that nobody waits for any more, and knows which of them a leaf may still run.

A cancelled id is abandoned: it stays known, and keeps its place on the connection, until the leaf
has answered it. Bound: MAX_ABANDONED on a connection, past which it takes nothing new.
"""

import trio

from mothnotch.decisions import connection_policy
from mothnotch.decisions.interface import Result
from mothnotch.decisions.invariants import Invariant
from mothnotch.node import frames
from mothnotch.node.call_context import CallContext
from mothnotch.node.closing import LeafCloseReason
from mothnotch.node.leaf_connection import CallHandle, LeafConnection

# Ids abandoned on one connection, with which it takes nothing new: a leaf that answers no cancelled
# call must not grow the table without end.
MAX_ABANDONED = 1024


class Cancellation:
    """The cancelled attempts of a pool's connections."""

    def __init__(self, context: CallContext):
        """Nothing is cancelled yet."""
        self.context = context
        # Wire id -> the connection on which it is abandoned; bounded by the connections' own.
        self.abandoned_on = {}

    def cancel(self, call: CallHandle, attempt):
        """Cancel an attempt, and notify its leaf unless its frame was never sent."""
        connection = call.connection
        connection.requeue_unsent()
        if attempt in connection.queued:
            connection.queued.remove(attempt)
            return
        if connection.dead or connection.in_flight.get(call.wire_id) is not attempt:
            return
        full = len(connection.in_flight) >= self.context.max_streams
        del connection.in_flight[call.wire_id]
        self.context.counts["given_up"] += 1
        if call.sent and not connection.retired:
            self._retire_if_silent(connection, attempt)
        if not call.sent or self._needs_close(connection, attempt, full):
            # Of a frame that is partly sent none may run; of one that is sent, only a close is
            # quick enough.
            connection.close(LeafCloseReason.GIVEN_UP)
            return
        self._abandon(connection, call.wire_id)
        connection.send(frames.encode_cancel(call.wire_id))
        if self._needs_close(connection, attempt, False):
            # The message wasn't sent at once: another attempt would overtake it.
            connection.close(LeafCloseReason.GIVEN_UP)
            return
        connection.on_attempt_removed()

    def on_timeout(self, attempt, _now_s: float):
        """End an attempt that is out at its deadline, and cancel it."""
        call = attempt.call
        attempt.complete(Result.TIMEOUT if call.sent else Result.UNREACHABLE)
        self.cancel(call, attempt)

    def on_late_answer(self, connection: LeafConnection, wire_id: str):
        """Forget an abandoned id whose answer came: it counts for nothing."""
        del connection.abandoned[wire_id]
        self.abandoned_on.pop(wire_id, None)
        self.context.counts["late"] += 1

    def on_closed(self, connection: LeafConnection):
        """Forget the ids abandoned on a connection that is closed: its leaf has dropped them."""
        for wire_id in connection.abandoned:
            if self.abandoned_on.get(wire_id) is connection:
                del self.abandoned_on[wire_id]

    def check_second_copy(self, connection: LeafConnection, attempt):
        """Check, as an attempt is sent, that no earlier one of its part is still at a leaf that
        cannot read that it is cancelled.
        """
        earlier = self.abandoned_on.get(attempt.call.wire_id)
        if earlier is None or self.context.hedging_allowed:
            return
        taken = len(earlier.in_flight) + len(earlier.abandoned)
        unread = earlier.sending or taken >= self.context.max_streams
        self.context.violations.check(
            not unread,
            Invariant.SECOND_COPY,
            wire_id=attempt.call.wire_id,
            leaf=connection.leaf.name,
            earlier=earlier.leaf.name,
        )

    def _retire_if_silent(self, connection, attempt):
        """Have what is sent next open a connection of its own if this one has fallen silent."""
        now_us = int(trio.current_time() * 1e6)
        if self.context.silence_detector.is_silent(
            attempt.sent_us, connection.last_frame_us, now_us
        ):
            connection.retired = True
            self.context.counts["silent"] += 1

    def _needs_close(self, connection, attempt, full):
        return connection_policy.must_close(
            full,
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
            # None is forgotten: its late answer would count as a broken protocol.
            connection.retired = True
