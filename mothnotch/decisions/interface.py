"""The interface of the decisions: settings, events and actions.

A root takes a query and needs one answer from each of several shards. Each part of the query is
for one shard; the servers that hold a shard are its replicas. A part may have several attempts, and
each attempt ends with exactly one outcome. All times are microseconds on the caller's own clock.
This module makes no decision and holds no tuned value.

    balancer = Balancer(settings, seed)
    actions = balancer.handle(now_us, events)
"""

import math
from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a part that may already have run may run again."""

    IDEMPOTENT = "safe"  # may run again at any time
    WITH_KEY = "keyed"  # replicas drop a repeat within a stated window
    NOT_IDEMPOTENT = "unsafe"  # must never run again


class Result(Enum):
    """How an attempt or a health check ended."""

    OK = "ok"
    ERROR = "error"  # the server answered with an error; may have run
    REJECTED = "rejected"  # the server rejected it without running it
    TIMEOUT = "timeout"  # may have run, may still be running
    UNREACHABLE = "unreachable"  # no connection was made; never ran
    BROKEN = "broken"  # the connection was lost while it was in flight; may have run
    CANCELLED = "cancelled"  # may have run
    UNSENT = "unsent"  # never left the root


# Results after which a part may be sent again even if it is not idempotent.
NEVER_RAN = frozenset((Result.REJECTED, Result.UNREACHABLE, Result.UNSENT))

# Results that prove that the server is alive: it responded itself.
ANSWERED = frozenset((Result.OK, Result.ERROR, Result.REJECTED))


class WatchEventKind(Enum):
    """What a watch event says about the endpoint list."""

    CACHED = "cached"  # the whole list as last known; may be stale
    SNAPSHOT = "full"  # the whole list; a server that is not in it has been removed
    DELTA = "changes"  # changed entries only
    FAILED = "failed"  # a call to discovery failed, or the subscription broke


# ---- settings ----


# Each class has one instance: comparing and hashing by identity is fast.
@dataclass(slots=True, frozen=True, eq=False)
class QueryClass:
    """A class of queries: the value of its answers, and whether its parts may be repeated."""

    name: str
    latency_objective_us: int  # answers within this time earn the full value
    deadline_us: int  # time from the client's first try to its deadline
    priority_weight: float
    late_weight: float  # fraction of the value that an answer after the objective earns
    idempotency: Idempotency
    idempotency_window_us: int | None  # WITH_KEY: how long a replica drops repeats
    objective_cost_factor: float  # the objective grows by this multiple of the query's cost
    min_answer_weight: float  # an answer needs at least this weight of its parts
    complete_weight: float  # weight of the parts that make an answer complete
    partial_weight: float  # fraction of the value that an incomplete answer earns
    second_step_parts: int  # number of parts of a second step; 0: there is no second step

    @property
    def min_weight(self) -> float:
        """The least weight with which any answer may be given."""
        return min(self.min_answer_weight, self.complete_weight)

    @property
    def retry_window_us(self) -> float:
        """How long after a send that may have run the part may be sent again; 0: never."""
        if self.idempotency is Idempotency.WITH_KEY:
            return self.idempotency_window_us or 0
        return math.inf if self.idempotency is Idempotency.IDEMPOTENT else 0

    def latency_objective_of(self, cost_us: float) -> float:
        """Return the latency objective of a query of this cost."""
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
    max_attempts: int | None  # attempts of one part; None: unlimited
    connect_timeout_us: int | None


@dataclass(slots=True, frozen=True)
class Rules:
    """The deployment's rules: answers in time, slow start, and the retry budget."""

    answer_slack_us: int
    initial_capacity: float  # fraction of its capacity that a server has at least when it starts
    slow_start_us: int  # time until a server is warm, at the latest
    collapse_multiple: float  # a warming server collapses at this multiple of its capacity ...
    collapse_window_us: int  # ... if the load lasts this long
    retry_budget_ratio: float | None  # retries for each query or part admitted; None: no budget
    retry_budget_minimum: int  # retries allowed in addition to the ratio
    retry_budget_window_us: int | None

    def guaranteed_capacity(self, age_us: float) -> float:
        """Return the fraction of its capacity that a server is sure to have at that age."""
        warmth = min(1.0, max(0.0, age_us / self.slow_start_us))
        return self.initial_capacity + (1 - self.initial_capacity) * warmth

    def retries_allowed(self, admitted: float) -> float:
        """Return how many retries the rules allow for this many queries and parts admitted."""
        if self.retry_budget_ratio is None:
            return math.inf
        return self.retry_budget_minimum + self.retry_budget_ratio * admitted


@dataclass(slots=True, frozen=True)
class Settings:
    """What a root knows of its deployment when it starts."""

    root_count: int
    root_index: int  # from 0
    zone: str
    classes: dict[str, QueryClass]
    tenant_quotas_qps: dict[str, float]  # tenant -> queries a second at all roots together
    over_quota_weight: float  # factor on the value of a query beyond its tenant's quota
    cell_count: int  # shard s is held by cells s, s+1 .. s+cells_per_shard-1, modulo cell_count
    cells_per_shard: int
    call_overhead_us: int  # cost of a call in addition to its parts
    parts_per_call: int
    must_subscribe: bool  # discovery sends the endpoint list only on request
    has_endpoint_weights: bool  # the endpoint list states weights
    tick_us: int  # the time step of the deployment
    limits: Limits
    rules: Rules
    prices: dict[str, float]
    clients_mark_retries: bool = False  # clients flag the queries that they send again


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
    query_number: int  # parts refer to their query by this number
    class_name: str
    tenant: str | None
    affinity_key: str | None  # queries with the same key prefer the same servers
    deadline_us: int  # when the client stops waiting for this try
    cost_us: int | None  # estimated cost of all parts
    is_retry: bool  # the client says that it sent the query before


@dataclass(slots=True, frozen=True)
class PartArrived:
    """One part of a query is to be answered."""

    part: str
    query_number: int
    shard: int
    weight: float  # fraction of the query's answer; the weights of one step sum to 1
    cost_us: int | None  # estimated cost


@dataclass(slots=True, frozen=True)
class AttemptEnded:
    """An attempt ended; this event comes exactly once for each `Send`."""

    part: str
    attempt: int  # number of the attempt within its part, from 0
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
    """The client of a query disconnected: its answer is no longer needed."""

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
    timeout_us: int  # the attempt times out after this delay
    # It may be sent only within this time of any earlier attempt of its part that may have run.
    retry_window_us: float = math.inf


@dataclass(slots=True, frozen=True)
class Cancel:
    """Cancel an attempt in flight."""

    part: str
    attempt: int


@dataclass(slots=True, frozen=True)
class Answer:
    """Answer a query from the parts that have been answered."""

    query: str
    complete: bool


@dataclass(slots=True, frozen=True)
class Reject:
    """Reject a query: nothing of it has run, or it may be sent again."""

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
