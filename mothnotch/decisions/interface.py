"""The interface of the decisions: settings, events and actions.

A root takes a query, which needs one answer from each of several shards. Each part of the query
asks one shard; the servers that can answer for it are its holders. A part may have several
attempts, and each attempt ends with exactly one outcome. All times are microseconds on the
caller's own clock. This module holds no decision and no tuned value.

    balancer = Balancer(settings, seed)
    actions = balancer.handle(now_us, events)
"""

import math
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """What may be done with a part that may already have run."""

    IDEMPOTENT = "safe"  # run again freely
    WITH_KEY = "keyed"  # holders drop a repeat for a stated time
    NOT_IDEMPOTENT = "unsafe"  # never run again


class Result(Enum):
    """How an attempt, or a health check, ended."""

    OK = "ok"
    ERROR = "error"  # answered with an error; may have run
    REJECTED = "rejected"  # rejected unseen; never ran
    TIMEOUT = "timeout"  # may have run, may still run
    UNREACHABLE = "unreachable"  # no connection was made; never ran
    BROKEN = "broken"  # connection lost while in flight; may have run
    CANCELLED = "cancelled"  # may have run
    UNSENT = "unsent"  # never left the root


# Results after which a part may be sent again even if it is not idempotent.
NEVER_RAN = frozenset((Result.REJECTED, Result.UNREACHABLE, Result.UNSENT))

# Results that show that the server is alive: it said something itself.
ANSWERED = frozenset((Result.OK, Result.ERROR, Result.REJECTED))


class WatchEventKind(Enum):
    """What a watch event says about the endpoint list."""

    CACHED = "cached"  # whole list, as last held, maybe stale
    SNAPSHOT = "full"  # whole list; what is missing has gone
    DELTA = "changes"  # changed entries only
    FAILED = "failed"  # a call to discovery failed, or the subscription broke


# ---- settings ----


# One object for each class: compared and hashed as itself, which is quick.
@dataclass(slots=True, frozen=True, eq=False)
class QueryClass:
    """A class of queries: what its answers are worth, and what may be done with its parts."""

    name: str
    latency_objective_us: int  # answers within this earn the full worth
    deadline_us: int
    priority_weight: float
    late_weight: float  # share of the worth paid after the latency objective
    idempotency: Idempotency
    idempotency_window_us: int | None  # WITH_KEY: how long a repeat is dropped
    objective_cost_factor: float  # the objective grows by this multiple of the query's own work
    min_answer_weight: float  # least weight an answer may be given from
    complete_weight: float  # weight that makes a complete answer
    partial_weight: float  # share of the worth paid for an answer that is not complete
    second_step_parts: int  # parts of a second step; 0: there is none

    @property
    def min_weight(self) -> float:
        """The least weight with which any answer may be given."""
        return min(self.min_answer_weight, self.complete_weight)

    @property
    def retry_window_us(self) -> float:
        """For how long after a send that may have run a part may be retried; 0: not at all."""
        if self.idempotency is Idempotency.WITH_KEY:
            return self.idempotency_window_us or 0
        return math.inf if self.idempotency is Idempotency.IDEMPOTENT else 0

    def latency_objective_of(self, cost_us: float) -> float:
        """Return the latency objective of a query that makes so much work."""
        return min(
            self.latency_objective_us + self.objective_cost_factor * cost_us, self.deadline_us
        )


@dataclass(slots=True, frozen=True)
class Limits:
    """What the deployment allows a root to do."""

    cancel: bool
    health_checks: bool
    hedging: bool
    gossip: bool
    retry_after: bool
    max_retry_after_us: int
    max_attempts: int | None  # of a part; None: no limit stated
    connect_timeout_us: int | None


@dataclass(slots=True, frozen=True)
class Rules:
    """The deployment's rules: answers in time, slow start, and the retry budget."""

    answer_slack_us: int
    initial_capacity: float  # a server starts with at least this share of its capacity
    slow_start_us: int  # and is warm no later than this
    collapse_multiple: float  # a server warming up collapses at this multiple of its capacity
    collapse_window_us: int  # held for so long
    retry_budget_ratio: float | None  # retries for each query or part taken; None: no budget
    retry_budget_minimum: int  # and so many on top
    retry_budget_window_us: int | None

    def guaranteed_capacity(self, age_us: float) -> float:
        """Return the share of its capacity that a server surely has at that age."""
        warmth = min(1.0, max(0.0, age_us / self.slow_start_us))
        return self.initial_capacity + (1 - self.initial_capacity) * warmth

    def retries_allowed(self, taken: float) -> float:
        """Return how many retries the rules allow for so many queries and parts taken."""
        if self.retry_budget_ratio is None:
            return math.inf
        return self.retry_budget_minimum + self.retry_budget_ratio * taken


@dataclass(slots=True, frozen=True)
class Settings:
    """What a root knows of its deployment before it begins."""

    root_count: int
    root_index: int  # this root's number among them
    zone: str
    classes: dict[str, QueryClass]
    tenant_quotas_qps: dict[
        str, float
    ]  # tenant -> queries a second within its quota, all roots together
    over_quota_weight: float  # share of its worth that a query beyond its tenant's quota counts
    cell_count: int  # shard s is held by cells s, s+1 .. s+cells_per_shard-1, modulo cell_count
    cells_per_shard: int
    call_overhead_us: int  # work of a call beside its parts
    parts_per_call: int
    must_subscribe: bool  # the endpoint list comes only when asked for
    has_endpoint_weights: bool  # the endpoint list states weights
    tick_us: int  # the time step of the deployment
    limits: Limits
    rules: Rules
    prices: dict[str, float]
    clients_mark_retries: bool = False  # clients say so when they ask again


# ---- events ----


@dataclass(slots=True, frozen=True)
class Endpoint:
    """One entry of the endpoint list."""

    server: str
    zone: str
    cell: int
    state: str  # "up", "draining" or "removed"
    weight: float
    started_us: int  # 0: long ago


@dataclass(slots=True, frozen=True)
class WatchEvent:
    """Discovery sent endpoints, or failed to."""

    kind: WatchEventKind
    version: int
    entries: tuple[Endpoint, ...]


@dataclass(slots=True, frozen=True)
class QueryArrived:
    """A client sent a query; its parts follow in the same turn or, of a second step, later."""

    query: str
    query_number: int  # parts name their query by this number
    class_name: str
    tenant: str | None
    affinity_key: str | None  # queries of one key have the same homes
    deadline_us: int  # when the client gives this try up
    cost_us: int | None  # rough work of all parts
    is_retry: bool  # the client says it asked before


@dataclass(slots=True, frozen=True)
class PartArrived:
    """One part of a query is to be answered."""

    part: str
    query_number: int  # its query's
    shard: int
    weight: float  # share of the query's answer; those of one step sum to 1
    cost_us: int | None  # rough work


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended; this comes exactly once for each `Send`."""

    part: str
    attempt: int  # number of the attempt among its part's, from 0
    server: str
    result: Result
    latency_us: int
    report: dict[str, float] | None  # the server's load report


@dataclass(slots=True, frozen=True)
class HealthCheckEnded:
    """A health check ended."""

    server: str
    result: Result
    latency_us: int
    report: dict[str, float] | None  # the server's load report


@dataclass(slots=True, frozen=True)
class ClientDisconnected:
    """The client of a query has disconnected: nobody waits for its answer."""

    query: str


@dataclass(slots=True, frozen=True)
class TimerFired:
    """The delay of a `SetTimer` has passed."""

    token: int


@dataclass(slots=True, frozen=True)
class PeerMessageReceived:
    """Another root sent a message."""

    sender: int
    body: bytes


# ---- actions ----


@dataclass(slots=True, frozen=True)
class Send:
    """Send a part to a server: its next attempt."""

    part: str
    server: str
    timeout_us: int  # the attempt times out then
    # It may leave so long after another attempt of its part that may have run.
    retry_window_us: float = math.inf


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt in flight."""

    part: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Answer:
    """Answer a query from the parts that are in."""

    query: str
    complete: bool


@dataclass(slots=True, frozen=True)
class Reject:
    """Reject a query: none of it has run, or it may be asked again."""

    query: str
    retry_after_us: int  # 0: no advice
    reason: str = ""


@dataclass(slots=True, frozen=True)
class Fail:
    """Fail a query: parts of it may have run."""

    query: str
    reason: str = ""


@dataclass(slots=True, frozen=True)
class SetTimer:
    """Call again with a `TimerFired` after the delay."""

    token: int
    delay_us: int


@dataclass(slots=True, frozen=True)
class HealthCheck:
    """Check a server's health."""

    server: str


@dataclass(slots=True, frozen=True)
class Disconnect:
    """Close the idle connections to a server; the next send opens a new one."""

    server: str


@dataclass(slots=True, frozen=True)
class Subscribe:
    """Ask discovery for the endpoint list."""


@dataclass(slots=True, frozen=True)
class Log:
    """Write a line to the root's log."""

    text: str
