"""Records how attempts end at a root, and which of them the balancer counted as failures."""

import contextlib
from dataclasses import dataclass

from mothnotch.decisions import interface as i


@dataclass
class RecordedAttempt:
    """How an attempt ended, and whether the balancer counted it as a failure of its leaf."""

    part: str
    leaf: str
    result: i.Result
    # Whether the attempt had exceeded its timeout and its leaf had been unresponsive for as long.
    stuck: bool
    counted_as_failure: bool

    @property
    def cancelled_while_stuck(self):
        """The only end without a failure of the attempt that counts against its leaf.

        The rule is in docs/design.md.
        """
        return self.result is i.Result.CANCELLED and self.stuck


@contextlib.contextmanager
def record_attempts(balancer):
    """Yield the list of attempts that end within the block; it grows as they end."""
    recorded, on_attempt_ended = [], balancer.handlers[i.AttemptEnded]

    def record(event):
        attempt = balancer.sender.attempts.get((event.part, event.attempt))
        if attempt is None:
            on_attempt_ended(event)
            return
        server, now = attempt.server, balancer.turn.now_us
        stuck = now - attempt.sent_us >= attempt.timeout_us and server.is_stuck(attempt, now)
        before = dict(server.failure_rates)
        on_attempt_ended(event)
        counted_as_failure = any(
            rate > before.get(query_class, before[None])
            for query_class, rate in server.failure_rates.items()
        )
        recorded.append(
            RecordedAttempt(event.part, server.id, event.result, stuck, counted_as_failure)
        )

    balancer.handlers[i.AttemptEnded] = record
    try:
        yield recorded
    finally:
        balancer.handlers[i.AttemptEnded] = on_attempt_ended
