"""Writes call frames, after a final check of which attempts may still be sent."""

import trio

from mothnotch.decisions import connection_policy
from mothnotch.decisions.interface import Result
from mothnotch.decisions.invariants import DEADLINE_SLACK_S, Invariant
from mothnotch.node import frames
from mothnotch.node.call_context import CallContext
from mothnotch.node.closing import LeafCloseReason
from mothnotch.node.leaf_connection import LeafConnection, UnsentFrame


class CallWriter:
    """Writes the call frames of a pool's connections."""

    def __init__(self, context: CallContext):
        """`context`: the pool's; the writer updates its `frames` and `held_back` counters."""
        self.context = context

    @staticmethod
    def withheld_result(
        attempt, now_s: float, takes_new: bool = True, temporarily_blocked: bool = False
    ) -> Result | None:
        """Return the result of a queued attempt that must not be sent; None if it may be sent.

        Callers omit `takes_new` for a partly sent frame: a drain that begins after the first byte
        does not stop the frame.
        """
        return connection_policy.withheld_result(
            takes_new,
            attempt.is_superseded,
            attempt.past_retry_window,
            attempt.deadline - now_s,
            temporarily_blocked,
        )

    def write(self, connection: LeafConnection, attempts: list):
        """Write one call frame with the attempts that may still be sent; complete the others."""
        now_s = trio.current_time()
        parts = []
        sending = []
        for attempt in attempts:
            if attempt.ended:
                continue
            result = self.withheld_result(
                attempt,
                now_s,
                connection.leaf.takes_new and connection.address == connection.leaf.address,
                self._has_unread_disconnect(attempt) or attempt.exceeds_retry_budget(sending),
            )
            if result is not None:
                self.context.counts["held_back"] += 1
                attempt.complete(result)
                continue
            connection.in_flight[attempt.call.wire_id] = attempt
            sending.append(attempt)
            parts.append(self._call_part(attempt, now_s))
        if sending:
            self.context.counts["frames"] += 1
            data = frames.encode_call(parts)
            begin_offset = connection.written_bytes
            connection.unsent_frames.append(
                UnsentFrame(begin_offset, begin_offset + len(data), sending)
            )
            connection.send(data)
            if connection.unsent and not connection.is_closed:
                connection.note_unsent()
                self._reduce_unsent()

    def _reduce_unsent(self):
        """Close connections to leaves that do not read, until the memory for calls suffices."""
        budget = self.context.memory.unsent_calls
        while budget.is_exceeded:
            budget.largest(budget.holders()).close(LeafCloseReason.CALL_NOT_TAKEN)

    def _has_unread_disconnect(self, attempt):
        """Return whether the attempt's client may have disconnected without being noticed.

        After a stall of the root, a disconnect may be unread in the client's socket. It cannot be
        read while too much input is before it.
        """
        return attempt.part.query.client_is_unseen or (
            connection_policy.client_may_have_disconnected(self.context.network.max_unread_age_s())
            and attempt.part.query.has_disconnected()
        )

    def _call_part(self, attempt, now_s):
        """Build an attempt's part of the call frame.

        Its deadline is in milliseconds from now and at least 1, as 0 would mean no deadline.
        """
        deadline_ms = max(1, int((attempt.deadline - now_s) * 1000))
        left_s = attempt.part.query.request.deadline_us / 1e6 - now_s
        self.context.violations.check(
            deadline_ms / 1000 <= max(0, left_s) + DEADLINE_SLACK_S,
            Invariant.TOLD_TOO_LONG,
            wire_id=attempt.call.wire_id,
            told_ms=deadline_ms,
            left_s=left_s,
        )
        attempt.call.deadline_ms = deadline_ms
        return frames.CallPart(
            attempt.call.wire_id,
            attempt.part.spec.shard,
            deadline_ms,
            attempt.payload.key,
            attempt.payload.text,
        )
