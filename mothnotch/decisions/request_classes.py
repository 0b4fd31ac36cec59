"""Derive a request's class, timeout, part weights and part costs from its statement.

Pure: no I/O and no clock. Times are in microseconds.
"""

from collections.abc import Callable, Hashable, Mapping, Sequence
from dataclasses import dataclass

# Maximum number of statement shapes and kinds whose cost is kept.
MAX_ESTIMATES = 1024
# Fraction of the difference by which a lower latency moves the estimate; large, because the lowest
# latency is closest to the work itself.
COST_STEP_DOWN = 0.5
# The same for a higher latency; small, because queueing is not work, but not 0, so that an estimate
# that is too low recovers.
COST_STEP_UP = 0.01
# Minimum weight of a part, because the weights are divided by their sum.
MIN_WEIGHT = 1e-9


class UnknownClassError(Exception):
    """The named class is not configured, or no class accepts the statement."""


@dataclass(slots=True, frozen=True)
class ClassKind:
    """Which statements a class accepts."""

    takes_writes: bool
    is_default: bool


def class_of(classes: Mapping[str, ClassKind], session_class: str | None, writes: bool) -> str:
    """Return the class of a statement: the one that the session named, if it fits.

    Otherwise return the first configured default class for writes or reads. A write never uses a
    class for reads, nor a read one for writes, because the rules for retries differ. Raise
    UnknownClassError if the named class is not configured or no class fits.
    """
    if session_class is not None:
        if session_class not in classes:
            raise UnknownClassError(
                f"class {session_class!r} is not configured; there are {', '.join(sorted(classes))}"
            )
        if classes[session_class].takes_writes == writes:
            return session_class
    for name, kind in classes.items():
        if kind.takes_writes == writes and kind.is_default:
            return name
    raise UnknownClassError(f"no class takes {'writes' if writes else 'reads'} by default")


def request_timeout_us(class_timeout_us: int, statement_timeout_us: int) -> int:
    """Return the client's timeout: the class's, or the session's if that is shorter.

    A `statement_timeout_us` of 0 means that the session sets none.
    """
    if statement_timeout_us > 0:
        return min(class_timeout_us, statement_timeout_us)
    return class_timeout_us


def part_weights(
    shards: Sequence[int], row_count_of: Callable[[int], float] | None = None
) -> list[float]:
    """Return the share of the request's priority weight for each shard; the shares sum to 1.

    Shares are proportional to the shards' row counts if these are known, otherwise equal.
    """
    raw = [max(MIN_WEIGHT, row_count_of(shard)) if row_count_of else 1.0 for shard in shards]
    total = sum(raw)
    return [weight / total for weight in raw]


class CostEstimator:
    """Estimate the work of a part in microseconds, close to its lowest recent latency.

    Estimates are kept by statement shape and, for shapes not seen before, by statement kind. Bound:
    `max_estimates` estimates; the least recently used one is evicted.
    """

    def __init__(
        self,
        max_estimates: int = MAX_ESTIMATES,
        step_down: float = COST_STEP_DOWN,
        step_up: float = COST_STEP_UP,
    ):
        """Start empty; `step_down`, `step_up`: step sizes for lower and higher latencies."""
        self.max_estimates = max_estimates
        self.step_down = step_down
        self.step_up = step_up
        self.estimates_us: dict[Hashable, float] = {}

    def estimate_us(self, shape: Hashable, kind: Hashable) -> int | None:
        """Return the estimate for a shape, else for its kind; None if neither has one."""
        estimate_us = self.estimates_us.get(shape, self.estimates_us.get(kind))
        return None if estimate_us is None else max(1, int(estimate_us))

    def record(self, shape: Hashable, kind: Hashable, latency_us: float) -> None:
        """Record the latency of a part of a statement of that shape and kind."""
        for key in (shape, kind):
            # Popped and inserted again to keep the dictionary in order of use.
            before_us = self.estimates_us.pop(key, None)
            self.estimates_us[key] = self._adjusted(before_us, latency_us)
        while len(self.estimates_us) > self.max_estimates:
            del self.estimates_us[next(iter(self.estimates_us))]

    def _adjusted(self, estimate_us, latency_us):
        """Return an estimate moved towards a latency, or the latency if there is none."""
        if estimate_us is None:
            return latency_us
        step = self.step_down if latency_us < estimate_us else self.step_up
        return estimate_us + step * (latency_us - estimate_us)
