"""Carry out the balancer's actions; no decision is made here."""

from mothnotch.decisions import coverage
from mothnotch.decisions.interface import (
    Answer,
    Cancel,
    Disconnect,
    Fail,
    HealthCheck,
    Log,
    Reject,
    Result,
    Send,
    SetTimer,
    Subscribe,
)
from mothnotch.decisions.outcomes import FinalStatus
from mothnotch.root.attempt import Attempt
from mothnotch.root.request import Outcome


class ActionHandlers:
    """One handler for each kind of action.

    `pending_sends` maps each server to the attempts decided in this turn, in order. Bounds: it
    holds the attempts of one turn; the dispatcher empties it at the end of the turn.
    """

    def __init__(self, core):
        """Create handlers that act on the core's table, leaves and counters."""
        self._core = core
        self.pending_sends = {}

    def by_kind(self) -> dict:
        """Return the handler of each kind of action."""
        return {
            Send: self.send,
            Cancel: self.cancel,
            Answer: self.answer,
            Reject: self.reject,
            Fail: self.fail,
            SetTimer: self.set_timer,
            HealthCheck: self.check_health,
            Disconnect: self.disconnect,
            Subscribe: self.subscribe,
            Log: self.log,
        }

    # ---- attempts ----

    def send(self, action: Send):
        """Create an attempt, to be sent at the end of the turn."""
        core = self._core
        part = core.parts[action.part]
        attempt = Attempt(
            core, part, part.attempt_count, action.server, action.timeout_us, action.retry_window_us
        )
        part.in_flight[part.attempt_count] = attempt
        part.attempt_count += 1
        if part.query.outcome is not None:
            # The client disconnected before this decision was carried out: nothing is sent after a
            # final answer.
            attempt.complete(Result.UNSENT)
            return
        if part.query.client_is_unseen:
            attempt.complete(Result.UNSENT)
            core.shorten_deadline(part.query, core.dispatcher.now_us)
            return
        core.counts["sends"] += 1
        if core.trace.enabled:
            core.trace.record(
                "attempt",
                part=action.part,
                attempt=attempt.number,
                leaf=action.server,
                limit_us=action.timeout_us,
                after=part.last_failure.value if part.last_failure else None,
            )
        self.pending_sends.setdefault(action.server, []).append(attempt)

    def cancel(self, action: Cancel):
        """Cancel an attempt, if it is still in flight."""
        part = self._core.parts.get(action.part)
        attempt = part and part.in_flight.get(action.attempt)
        if attempt is None:
            return
        same_turn = self.pending_sends.get(attempt.server, [])
        if attempt in same_turn:
            same_turn.remove(attempt)
            attempt.complete(Result.UNSENT)
            return
        if attempt.call is None or attempt.call.sent:
            attempt.complete(Result.CANCELLED)
        elif not attempt.is_superseded:
            # Cancelled before any byte was sent, so it has not run. Its part is still unanswered:
            # the wait for a connection counts against the leaf.
            attempt.complete(Result.UNREACHABLE)
        else:
            attempt.complete(Result.UNSENT)
        if attempt.call is not None:
            attempt.call.cancel(attempt)

    # ---- final answers ----

    def answer(self, action: Answer):
        """Answer a query with the parts that have been answered."""
        core = self._core
        query = core.queries.get(action.query)
        if query is None:
            return
        core.counts["in_part"] += not action.complete
        self._finish(action.query, self._answered(query, action.complete), "answered")

    def _answered(self, query, complete):
        """Return the outcome of a query, with the rows of its answered parts."""
        now_us = self._core.dispatcher.now_us
        outcome = Outcome(FinalStatus.ANSWERED, complete)
        for number, part in enumerate(query.parts):
            if part.rows is not None:
                outcome.rows[number] = part.rows
                outcome.latencies_us.append(part.latency_us)
                outcome.sources[number] = (part.server, now_us - part.answered_us)
            elif part.in_flight:
                outcome.missing_reasons[number] = coverage.IN_FLIGHT_REASON
            else:
                outcome.missing_reasons[number] = coverage.MISSING_REASONS[part.last_failure]
        return outcome

    def reject(self, action: Reject):
        """Reject a query, and advise the client when to retry."""
        outcome = Outcome(FinalStatus.REJECTED, retry_after_us=action.retry_after_us)
        self._finish(action.query, outcome, "refused", action.reason)

    def fail(self, action: Fail):
        """Fail a query, and state whether it may have taken effect."""
        core = self._core
        query = core.queries.get(action.query)
        # The query's attempts are cancelled in this same turn, so no COMMIT can be sent later.
        commit_sent = query is not None and any(part.commit_sent for part in query.parts)
        may_have_run = not core.settings.limits.cancel or commit_sent
        outcome = Outcome(FinalStatus.FAILED, may_have_run=may_have_run)
        self._finish(action.query, outcome, "failed", action.reason)

    def _finish(self, query_id, outcome, counter, reason=""):
        core = self._core
        query = core.queries.get(query_id)
        if query is None:
            # The client disconnected earlier in this turn.
            return
        if core.trace.enabled:
            core.trace.record("final", query=query_id, outcome=counter, why=reason)
        if reason:
            core.reason_counts[reason] = core.reason_counts.get(reason, 0) + 1
        core.counts[counter] += 1
        core.close(query, outcome)

    # ---- other actions ----

    def set_timer(self, action: SetTimer):
        """Schedule the next call of the balancer after a delay."""
        self._core.dispatcher.set_timer(action.delay_us)

    def check_health(self, action: HealthCheck):
        """Send a server a health check."""
        self._core.leaves.check_health(action.server, self._core.post)

    def disconnect(self, action: Disconnect):
        """Close the idle connections to a server."""
        self._core.leaves.disconnect(action.server)

    def subscribe(self, action: Subscribe):
        """Wake the discovery watch, so that it requests the endpoint list again."""
        self._core.request_endpoints()

    def log(self, action: Log):
        """Write the balancer's message to the log."""
        self._core.log.info("module", text=action.text)
