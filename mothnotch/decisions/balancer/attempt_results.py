"""Handles the end of an attempt: updates what is known of its server and decides on its part."""

from mothnotch.decisions.balancer.answers import Answers
from mothnotch.decisions.balancer.placement import Placement
from mothnotch.decisions.balancer.predictor import BusyPeriodPredictor
from mothnotch.decisions.balancer.quarantine import DEATHS_MIN, KeyQuarantine
from mothnotch.decisions.balancer.records import Attempt, Part
from mothnotch.decisions.balancer.retries import Retries
from mothnotch.decisions.balancer.sending import IDLE_US, Sender
from mothnotch.decisions.balancer.turn import Turn
from mothnotch.decisions.interface import AttemptEnded, Log, Result


class AttemptResults:
    """Handles the end of each attempt."""

    def __init__(
        self,
        turn: Turn,
        placement: Placement,
        predictor: BusyPeriodPredictor,
        answers: Answers,
        sender: Sender,
        retries: Retries,
        quarantine: KeyQuarantine,
    ):
        """Initialize with the collaborators."""
        self._turn = turn
        self._placement = placement
        self._predictor = predictor
        self._answers = answers
        self._sender = sender
        self._retries = retries
        self._quarantine = quarantine

    def on_attempt_ended(self, event: AttemptEnded) -> None:
        """Record the result; then complete the attempt's part, hold it, retry it or lose it."""
        attempt = self._sender.take_attempt(event.part, event.attempt)
        if attempt is None:
            return
        part = attempt.part
        query = part.query
        result = event.result
        attempt.close(result, self._turn.now_us)
        # A reset of a connection that had been idle says little about the server.
        was_idle_reset = result is Result.BROKEN and attempt.idle_us >= IDLE_US // 2
        server_died = result is Result.BROKEN and not was_idle_reset
        if result is Result.UNREACHABLE and part.reconnect_to is attempt.server:
            server_died = True
        self._record_idle_outcome(attempt, result, event.latency_us)
        part.reconnect_to = attempt.server if was_idle_reset else None
        if not was_idle_reset and result is not Result.UNSENT:
            self._learn(attempt, result, event.latency_us)
        if server_died:
            self._record_death(query.key, attempt.server)
        if part.is_answered or part.is_lost or not query.is_open:
            return
        if result is Result.OK:
            self._complete(attempt)
        elif server_died and not part.in_flight and not query.answered_weight:
            part.is_held = True
            self._retries.release_held_parts(query)
        elif not part.in_flight:
            self._retry(part, result, was_idle_reset)

    def _record_idle_outcome(self, attempt, result, latency_us):
        # Only a loss without a response counts: waiting costs the part its latency objective,
        # whereas a reset is noticed at once.
        if attempt.idle_us < IDLE_US:
            return
        is_lost = result is Result.TIMEOUT
        if result is Result.CANCELLED:
            is_lost = attempt.server.was_stuck(attempt, self._turn.now_us, latency_us)
        self._sender.record_idle_outcome(is_lost)

    def _learn(self, attempt: Attempt, result: Result, latency_us: int):
        labelled = attempt.server.record_outcome(attempt, self._turn.now_us, result, latency_us)
        for each, label in labelled:
            self._predictor.learn(each, label)

    def _record_death(self, key, server):
        if self._quarantine.record_death(key, server.id, self._turn.now_us):
            self._turn.emit(
                Log(f"key {key} quarantined: {DEATHS_MIN} servers died while handling its queries")
            )

    def _complete(self, attempt: Attempt):
        part = attempt.part
        query = part.query
        if part.in_flight:
            self._sender.record_hedge(attempt.number > min(part.in_flight))
        part.is_answered = True
        query.answered_weight += part.weight
        self._quarantine.clear(query.key)
        self._answers.cancel(part)
        self._answers.resolve(query)
        self._retries.release_held_parts(query)

    def _retry(self, part: Part, result: Result, was_idle_reset: bool):
        # An attempt that reached no server caused no work: the next replica is tried without
        # charging a token.
        if result is Result.UNREACHABLE and self._placement.has_untried_replica(part):
            part.retry_is_charged = True
        self._retries.retry(part, is_free=was_idle_reset)
