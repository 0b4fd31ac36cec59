"""When a query gets its final answer, and which attempts are cancelled with it."""

from mothnotch.decisions.balancer.records import OpenQueries, Part, Query
from mothnotch.decisions.balancer.turn import Turn
from mothnotch.decisions.interface import (
    Answer,
    Cancel,
    ClientDisconnected,
    Fail,
    Idempotency,
    Reject,
    Settings,
)

REJECT_RETRY_AFTER_US = 300_000  # advice to the client of a rejected query
WEIGHT_TOLERANCE = 1e-4  # allows for rounding errors in sums of weights


class Answers:
    """Gives each query exactly one final answer: `Answer`, `Reject` or `Fail`."""

    def __init__(self, turn: Turn, settings: Settings, queries: OpenQueries):
        """Initialize for these open queries."""
        self._turn = turn
        self._settings = settings
        self._queries = queries

    def on_client_disconnected(self, event: ClientDisconnected) -> None:
        """Drop a query whose client has disconnected."""
        query = self._queries.by_id.get(event.query)
        if query is not None:
            self._close(query)

    def resolve(self, query: Query) -> None:
        """Give the query its final answer if it is due.

        A query is answered as soon as its answered parts make a complete answer. From the latency
        objective on, or when no more parts can come, it is answered with any weight that its class
        accepts: at that point a partial answer is worth more than a complete one later.
        """
        if not query.is_open:
            return
        query_class = query.query_class
        now_us = self._turn.now_us
        # A second step that has no parts yet has not ended: they are still to arrive.
        all_parts_ended = query.parts and all(
            part.is_answered or part.is_lost for part in query.parts
        )
        if query.step == 1:
            is_complete = query.answered_weight >= query_class.complete_weight - WEIGHT_TOLERANCE
        else:
            is_complete = all_parts_ended and not query.lost_weight
        max_possible_weight = 1 - query.lost_weight
        if is_complete:
            self._answer(query, query.first_step_complete)
        elif (
            all_parts_ended or now_us >= query.objective_at_us
        ) and query.answered_weight >= query_class.min_answer_weight - WEIGHT_TOLERANCE:
            self._answer(query, False)
        elif now_us >= query.give_up_at_us:
            self.reject_or_fail(query, "its time is over")
        elif all_parts_ended or max_possible_weight < query_class.min_weight - WEIGHT_TOLERANCE:
            self.reject_or_fail(query, "too many parts are lost")

    def mark_lost(self, part: Part) -> None:
        """Mark the part as lost: no answer to it is expected. This may end its query."""
        part.is_lost = True
        part.query.lost_weight += part.weight
        self.resolve(part.query)

    def reject_or_fail(self, query: Query, reason: str) -> None:
        """End the query unanswered: reject it if the client may safely retry, else fail it."""
        is_idempotent = query.query_class.idempotency is Idempotency.IDEMPOTENT
        if is_idempotent or not any(part.may_have_run_us for part in query.parts):
            retry_after_us = self._settings.limits.max_retry_after_us
            if self._turn.now_us < query.give_up_at_us:
                retry_after_us = min(REJECT_RETRY_AFTER_US, retry_after_us)
            self._turn.emit(Reject(query.id, retry_after_us, reason))
        else:
            self._turn.emit(Fail(query.id, reason))
        self._close(query)

    def cancel(self, part: Part) -> None:
        """Cancel the part's attempts in flight, if the deployment allows it."""
        if self._settings.limits.cancel:
            for number in part.in_flight:
                self._turn.emit(Cancel(part.id, number))
            part.in_flight = {}

    def _answer(self, query, is_complete):
        self._turn.emit(Answer(query.id, is_complete))
        if query.step == 1 and query.query_class.second_step_parts:
            for part in query.begin_second_step(is_complete):
                self.cancel(part)
        else:
            self._close(query)

    def _close(self, query):
        query.is_open = False
        self._queries.remove(query)
        parts = query.parts
        # Break the reference cycles: the pauses of the garbage collector delay all other queries.
        query.parts = []
        query.spare_parts = []
        for part in parts:
            self.cancel(part)
