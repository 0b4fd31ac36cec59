"""Coverage of an answer: which ranges it includes, which are missing and how old its data is.

Pure. An answer is complete only if every range is answered. Its share is rounded down, so that an
incomplete answer is never shown as 100%, nor one below 80% as 80%.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from fractions import Fraction

from mothnotch.decisions.interface import Result

IN_FLIGHT_REASON = "still out when the answer was given"
NOT_SENT_REASON = "not sent to any leaf"
# Why a part is missing, by the result of its last attempt; None: it had no attempt.
MISSING_REASONS = {
    None: NOT_SENT_REASON,
    Result.TIMEOUT: "no answer in time",
    Result.UNREACHABLE: "its leaf could not be reached",
    Result.REJECTED: "turned away by its leaf",
    Result.ERROR: "failed at its leaf",
    Result.BROKEN: "connection lost",
    Result.CANCELLED: IN_FLIGHT_REASON,
    Result.UNSENT: NOT_SENT_REASON,
    Result.OK: "",
}


@dataclass(slots=True, frozen=True)
class RangeCoverage:
    """Coverage of the range of shard column values that one part asks for."""

    low: int
    # Inclusive.
    high: int
    weight: float
    answered: bool
    # Why it is missing; empty if it is answered.
    missing_reason: str = ""
    leaf: str | None = None
    # Time from its answer to the query's answer; None if it has none.
    read_age_us: int | None = None


@dataclass(slots=True, frozen=True)
class Coverage:
    """What one answer covers, by range."""

    ranges: tuple[RangeCoverage, ...]

    @property
    def complete(self) -> bool:
        """Whether every range is answered."""
        return all(entry.answered for entry in self.ranges)

    @property
    def share(self) -> float:
        """The answered share of the weight: 1.0 only if every range is answered."""
        if self.complete:
            return 1.0
        asked = math.fsum(entry.weight for entry in self.ranges)
        answered = math.fsum(entry.weight for entry in self.ranges if entry.answered)
        return min(answered / asked, math.nextafter(1.0, 0.0))

    @property
    def percent(self) -> int:
        """The share in percent, rounded down from its exact value."""
        return math.floor(Fraction(self.share) * 100)

    @property
    def missing(self) -> list[RangeCoverage]:
        """The ranges that are not answered."""
        return [entry for entry in self.ranges if not entry.answered]

    @property
    def oldest_read_age_us(self) -> int:
        """Time from the oldest range's answer to the query's answer; 0 if no range is answered."""
        ages_us = [entry.read_age_us for entry in self.ranges if entry.read_age_us is not None]
        return max(ages_us, default=0)


def format_range(entry: RangeCoverage) -> str:
    """Return a range in the form that clients see."""
    return f"{entry.low}..{entry.high}"


def format_reasons(missing: Iterable[RangeCoverage]) -> str:
    """Return the reasons for missing ranges, each with the ranges it applies to."""
    ranges_by_reason = {}
    for entry in missing:
        ranges_by_reason.setdefault(entry.missing_reason, []).append(format_range(entry))
    return "; ".join(
        f"{reason}: {', '.join(ranges)}" for reason, ranges in ranges_by_reason.items()
    )
