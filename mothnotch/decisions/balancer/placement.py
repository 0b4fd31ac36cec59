"""Chooses the server for a part: its home, or another replica if the home should be avoided.

The home of a part is the first replica of its shard in the order of a weighted rendezvous hash.
"""

import math
from collections.abc import Iterable
from hashlib import blake2b

from mothnotch.decisions.balancer.discovery import Discovery
from mothnotch.decisions.balancer.predictor import BusyPeriodPredictor
from mothnotch.decisions.balancer.records import Part
from mothnotch.decisions.balancer.server_health import OUTLIER_FAILURE_RATE, Server
from mothnotch.decisions.balancer.turn import Turn
from mothnotch.decisions.interface import Idempotency, QueryClass, Settings

MAX_PREDICTIONS_PER_QUERY = 32  # enough for each server of a wide query
BUSY_PROBABILITY = 0.5  # above it a server counts as busy

# A home that was neither heard from nor sent to for this many latency objectives gets its next part
# as a trial, whatever its health: otherwise its recovery would never be noticed.
TRIAL_AFTER_OBJECTIVES = 3


class Placement:
    """Chooses servers for parts."""

    def __init__(
        self,
        turn: Turn,
        settings: Settings,
        discovery: Discovery,
        predictor: BusyPeriodPredictor,
        longest_objective_us: int,
    ):
        """Initialize; `longest_objective_us` is the longest latency objective of any class."""
        self._turn = turn
        self._settings = settings
        self._discovery = discovery
        self._predictor = predictor
        self._trial_after_us = TRIAL_AFTER_OBJECTIVES * longest_objective_us

    def replicas(self, part: Part) -> list[Server]:
        """Return the servers that hold the part's shard, in no significant order."""
        return self._discovery.replicas(part.shard)

    def ready_replicas(self, part: Part) -> list[Server]:
        """Return the replicas with slow-start capacity for the part, in hash order."""
        weighted = [
            (server.weight if self._settings.has_endpoint_weights else 1.0, server.id, server)
            for server in self.replicas(part)
        ]
        return [
            server
            for server in rendezvous_order(f"{part.query.key}|{part.shard}", weighted)
            if server.slow_start.admits(self._turn.now_us, part.cost_us)
        ]

    def has_untried_replica(self, part: Part) -> bool:
        """Return whether any replica of the part's shard has had no attempt of it."""
        return any(server not in part.servers_tried for server in self.replicas(part))

    def choose_first(self, part: Part, ready: list[Server]) -> Server:
        """Return the server for a part's first attempt; `ready` is in hash order."""
        home = ready[0]
        # A failed trial would lose a part that must not be sent again.
        is_repeatable = part.query.query_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        if self._is_due_for_trial(home, part.query.query_class) and is_repeatable:
            return home
        if not self._should_avoid(home, part):
            return home
        # Check all of them instead of stopping at the first good one: the number of predictions per
        # query is bounded, and which servers have one affects the query's later parts.
        others = [server for server in ready[1:] if not self._should_avoid(server, part)]
        return others[0] if others else home

    def best_server(self, servers: Iterable[Server], query_class: QueryClass) -> Server | None:
        """Return the server with the least expected latency, outliers last; None if none."""
        now_us = self._turn.now_us
        return min(
            servers,
            key=lambda server: (
                server.is_outlier(now_us, query_class),
                server.expected_latency_us(now_us, query_class),
            ),
            default=None,
        )

    def least_latency_us(self, part: Part, latency_cache: dict[Server, float]) -> float:
        """Return the least expected latency of a part; infinity if its shard has no replica.

        `latency_cache` holds the expected latencies of its query by server, and is added to.
        """
        replicas = self.replicas(part)
        for server in replicas:
            if server not in latency_cache:
                latency_cache[server] = server.expected_latency_us(
                    self._turn.now_us, part.query.query_class
                )
        return min((latency_cache[server] for server in replicas), default=math.inf)

    def _is_due_for_trial(self, server, query_class):
        # In a failing zone one trial stands for all its servers: a trial of each would use up the
        # retry budget.
        zone_outcome_us = 0
        if server.failure_rate(self._turn.now_us, query_class) > OUTLIER_FAILURE_RATE:
            zone_outcome_us = server.zone_failures.last_outcome_us
        last_contact_us = max(server.last_heard_us, server.last_sent_us, zone_outcome_us)
        return self._turn.now_us - last_contact_us > self._trial_after_us

    def _should_avoid(self, server, part):
        """Return whether the server is an outlier or predicted to be busy.

        It is predicted once for each query and server.
        """
        busy_predictions = part.query.busy_predictions
        model = self._predictor.model
        if (
            model
            and server.id not in busy_predictions
            and len(busy_predictions) < MAX_PREDICTIONS_PER_QUERY
        ):
            inputs = server.predictor_inputs(self._turn.now_us, part.cost_us)
            busy_predictions[server.id] = model.probability(inputs) > BUSY_PROBABILITY
        is_outlier = server.is_outlier(self._turn.now_us, part.query.query_class)
        return is_outlier or busy_predictions.get(server.id, False)


def rendezvous_order(name: str, weighted: Iterable[tuple]) -> list:
    """Return the members of [(weight, id, member)] by weighted rendezvous hash, best first.

    The hash of the name with each id is deterministic: it is the same at all roots and does not
    depend on the process, a seed or the order of the members.
    """
    scored = []
    for weight, key, member in weighted:
        digest = blake2b(f"{name}|{key}".encode(), digest_size=8).digest()
        uniform = (int.from_bytes(digest, "big") + 1) / (2**64 + 1)
        scored.append((weight / math.log(uniform), key, member))
    scored.sort(key=lambda entry: entry[:2])
    return [member for _, _, member in scored]
