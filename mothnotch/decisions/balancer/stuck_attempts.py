"""Reviews attempts after their timeout: a stuck one is hedged if allowed, else moved."""

from mothnotch.decisions.balancer.placement import Placement
from mothnotch.decisions.balancer.records import Attempt
from mothnotch.decisions.balancer.retry_limits import RetryLimits
from mothnotch.decisions.balancer.sending import Sender
from mothnotch.decisions.balancer.statistics import FleetMeans
from mothnotch.decisions.balancer.turn import Turn
from mothnotch.decisions.interface import Cancel, Settings


class StuckAttempts:
    """Moves or hedges attempts at servers that do not respond; a busy server keeps its parts."""

    def __init__(
        self,
        turn: Turn,
        settings: Settings,
        placement: Placement,
        sender: Sender,
        retry_limits: RetryLimits,
        fleet: FleetMeans,
    ):
        """Initialize and register as the reviewer of the sender's attempts."""
        self._turn = turn
        self._settings = settings
        self._placement = placement
        self._sender = sender
        self._retry_limits = retry_limits
        self._fleet = fleet
        sender.review = self.review

    def review(self, attempt: Attempt) -> None:
        """Move or hedge the attempt if it is stuck and another server is expected to be faster.

        Moving it means to cancel it and retry its part elsewhere. Moves and hedges share the tokens
        of retries, which prevents a storm when all servers are slow.
        """
        part = attempt.part
        now_us = self._turn.now_us
        if attempt.number not in part.in_flight or not part.query.is_open:
            return
        if len(part.in_flight) > 1:
            return
        is_stuck = attempt.server.is_stuck(attempt, now_us)
        if is_stuck and part.query.spare_parts and not attempt.has_substitute:
            attempt.has_substitute = True
            is_stuck = False
            self._sender.dispatch(part.query.spare_parts.pop(0))
        best = self._better_server(attempt) if is_stuck else None
        if best is None:
            tick_us = self._settings.tick_us
            wait_us = max(tick_us, self._fleet.median_latency_us or 0)
            self._turn.call_later(wait_us, self.review, attempt)
        elif self._settings.limits.hedging:
            self._sender.send(part, best, to_home=False)
        elif self._settings.limits.cancel:
            self._turn.emit(Cancel(part.id, attempt.number))
            self._retry_limits.record_retry(now_us)  # charged now, so that the next review sees it
            part.retry_is_charged = True

    def _better_server(self, attempt):
        """Return the server that the part should be sent to instead; None if it should wait."""
        part = attempt.part
        query_class = part.query.query_class
        now_us = self._turn.now_us
        untried = [
            server
            for server in self._placement.ready_replicas(part)
            if server not in part.servers_tried
        ]
        best = self._placement.best_server(untried, query_class)
        if best is None or best.is_outlier(now_us, query_class):
            return None
        if not self._retry_limits.may_retry(part, now_us):
            return None
        if best.expected_latency_us(now_us, query_class) > now_us - attempt.sent_us:
            return None
        return best if self._retry_limits.may_move(now_us) else None
