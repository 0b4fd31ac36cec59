"""Health of one server as seen by this root: expected latency, failure rates, outliers."""

from collections import deque

from mothnotch.decisions.balancer.busy_periods import BusyPeriodLabeler
from mothnotch.decisions.balancer.predictor import HISTORY_LENGTH
from mothnotch.decisions.balancer.records import Attempt
from mothnotch.decisions.balancer.slow_start import SlowStartCapacity
from mothnotch.decisions.balancer.statistics import FleetMeans
from mothnotch.decisions.interface import QueryClass, Result

# Weight of a new outcome in the running means; the larger the group, the more outcomes it has.
SERVER_WEIGHT = 0.25
ZONE_WEIGHT = 0.05
FLEET_WEIGHT = 0.02

OUTLIER_FAILURE_RATE = 0.35  # a server is an outlier above this share of failed attempts
FAILURE_COST = 4  # the expected latency grows by this times the failure rate, for the retries

# Observations of a server become stale over this time or over this many mean gaps between two
# outcomes, whichever is longer: latencies of a minute ago say little, but those of a server that is
# rarely used must not expire at once.
STALE_AFTER_US = 2_000_000
STALE_AFTER_GAPS = 3

# Failures of the connection or of the whole server, which count for all query classes. Any other
# failure counts only overall and for its own class: it says nothing about the other classes.
WHOLE_SERVER_FAILURES = frozenset((Result.BROKEN, Result.UNREACHABLE, Result.REJECTED))


class Server:
    """The state of one server as seen by this root."""

    def __init__(
        self,
        server_id: str,
        fleet: FleetMeans,
        slow_start: SlowStartCapacity,
        now_us: int,
        tick_us: int,
    ):
        """Initialize without observations; `Discovery` sets cell, zone, state and weight.

        `tick_us`: the time step of the deployment.
        """
        self.id = server_id
        self.cell = None
        self.zone_failures = None  # failure rate of its zone, shared by the servers of the zone
        self.up = False
        self.weight = 1.0
        self.slow_start = slow_start
        self.in_flight = {}  # (part, number) -> attempt, oldest first
        self._fleet = fleet
        self._tick_us = tick_us
        self.reset(now_us)

    def reset(self, now_us: int) -> None:
        """Drop all observations: they do not apply to a restarted process."""
        self.means = BusyPeriodLabeler()
        self.failure_rates = {None: 0.0}  # query class (None: all) -> share of failed attempts
        self.history = deque(maxlen=HISTORY_LENGTH)  # (latency, in flight before, throughput)
        self.last_heard_us = now_us  # when it last responded; at first, when it became known
        self.last_sent_us = now_us
        self.last_outcome_us = 0  # 0: no attempt has ended yet
        self.last_answered_send_us = 0  # send time of the latest-sent attempt answered
        self.idle_us = 0  # idle time of its connections at the last send

    def record_send(self, now_us: int, work_us: float) -> None:
        """Record a send; all sends of one turn see the idle time that the first one saw."""
        if self.last_sent_us < now_us:
            if self.in_flight or not self.last_outcome_us:
                self.idle_us = 0
            else:
                self.idle_us = now_us - max(self.last_sent_us, self.last_outcome_us)
        self.last_sent_us = now_us
        self.slow_start.record_send(now_us, work_us)

    # ---- attempts in flight ----

    def oldest_queued(self) -> Attempt | None:
        """Return the oldest attempt in flight that no later one has overtaken.

        An attempt that was overtaken is lost, not queued.
        """
        for attempt in self.in_flight.values():
            if attempt.sent_us >= self.last_answered_send_us:
                return attempt
        return None

    def oldest_queued_age_us(self, now_us: int) -> int:
        """Return how long the oldest queued attempt has been in flight; 0 if there is none."""
        attempt = self.oldest_queued()
        return now_us - attempt.sent_us if attempt else 0

    def is_stuck(self, attempt: Attempt, now_us: int) -> bool:
        """Return whether an attempt has exceeded its timeout and will probably not be answered.

        That is the case if an attempt sent later has been answered, or if the server has not
        responded at all for as long. This detects lost requests and answers, hung servers and
        network partitions.
        """
        return self._is_overdue(attempt, now_us, now_us - attempt.sent_us)

    def was_stuck(self, attempt: Attempt, now_us: int, latency_us: int) -> bool:
        """Return whether an attempt that has ended was stuck.

        `latency_us` is the time from its last byte sent to its end. Of the time that the root spent
        before and after, at most one tick counts: a server is not blamed for delays in the root.
        """
        in_flight_us = min(now_us - attempt.sent_us, latency_us + self._tick_us)
        return self._is_overdue(attempt, now_us, in_flight_us)

    def _is_overdue(self, attempt, now_us, in_flight_us):
        if self.last_answered_send_us <= attempt.sent_us:
            in_flight_us = min(in_flight_us, now_us - self.last_heard_us)
        return in_flight_us >= attempt.timeout_us

    # ---- predictions ----

    def expected_latency_us(self, now_us: int, query_class: QueryClass | None) -> float:
        """Return the expected latency of a part sent now.

        It is the running mean, which moves to the fleet's as it becomes stale, scaled by the number
        of parts in flight now relative to then, but at least the age of the oldest queued attempt.
        Failures add the time of a retry.
        """
        freshness = 1 - self._staleness(now_us, self.last_outcome_us)
        fleet_latency_us = self._fleet.latency_us or 0
        expected_us = fleet_latency_us + freshness * (
            (self.means.latency_us or fleet_latency_us) - fleet_latency_us
        )
        mean_in_flight = self.means.in_flight if self.means.latency_us else self._fleet.in_flight
        expected_us *= (1 + len(self.in_flight)) / (1 + mean_in_flight)
        return max(expected_us, self.oldest_queued_age_us(now_us)) * (
            1 + FAILURE_COST * self.failure_rate(now_us, query_class)
        )

    def failure_rate(self, now_us: int, query_class: QueryClass | None) -> float:
        """Return the failure rate of the class's attempts at this server.

        As the observations of the server become stale, the rate of its zone replaces it.
        """
        zone_rate = self.zone_failures.share * (
            1 - self._staleness(now_us, self.zone_failures.last_outcome_us)
        )
        rate = self.failure_rates.get(query_class, self.failure_rates[None])
        return rate + self._staleness(now_us, self.last_outcome_us) * (zone_rate - rate)

    def is_outlier(self, now_us: int, query_class: QueryClass) -> bool:
        """Return whether the server fails or rejects many attempts, hangs or is unreachable.

        This shows earlier than the labels of busy periods can.
        """
        seen_rate = self.failure_rates.get(query_class, self.failure_rates[None])
        if max(seen_rate, self.failure_rate(now_us, query_class)) > OUTLIER_FAILURE_RATE:
            return True
        attempt = self.oldest_queued()
        return attempt is not None and self.is_stuck(attempt, now_us)

    def predictor_inputs(self, now_us: int, cost_us: float) -> list[float]:
        """Return the predictor's inputs for a part of this cost sent now.

        Missing history is filled up with the fleet's averages. If a part has been in flight for
        longer than the newest answer took, it is added as the newest entry, as the history is then
        out of date.
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
        """Return how stale an observation made at `seen_us` is: from 0 (fresh) to 1 (ignored)."""
        return min(
            1.0,
            (now_us - seen_us) / max(STALE_AFTER_US, STALE_AFTER_GAPS * self._fleet.mean_gap_us),
        )

    # ---- observations ----

    def record_outcome(
        self, attempt: Attempt, now_us: int, result: Result, latency_us: int
    ) -> list:
        """Add an attempt that has ended; return the [(attempt, label)] labelled now.

        A failure has at least the latency objective as its latency, so that quick errors do not
        look fast; a cancelled attempt has the time until it was cancelled.
        """
        query_class = attempt.part.query.query_class
        is_lost = result is Result.CANCELLED and self.was_stuck(attempt, now_us, latency_us)
        has_failed = is_lost or result not in (Result.OK, Result.CANCELLED)
        min_latency_us = query_class.latency_objective_us if has_failed else 1
        attempt.latency_us = max(1, latency_us, min_latency_us)
        attempt.throughput = attempt.cost_us / attempt.latency_us
        # After a long gap a single outcome has more weight.
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
        """Add this gap between outcomes to the mean; return how stale the fleet's means are."""
        if self.last_outcome_us:
            gap_us = now_us - self.last_outcome_us
            self._fleet.mean_gap_us += FLEET_WEIGHT * (gap_us - self._fleet.mean_gap_us)
        return self._staleness(now_us, self._fleet.last_outcome_us)

    def _record_failure_rate(self, query_class, result, has_failed, weight):
        is_whole_server = result in WHOLE_SERVER_FAILURES
        for key in self.failure_rates if is_whole_server else (None, query_class):
            self.failure_rates[key] += weight * (has_failed - self.failure_rates[key])
