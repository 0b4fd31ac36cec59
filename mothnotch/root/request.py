"""Requests from a frontend to the core, and their outcomes, independent of any protocol."""

from dataclasses import dataclass, field

from mothnotch.decisions.outcomes import FinalStatus


@dataclass(slots=True)
class PartSpec:
    """One shard's share of a request.

    `payload` is used by the leaf's driver only; the core passes it on unread.
    """

    shard: int
    # Share of the whole request; the weights of all parts sum to 1.
    weight: float
    # Estimated work in microseconds; None if unknown.
    cost_us: int | None
    payload: object


@dataclass(slots=True, frozen=True)
class Request:
    """One query of a client.

    `affinity_key`: requests with the same key go to the same home leaves. `deadline_us`: the
    client's deadline on the root's clock.
    """

    class_name: str
    tenant: str | None
    affinity_key: str | None
    deadline_us: int
    parts: tuple[PartSpec, ...]
    # The client states that this is a retry.
    is_retry: bool = False
    # Priority weight relative to the usual one: determines how much memory its rows may use.
    priority_weight: float = 1.0
    # The frontend's error to answer with if neither memory nor disk has space for its rows.
    overflow_error: object = None

    @property
    def cost_us(self) -> int | None:
        """The estimated work of all parts in microseconds; None unless known for every part."""
        known = [part.cost_us for part in self.parts if part.cost_us]
        return sum(known) if len(known) == len(self.parts) else None


@dataclass(slots=True)
class Outcome:
    """The final answer to a request.

    ANSWERED has either `rows` by part number, or `error`, which the query itself caused.
    """

    status: FinalStatus
    complete: bool = False
    # REJECTED: microseconds after which the client may retry; 0: no advice.
    retry_after_us: int = 0
    # Part number -> the rows as collected by the leaf's driver.
    rows: dict[int, object] = field(default_factory=dict)
    error: object = None
    # FAILED: whether the query may have taken effect.
    may_have_run: bool = True
    # Latency of each answered part in microseconds, in the order of the parts.
    latencies_us: list[int] = field(default_factory=list)
    # Part number -> why it is missing, in the wording of decisions/coverage.py.
    missing_reasons: dict[int, str] = field(default_factory=dict)
    # Part number -> (leaf, microseconds between the leaf's answer and this outcome).
    sources: dict[int, tuple[str, int]] = field(default_factory=dict)
    # ANSWERED: the storage of the rows; the reader of the rows closes it.
    storage: object = None
