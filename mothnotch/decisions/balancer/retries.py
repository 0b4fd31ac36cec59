"""What becomes of a part whose attempt failed: a retry, a spare part in its place, or its loss."""

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
        """Make it from what it asks and what it hands parts to."""
        self._turn = turn
        self._placement = placement
        self._answers = answers
        self._sender = sender
        self._retry_limits = retry_limits
        self._quarantine = quarantine

    def retry(self, part: Part, is_free: bool = False) -> None:
        """Retry the part, or put a spare part in its place, or lose it.

        What is left of the tokens goes to the queries that need few retries to be complete.
        """
        query = part.query
        now_us = self._turn.now_us
        if query.spare_parts:
            # Taken first: the loss may end the query, which drops its spare parts.
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

    def release_held(self, query: Query) -> None:
        """Retry the held parts once the query's key is known to be harmless, or lose them.

        Guards against queries that bring down the servers that begin them: a part whose server died
        waits until another part of its query has been answered, which clears the key, or none is in
        flight any more.
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
