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
class Piece:
    """Coverage of the range of shard column values that one part asks for."""

    low: int
    # Inclusive.
    high: int
    weight: float
    answered: bool
    # Why it is missing; empty if it is answered.
    why: str = ""
    leaf: str | None = None
    # Time from its answer to the query's answer; None if it has none.
    read_us: int | None = None


@dataclass(slots=True, frozen=True)
class Coverage:
    """What one answer covers, by range."""

    pieces: tuple[Piece, ...]

    @property
    def complete(self) -> bool:
        """Whether every range is answered."""
        return all(piece.answered for piece in self.pieces)

    @property
    def share(self) -> float:
        """The answered share of the weight: 1.0 only if every range is answered."""
        if self.complete:
            return 1.0
        asked = math.fsum(piece.weight for piece in self.pieces)
        answered = math.fsum(piece.weight for piece in self.pieces if piece.answered)
        return min(answered / asked, math.nextafter(1.0, 0.0))

    @property
    def percent(self) -> int:
        """The share in percent, rounded down from its exact value."""
        return math.floor(Fraction(self.share) * 100)

    @property
    def missing(self) -> list[Piece]:
        """The ranges that are not answered."""
        return [piece for piece in self.pieces if not piece.answered]

    @property
    def oldest_us(self) -> int:
        """Time from the oldest range's answer to the query's answer; 0 if no range is answered."""
        ages_us = [piece.read_us for piece in self.pieces if piece.read_us is not None]
        return max(ages_us, default=0)


def format_range(piece: Piece) -> str:
    """Return a range in the form that clients see."""
    return f"{piece.low}..{piece.high}"


def format_reasons(missing: Iterable[Piece]) -> str:
    """Return the reasons for missing ranges, each with the ranges it applies to."""
    ranges_by_reason = {}
    for piece in missing:
        ranges_by_reason.setdefault(piece.why, []).append(format_range(piece))
    return "; ".join(f"{why}: {', '.join(ranges)}" for why, ranges in ranges_by_reason.items())
