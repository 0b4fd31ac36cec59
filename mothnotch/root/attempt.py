"""One attempt of a part, from the balancer's decision to its completion."""

import math

from mothnotch.decisions.interface import NEVER_RAN, AttemptEnded, Result
from mothnotch.decisions.invariants import Invariant
from mothnotch.root.clock import now_us
from mothnotch.root.request_table import Part


class Attempt:
    """One attempt to have a part answered by a server.

    The leaf's driver calls `on_sending` before the first byte is sent and `on_sent` after the last,
    adds the rows that it receives, and calls `complete` once; later calls have no effect.
    """

    __slots__ = (
        "core",
        "part",
        "number",
        "server",
        "timeout_us",
        "retry_window_us",
        "dispatched_us",
        "sent_us",
        "ended",
        "call",
        "spool",
    )

    def __init__(
        self,
        core,
        part: Part,
        number: int,
        server: str,
        timeout_us: int,
        retry_window_us: float = math.inf,
    ):
        """Create an attempt of a part at a server.

        `retry_window_us`: how long after an earlier attempt that may have run this one may still be
        sent.
        """
        self.core = core
        self.part = part
        self.number = number
        self.server = server
        self.timeout_us = timeout_us
        self.retry_window_us = retry_window_us
        self.dispatched_us = now_us()
        # When its bytes were sent; until then, when it was dispatched.
        self.sent_us = self.dispatched_us
        self.ended = False
        # The leaf driver's handle of the call; None until the driver sets it.
        self.call = None
        # The rows received so far; None before the first.
        self.spool = None

    @property
    def payload(self) -> object:
        """The content that the leaf's driver sends."""
        return self.part.spec.payload

    @property
    def deadline(self) -> float:
        """The time at which the attempt times out, in seconds of trio's clock.

        It is sent to the leaf, and is never later than the client's deadline.
        """
        return min(self.dispatched_us + self.timeout_us, self.part.query.request.deadline_us) / 1e6

    @property
    def past_retry_window(self) -> bool:
        """Whether the attempt may no longer be sent or take effect.

        An earlier attempt of the same part may have run, so this one could take effect a second
        time.
        """
        others = [
            sent_us
            for number, sent_us in self.part.sent_us_by_attempt.items()
            if number != self.number
        ]
        return bool(others) and now_us() > min(others) + self.retry_window_us

    @property
    def is_superseded(self) -> bool:
        """Whether the attempt is no longer needed.

        Its part was answered by another attempt, or its query has its final answer.
        """
        return self.part.rows is not None or self.part.query.outcome is not None

    def exceeds_retry_budget(self, others: list["Attempt"]) -> bool:
        """Return whether this is a retry for which no retry budget is left now.

        `others`: attempts that will be sent together with this one.
        """
        retries_ahead = sum(other.part.has_begun_sending for other in others)
        return self.part.has_begun_sending and not self.core.retry_budget.may_send(
            now_us(), retries_ahead
        )

    def on_sending(self):
        """Record that its first byte is about to be sent."""
        if self.part.has_begun_sending:
            self.core.retry_budget.record_sent(now_us())
        self.part.has_begun_sending = True

    def on_sent(self, at_us: int):
        """Record that its last byte was sent; from then on it may run."""
        self._check_send(at_us)
        self.sent_us = at_us
        self.part.sent_us_by_attempt[self.number] = at_us

    def _check_send(self, at_us):
        violations = self.core.violations
        violations.check(
            not self.is_superseded, Invariant.SENT_AFTER_END, part=self.part.id, server=self.server
        )
        violations.check(
            not self.past_retry_window,
            Invariant.SENT_PAST_WINDOW,
            part=self.part.id,
            server=self.server,
        )
        violations.check(
            self.core.slow_start.record_send(self.server, at_us),
            Invariant.SLOW_START_EXCEEDED,
            server=self.server,
        )

    def add_row(self, row: object, size: int):
        """Store a received row of `size` bytes, unless the attempt or its query has ended.

        If neither memory nor disk has space, the query ends with its overflow error.
        """
        core = self.core
        query = self.part.query
        if self.ended or query.outcome is not None:
            return
        if self.spool is None:
            self.spool = core.row_storage.spool(core.storage_of(query))
        try:
            self.spool.add(row, size)
        except core.row_storage.error as error:
            core.log.warning(
                "no memory or disk space for a query's rows", query=query.id, why=str(error)
            )
            core.query_error(query, query.request.overflow_error)

    def take_rows(self) -> object:
        """Return the rows stored so far and hand them over to the caller."""
        rows = self.spool
        self.spool = None
        return () if rows is None else rows

    def complete(
        self,
        result: Result,
        rows: object = None,
        report: dict[str, float] | None = None,
        at_us: int | None = None,
    ):
        """End the attempt, and tell the balancer the result.

        With OK, `rows` is the part's answer. `report`: the leaf's load report. `at_us`: when the
        result was received, if that is known to be earlier than now.
        """
        if self.ended:
            return
        self.ended = True
        core = self.core
        part = self.part
        # Measured from when the attempt was sent: the time taken to connect says nothing about how
        # fast the leaf answers.
        latency_us = max(0, (now_us() if at_us is None else at_us) - self.sent_us)
        self._record_result(result, rows, latency_us)
        if core.trace.enabled:
            core.trace.record(
                "attempt ended",
                part=part.id,
                attempt=self.number,
                leaf=self.server,
                result=result.value,
            )
        if result in NEVER_RAN:
            part.sent_us_by_attempt.pop(self.number, None)
        if self.spool is not None:
            self.spool.close()
        core.request_table.end_attempt(part, self.number)
        core.post(AttemptEnded(part.id, self.number, self.server, result, latency_us, report))

    def _record_result(self, result, rows, latency_us):
        part = self.part
        if result is not Result.OK:
            part.last_failure = result
            return
        part.rows = rows
        part.latency_us = latency_us
        part.server = self.server
        part.answered_us = now_us()

    def query_error(self, error: object):
        """Make the leaf's error, which the query itself caused, the query's final answer.

        It does not count against the server.
        """
        self.complete(Result.OK)
        self.core.query_error(self.part.query, error)
