"""What a root makes of what it has seen of one server: latency to expect, failures, outliers."""

from collections import deque

from mothnotch.decisions.balancer.busy_periods import BusyPeriodLabeler
from mothnotch.decisions.balancer.predictor import HISTORY_LENGTH
from mothnotch.decisions.balancer.records import Attempt
from mothnotch.decisions.balancer.slow_start import SlowStartCapacity
from mothnotch.decisions.balancer.statistics import FleetMeans
from mothnotch.decisions.interface import QueryClass, Result

# Weights of a new answer in the running means. The wider the group, the more answers come.
SERVER_WEIGHT = 0.25
ZONE_WEIGHT = 0.05
FLEET_WEIGHT = 0.02

OUTLIER_FAILURE_RATE = 0.35  # share of recent attempts failed that makes a server an outlier
FAILURE_COST = 4  # expected latency grows by so many times the failure rate: another try costs time

# What was seen fades within this time, or within so many usual gaps between two outcomes if that
# is longer: what was slow a minute ago says little, but one rarely asked must not fade at once.
STALE_AFTER_US = 2_000_000
STALE_AFTER_GAPS = 3

# Failures that befall the connection or the whole server count against all classes: one class
# unanswered blames no other.
WHOLE_SERVER_FAILURES = frozenset((Result.BROKEN, Result.UNREACHABLE, Result.REJECTED))


class Server:
    """One server, as this root sees it."""

    def __init__(
        self,
        server_id: str,
        fleet: FleetMeans,
        slow_start: SlowStartCapacity,
        now_us: int,
        tick_us: int,
    ):
        """Make a server of which nothing has been seen; the endpoint list sets where it is.

        `tick_us`: the time step of the deployment.
        """
        self.id = server_id
        self.cell = None
        self.zone_failures = None  # the failure rate of its zone
        self.up = False
        self.weight = 1.0
        self.slow_start = slow_start
        self.in_flight = {}  # (part, number) -> attempt, oldest first
        self._fleet = fleet
        self._tick_us = tick_us
        self.reset(now_us)

    def reset(self, now_us: int) -> None:
        """Forget what was seen: a new process has nothing of the old one."""
        self.means = BusyPeriodLabeler()
        self.failure_rates = {None: 0.0}  # share of attempts failed: of all, and of each class
        self.history = deque(maxlen=HISTORY_LENGTH)  # (latency, in flight before, throughput)
        self.last_heard_us = now_us  # the server itself said something
        self.last_sent_us = now_us
        self.last_outcome_us = 0  # nothing has ended here yet
        self.last_answered_send_us = 0  # latest send of those that were answered
        self.idle_us = 0  # how long its connections had been unused at the last send

    def record_send(self, now_us: int, work_us: float) -> None:
        """Note that something is sent; all sends of one turn find the connections as the first."""
        if self.last_sent_us < now_us:
            if self.in_flight or not self.last_outcome_us:
                self.idle_us = 0
            else:
                self.idle_us = now_us - max(self.last_sent_us, self.last_outcome_us)
        self.last_sent_us = now_us
        self.slow_start.record_send(now_us, work_us)

    # ---- what is in flight ----

    def oldest_queued(self) -> Attempt | None:
        """Return the oldest attempt in flight that no later one has overtaken.

        What was overtaken is lost, not queued.
        """
        for attempt in self.in_flight.values():
            if attempt.sent_us >= self.last_answered_send_us:
                return attempt
        return None

    def oldest_queued_age_us(self, now_us: int) -> int:
        """Return for how long the oldest queued attempt has been in flight; 0 if there is none."""
        attempt = self.oldest_queued()
        return now_us - attempt.sent_us if attempt else 0

    def is_stuck(self, attempt: Attempt, now_us: int) -> bool:
        """Return whether an attempt is in flight for long and will not be answered.

        That is so if one sent later has been answered, or the server has answered nothing for as
        long. Guards against lost parts and answers, hangs and cut links.
        """
        return self._is_overdue(attempt, now_us, now_us - attempt.sent_us)

    def was_stuck(self, attempt: Attempt, now_us: int, latency_us: int) -> bool:
        """Return whether an attempt that has ended was stuck.

        `latency_us` counts from its last byte sent to its end. Of what the root itself took before
        and after, one tick counts at most: the server is not blamed for a hold-up of the root.
        """
        in_flight_us = min(now_us - attempt.sent_us, latency_us + self._tick_us)
        return self._is_overdue(attempt, now_us, in_flight_us)

    def _is_overdue(self, attempt, now_us, in_flight_us):
        if self.last_answered_send_us <= attempt.sent_us:
            in_flight_us = min(in_flight_us, now_us - self.last_heard_us)
        return in_flight_us >= attempt.timeout_us

    # ---- what is to be expected ----

    def expected_latency_us(self, now_us: int, query_class: QueryClass | None) -> float:
        """Return the latency to expect.

        It is the running mean, scaled by the parts in flight now against those in flight then, or
        longer if one has been in flight for longer. Failures cost the time of another try.
        """
        freshness = 1 - self._staleness(now_us, self.last_outcome_us)
        average_us = self._fleet.latency_us or 0
        expected_us = average_us + freshness * ((self.means.latency_us or average_us) - average_us)
        usual_in_flight = self.means.in_flight if self.means.latency_us else self._fleet.in_flight
        expected_us *= (1 + len(self.in_flight)) / (1 + usual_in_flight)
        return max(expected_us, self.oldest_queued_age_us(now_us)) * (
            1 + FAILURE_COST * self.failure_rate(now_us, query_class)
        )

    def failure_rate(self, now_us: int, query_class: QueryClass | None) -> float:
        """Return the share of the class's attempts that fails here.

        As far as what was seen here has faded, it is that of the zone.
        """
        zone_rate = self.zone_failures.share * (
            1 - self._staleness(now_us, self.zone_failures.last_outcome_us)
        )
        rate = self.failure_rates.get(query_class, self.failure_rates[None])
        return rate + self._staleness(now_us, self.last_outcome_us) * (zone_rate - rate)

    def is_outlier(self, now_us: int, query_class: QueryClass) -> bool:
        """Return whether the server fails fast, rejects, hangs or has vanished.

        It tells so before any label of a busy period can.
        """
        seen_rate = self.failure_rates.get(query_class, self.failure_rates[None])
        if max(seen_rate, self.failure_rate(now_us, query_class)) > OUTLIER_FAILURE_RATE:
            return True
        attempt = self.oldest_queued()
        return attempt is not None and self.is_stuck(attempt, now_us)

    def predictor_inputs(self, now_us: int, cost_us: float) -> list[float]:
        """Return the predictor's inputs for a part of such work sent now.

        A server not heard of counts as average. A part in flight for longer than the newest answer
        took stands in for that answer, as the history may be stale.
        """
        average = (
            self._fleet.latency_us or 0.0,
            self._fleet.in_flight,
            self._fleet.throughput or 0.0,
        )
        rows = [average] * (HISTORY_LENGTH - len(self.history)) + list(self.history)
        age_us = self.oldest_queued_age_us(now_us)
        if age_us > rows[-1][0]:
            rows = rows[1:] + [(age_us, len(self.in_flight), cost_us / age_us)]
        return [row[column] for column in range(3) for row in rows] + [cost_us]

    def _staleness(self, now_us, seen_us):
        """How much of what was seen then no longer counts, from 0 to 1."""
        return min(
            1.0,
            (now_us - seen_us) / max(STALE_AFTER_US, STALE_AFTER_GAPS * self._fleet.mean_gap_us),
        )

    # ---- what has been seen ----

    def record_outcome(
        self, attempt: Attempt, now_us: int, result: Result, latency_us: int
    ) -> list:
        """Take in an attempt that has ended; return [(attempt, label)] of what is labelled now.

        A failure counts as an answer as slow as the latency objective, so that quick errors do not
        look fast; a cancelled attempt as one that took the time it had.
        """
        query_class = attempt.part.query.query_class
        is_lost = result is Result.CANCELLED and self.was_stuck(attempt, now_us, latency_us)
        has_failed = is_lost or result not in (Result.OK, Result.CANCELLED)
        least_us = query_class.latency_objective_us if has_failed else 1
        attempt.latency_us = max(1, latency_us, least_us)
        attempt.throughput = attempt.cost_us / attempt.latency_us
        # After a long gap one answer says more.
        weight = max(SERVER_WEIGHT, self._staleness(now_us, self.last_outcome_us))
        fleet_staleness = self._fleet_staleness(now_us)
        fleet_weight = min(SERVER_WEIGHT, max(FLEET_WEIGHT, fleet_staleness))
        self.failure_rates.setdefault(query_class, self.failure_rates[None])
        if has_failed or result is Result.OK:
            self._record_failure_rate(query_class, result, has_failed, weight)
            self.zone_failures.add(has_failed, ZONE_WEIGHT, now_us)
        self.last_outcome_us = now_us
        self._fleet.last_outcome_us = now_us
        self.history.append((attempt.latency_us, attempt.in_flight_before, attempt.throughput))
        if not has_failed:
            self.means.add(attempt, weight)
            self._fleet.add(attempt, fleet_weight)
        return self.means.label(attempt, self._fleet) if self._fleet.latency_us else []

    def _fleet_staleness(self, now_us):
        """How much of what was seen of the fleet has faded, with this gap taken into its mean."""
        if self.last_outcome_us:
            gap_us = now_us - self.last_outcome_us
            self._fleet.mean_gap_us += FLEET_WEIGHT * (gap_us - self._fleet.mean_gap_us)
        return self._staleness(now_us, self._fleet.last_outcome_us)

    def _record_failure_rate(self, query_class, result, has_failed, weight):
        is_whole_server = result in WHOLE_SERVER_FAILURES
        for key in self.failure_rates if is_whole_server else (None, query_class):
            self.failure_rates[key] += weight * (has_failed - self.failure_rates[key])
