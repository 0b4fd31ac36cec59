"""Handles parts whose attempt failed: retries them, sends spare parts instead or loses them."""

from mothnotch.decisions.balancer.answers import Answers
from mothnotch.decisions.balancer.placement import Placement
from mothnotch.decisions.balancer.quarantine import KeyQuarantine
from mothnotch.decisions.balancer.records import Part, Query
from mothnotch.decisions.balancer.retry_limits import RetryLimits
from mothnotch.decisions.balancer.sending import Sender
from mothnotch.decisions.balancer.turn import Turn


class Retries:
    """Retries parts, within the retry limits."""

    def __init__(
        self,
        turn: Turn,
        placement: Placement,
        answers: Answers,
        sender: Sender,
        retry_limits: RetryLimits,
        quarantine: KeyQuarantine,
    ):
        """Initialize with the collaborators."""
        self._turn = turn
        self._placement = placement
        self._answers = answers
        self._sender = sender
        self._retry_limits = retry_limits
        self._quarantine = quarantine

    def retry(self, part: Part, is_free: bool = False) -> None:
        """Retry the part, send a spare part instead, or mark the part as lost.

        `is_free`: the retry needs no token. A query needs more remaining tokens with each of its
        retries, so that scarce tokens go to queries that need few retries to be complete.
        """
        query = part.query
        now_us = self._turn.now_us
        if query.spare_parts:
            # Take it before marking the loss, which may end the query and drop its spare parts.
            spare_part = query.spare_parts.pop(0)
            self._answers.mark_lost(part)
            self._sender.dispatch(spare_part)
        elif self._retry_limits.may_retry(part, now_us) and (
            is_free
            or part.retry_is_charged
            or self._retry_limits.remaining(now_us) >= 1 + query.retries
        ):
            if self._placement.has_untried_replica(part):
                self._sender.dispatch(part)
            else:
                self._sender.dispatch_later(part)
        else:
            self._answers.mark_lost(part)

    def release_held_parts(self, query: Query) -> None:
        """Retry the held parts of a query once it is safe to do so, or mark them as lost.

        This protects servers against queries that crash them: a part whose server died is held
        until another part of its query has been answered, which clears the key, or until no other
        part is in flight. If the key is quarantined by then, the held parts are lost.
        """
        is_quarantined = self._quarantine.contains(query.key, self._turn.now_us)
        if not query.answered_weight and any(part.in_flight for part in query.parts):
            return
        for part in [part for part in query.parts if part.is_held]:
            part.is_held = False
            if is_quarantined:
                self._answers.mark_lost(part)
            else:
                self.retry(part)
