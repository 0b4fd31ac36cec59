"""The table of open queries and parts, and the limits on their numbers."""

import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from mothnotch.decisions.interface import Result
from mothnotch.decisions.outcomes import FinalStatus
from mothnotch.root.request import Outcome, PartSpec, Request


class OverloadedError(Exception):
    """The root is overloaded; the request was not accepted."""

    def __init__(self, reason: str, retry_after_us: int = 0):
        """Store the reason, and the delay before a retry in microseconds; 0: no advice."""
        super().__init__(reason, retry_after_us)
        self.reason = reason
        self.retry_after_us = retry_after_us


@dataclass(slots=True, eq=False)
class Part:
    """One part of a query, and the state of its attempts."""

    id: str
    spec: PartSpec
    query: "Query"
    # Number of attempts so far, which is also the number of the next one.
    attempt_count: int = 0
    # Attempts in flight, by number.
    in_flight: dict[int, object] = field(default_factory=dict)
    # Send times of the attempts that may have run, by number.
    sent_us_by_attempt: dict[int, int] = field(default_factory=dict)
    # The rows of its answer; None until it is answered.
    rows: object = None
    # The answer's latency, the leaf that gave it, and when it was received.
    latency_us: int = 0
    server: str = ""
    answered_us: int = 0
    # Result of the last attempt that ended without an answer.
    last_failure: Result | None = None
    # Whether sending of any of its attempts has begun.
    has_begun_sending: bool = False
    # Whether a COMMIT was sent for it, so that it may have taken effect.
    commit_sent: bool = False


@dataclass(slots=True, eq=False)
class Query:
    """One accepted query, kept until the balancer knows that it has ended."""

    id: str
    number: int
    request: Request
    # Called once with the outcome, in the turn that decides it.
    on_final: Callable[[Outcome], None]
    # Checks whether the client has disconnected when that may not have been read yet.
    has_disconnected: Callable[[], bool] = lambda: False
    parts: list[Part] = field(default_factory=list)
    outcome: Outcome | None = None
    # The storage of its rows; None before the first row.
    storage: object = None
    # The earliest time by which it was asked to end, in microseconds.
    ends_by_us: float = math.inf
    # Whether its client's leaving cannot be seen, so that no attempt may begin any more.
    client_is_unseen: bool = False
    # Whether the balancer knows that the query has ended, so that it sends no new attempts.
    released: bool = False

    @property
    def may_still_run(self) -> bool:
        """Return whether an attempt of it is in flight."""
        return any(part.in_flight for part in self.parts)

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt of it was sent that is not known to have never run."""
        return any(part.sent_us_by_attempt for part in self.parts)

    def undecided_outcome(self) -> Outcome:
        """Return the final answer if the balancer decided none: rejected if none can have run."""
        ran = self.may_have_run or self.may_still_run
        return Outcome(FinalStatus.FAILED if ran else FinalStatus.REJECTED, may_have_run=ran)


class RequestTable:
    """The open queries and parts by id, and the queries closed in the current turn.

    Bounds: `max_queries` queries, and `max_open` queries and parts together. A part outlives its
    query while an attempt of it is in flight, and counts towards the bound until then.
    """

    def __init__(self, max_queries: int, max_open: float):
        """Create an empty table with these bounds."""
        self.queries = {}
        self.parts = {}
        self._max_queries = max_queries
        self._max_open = max_open
        self._numbers = itertools.count(1)
        self._closed = []

    def next_number(self) -> int:
        """Return a new unique number for a query."""
        return next(self._numbers)

    @property
    def is_full(self) -> bool:
        """Whether the table accepts no more queries."""
        return (
            len(self.queries) >= self._max_queries
            or len(self.queries) + len(self.parts) >= self._max_open
        )

    def add_query(
        self,
        request: Request,
        on_final: Callable[[Outcome], None],
        has_disconnected: Callable[[], bool] | None = None,
    ) -> Query:
        """Add an open query, without its parts."""
        number = self.next_number()
        query = Query(f"q{number}", number, request, on_final)
        if has_disconnected is not None:
            query.has_disconnected = has_disconnected
        self.queries[query.id] = query
        return query

    def add_part(self, query: Query, number: int, spec: PartSpec) -> Part:
        """Add an open part of a query."""
        part = Part(f"{query.id}.{number}", spec, query)
        query.parts.append(part)
        self.parts[part.id] = part
        return part

    def close(self, query: Query):
        """Remove a query; its parts remain until `release_closed`."""
        del self.queries[query.id]
        self._closed.append(query)

    def release_closed(self):
        """Remove the parts of closed queries, except those with attempts in flight."""
        for query in self._closed:
            query.released = True
            for part in query.parts:
                part.rows = None
                if not part.in_flight:
                    del self.parts[part.id]
            # Parts refer to their query. Breaking this reference cycle frees the query at once;
            # otherwise the pauses of the garbage collector would stall the root.
            query.parts = ()
        self._closed = []

    def end_attempt(self, part: Part, number: int):
        """Remove an ended attempt from its part.

        Remove the part too if its query was released and no other attempt of it is in flight.
        """
        del part.in_flight[number]
        if part.query.released and not part.in_flight:
            del self.parts[part.id]
