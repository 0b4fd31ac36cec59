"""What membership reports to its user: changes as events, and the state of each member."""

from dataclasses import dataclass
from enum import StrEnum

MAX_PENDING_CHANGES = 1024  # buffered until they are taken; beyond that, the oldest is dropped


class ChangeKind(StrEnum):
    """The kind of a membership change. The values appear in the log."""

    JOINED = "joined"
    SUSPECTED = "suspect"
    ALIVE = "sound"
    GONE = "gone"
    NEW_INCARNATION = "new life"
    NAME_CONFLICT = "twice"
    TABLE_FULL = "full"
    ISOLATED = "alone"
    REJOINED = "together"
    PAUSED = "paused"


@dataclass(slots=True, frozen=True)
class MembershipChange:
    """A change of one member, with its incarnation where that is known."""

    kind: ChangeKind
    name: str
    incarnation: tuple[int, int] | None = None


@dataclass(slots=True, frozen=True)
class MemberStatus:
    """The state of one member as this root sees it.

    `heard_us` and `since_us` are the ages, in microseconds, of the last message from the member
    and of its present state. `direct` tells whether its last probe was acked without a helper.
    """

    name: str
    incarnation: tuple[int, int]
    refutation: int
    state: str
    address: str
    heard_us: int | None
    since_us: int
    direct: bool
