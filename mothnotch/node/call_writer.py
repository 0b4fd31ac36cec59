"""Writes one call's frame, of those attempts that may still go at the last point before it."""

import trio

from mothnotch.decisions import connection_policy
from mothnotch.decisions.interface import Result
from mothnotch.decisions.invariants import DEADLINE_SLACK_S, Invariant
from mothnotch.node import frames
from mothnotch.node.call_context import CallContext
from mothnotch.node.leaf_connection import LeafConnection, UnsentFrame


class CallWriter:
    """The frames of a pool's connections, on their way to the leaves."""

    def __init__(self, context: CallContext):
        """`context`: the pool's, of which it counts `frames` and `held_back`."""
        self.context = context

    @staticmethod
    def withheld_result(
        attempt, now_s: float, takes_new: bool = True, temporarily_blocked: bool = False
    ) -> Result | None:
        """Return how an attempt that was queued ends if it may not go (on) any more, else None.

        A drain counts from a frame's first byte: for one that is partly sent nothing is asked of
        the leaf.
        """
        return connection_policy.withheld_result(
            takes_new,
            attempt.is_superseded,
            attempt.past_retry_window,
            attempt.deadline - now_s,
            temporarily_blocked,
        )

    def write(self, connection: LeafConnection, attempts: list):
        """Write one frame with those of the attempts that may still go; the others end."""
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
                self._client_may_have_disconnected(attempt)
                or attempt.exceeds_retry_budget(sending),
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

    def _client_may_have_disconnected(self, attempt):
        """Whether the client of an attempt has disconnected, where that may lie unread: after a
        stall of the root's.
        """
        return (
            connection_policy.client_may_have_disconnected(self.context.network.unseen_s())
            and attempt.part.query.has_disconnected()
        )

    def _call_part(self, attempt, now_s):
        """What the frame says of an attempt: its deadline as milliseconds from now, never 0, as a
        leaf would read that as none.
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
