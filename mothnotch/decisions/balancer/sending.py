"""Sends the attempts of parts, and sets their timeouts."""

from collections.abc import Callable

from mothnotch.decisions.balancer.answers import Answers
from mothnotch.decisions.balancer.placement import Placement
from mothnotch.decisions.balancer.records import Attempt, Part
from mothnotch.decisions.balancer.retry_limits import RetryLimits
from mothnotch.decisions.balancer.server_health import OUTLIER_FAILURE_RATE, ZONE_WEIGHT, Server
from mothnotch.decisions.balancer.statistics import FleetMeans, RunningShare
from mothnotch.decisions.balancer.turn import Turn
from mothnotch.decisions.interface import Disconnect, Idempotency, Send, Settings

# Delay of a part if no replica has capacity for it, or if all replicas have been tried.
NO_CAPACITY_WAIT_US = 40_000
IDLE_US = 1_000_000  # a connection idle for this long may be lost without notice
IDLE_LOSS_DECAY_US = 10_000_000  # losses on idle connections are forgotten after this time

TIMEOUT_MULTIPLE = 3.0  # an attempt is reviewed after this multiple of its typical latency
# Without a retry budget that bounds the cost of moves, an attempt is moved only after this multiple
# of its typical latency: in a burst, heavy work would be moved back and forth, which adds load.
MOVE_DELAY_MULTIPLE = 2.0


class Sender:
    """Owns the attempts in flight, and the statistics on idle connections and hedging."""

    def __init__(
        self,
        turn: Turn,
        settings: Settings,
        placement: Placement,
        answers: Answers,
        retry_limits: RetryLimits,
        fleet: FleetMeans,
    ):
        """Initialize without attempts; `review` is set by `StuckAttempts`."""
        self.attempts = {}  # (part, number) -> Attempt
        self.review: Callable[[Attempt], None] | None = None
        self._turn = turn
        self._settings = settings
        self._placement = placement
        self._answers = answers
        self._retry_limits = retry_limits
        self._fleet = fleet
        self._idle_losses = RunningShare()  # of the attempts sent on idle connections
        self._hedge_wins = RunningShare()  # of the hedged parts: the later attempt won

    def dispatch(self, part: Part) -> None:
        """Send the part's next attempt, or mark the part as lost if none may be sent."""
        if part.is_answered or part.is_lost or part.in_flight or not part.query.is_open:
            return
        now_us = self._turn.now_us
        query_class = part.query.query_class
        ready = self._placement.ready_replicas(part)
        has_no_replica = not ready and not self._placement.replicas(part)
        # The rules limit what is sent, so the retry limits are checked here, right before sending.
        if has_no_replica or part.servers_tried and not self._retry_limits.may_retry(part, now_us):
            self._answers.mark_lost(part)
        elif not ready:
            self.dispatch_later(part)
        elif part.reconnect_to in ready:
            self.send(part, part.reconnect_to, to_home=False)
        elif part.servers_tried:
            untried = [server for server in ready if server not in part.servers_tried]
            best = self._placement.best_server(untried or ready, query_class)
            self.send(part, best, to_home=False)
        else:
            server = self._placement.choose_first(part, ready)
            self.send(part, server, to_home=server is ready[0])

    def dispatch_later(self, part: Part) -> None:
        """Dispatch the part after a short delay, as no replica can take it now."""
        self._turn.call_later(NO_CAPACITY_WAIT_US, self.dispatch, part)

    def send(self, part: Part, server: Server, to_home: bool) -> None:
        """Send an attempt of the part to the server; `to_home`: it was chosen as its home."""
        now_us = self._turn.now_us
        if part.servers_tried:
            self._retry_limits.record_retry(now_us, 1 - part.retry_is_charged)
            part.query.retries += 1
            part.retry_is_charged = False
        server.record_send(now_us, part.cost_us + self._settings.call_overhead_us)
        self._close_idle_connections(server, part)
        attempt = Attempt(part, server, now_us, to_home)
        self.attempts[part.id, attempt.number] = attempt
        review_after_us = self._set_timeout(attempt)
        # Without cancellation, a timeout is the only way to end a stuck attempt.
        send_timeout_us = part.query.give_up_at_us - now_us
        can_cancel = self._settings.limits.cancel
        if not can_cancel and self._retry_limits.may_retry(part, now_us):
            send_timeout_us = min(send_timeout_us, attempt.timeout_us)
        tick_us = self._settings.tick_us
        retry_window_us = part.query.query_class.retry_window_us - tick_us
        self._turn.emit(Send(part.id, server.id, max(tick_us, send_timeout_us), retry_window_us))
        self._turn.call_later(review_after_us, self.review, attempt)

    def take_attempt(self, part_id: str, number: int) -> Attempt | None:
        """Remove the attempt and return it; None if it is unknown."""
        return self.attempts.pop((part_id, number), None)

    def record_idle_outcome(self, is_lost: bool) -> None:
        """Record whether an attempt on an idle connection was lost without a response."""
        self._idle_losses.add(is_lost, ZONE_WEIGHT, self._turn.now_us)

    def record_hedge(self, has_won: bool) -> None:
        """Record whether the later of two attempts in flight was answered first."""
        self._hedge_wins.add(has_won, ZONE_WEIGHT, self._turn.now_us)

    def _close_idle_connections(self, server, part):
        """Close the server's idle connections if sending on them is too risky.

        That is the case if many attempts on idle connections were lost recently, or if the part is
        not idempotent and so could not be retried.
        """
        age_us = self._turn.now_us - self._idle_losses.last_outcome_us
        loss_rate = self._idle_losses.share * (1 - age_us / IDLE_LOSS_DECAY_US)
        is_not_repeatable = part.query.query_class.idempotency is Idempotency.NOT_IDEMPOTENT
        if server.idle_us >= IDLE_US and (loss_rate > OUTLIER_FAILURE_RATE or is_not_repeatable):
            self._turn.emit(Disconnect(server.id))
            server.idle_us = 0

    def _set_timeout(self, attempt):
        """Set the attempt's timeout; return the delay until its review, in microseconds."""
        objective_us = attempt.part.query.query_class.latency_objective_us
        typical_us = self._fleet.typical_latency_us(attempt.part.cost_us)
        # At most half the objective, down to a quarter as more hedged requests win: an attempt that
        # is moved later would be too late at the other server, too.
        max_timeout_us = objective_us / (2 + 2 * self._hedge_wins.share)
        attempt.timeout_us = int(min(TIMEOUT_MULTIPLE * typical_us, max_timeout_us))
        if self._retry_limits.has_budget:
            return attempt.timeout_us
        return max(attempt.timeout_us, min(MOVE_DELAY_MULTIPLE * typical_us, objective_us))
