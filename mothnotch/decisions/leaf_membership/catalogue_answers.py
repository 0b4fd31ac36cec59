"""Messages of the leaf membership: agents' answers, cached leaves and local evidence."""

from dataclasses import dataclass, field

UP = "up"
DRAINING = "draining"

PASSING = "passing"
WARNING = "warning"
CRITICAL = "critical"

# An answer is stale if its agent last heard from the leader longer ago: the list may be of any age.
STALE_CONTACT_MS = 5000.0


@dataclass(slots=True, frozen=True)
class Instance:
    """One instance of the service, as listed in an answer.

    `name` is node/id, since service ids are unique only within a node.
    """

    name: str
    address: str
    tags: tuple[str, ...] = ()
    meta: dict[str, str] = field(default_factory=dict)
    # The weights while the checks are passing and while one is warning.
    weights: tuple[int, int] = (1, 1)
    # (check id, status) pairs.
    checks: tuple[tuple[str, str], ...] = ()
    # The catalogue index at which the instance was registered.
    create_index: int = 0


@dataclass(slots=True, frozen=True)
class CatalogueAnswer:
    """An agent's answer to one query for the instances of the service."""

    agent: int
    requested_us: int
    index: int
    instances: tuple[Instance, ...]
    # The answer was given in consistent mode: the leader confirmed that it is current.
    consistent: bool = False
    known_leader: bool = True
    last_contact_ms: float = 0.0
    # ACLs removed entries from the answer.
    filtered: bool = False
    # Parse errors, one for each entry that could not be parsed.
    parse_errors: tuple[str, ...] = ()

    @property
    def is_stale(self) -> bool:
        """Whether the headers of the answer say that it may be out of date."""
        return not self.known_leader or self.last_contact_ms > STALE_CONTACT_MS


@dataclass(slots=True, frozen=True)
class CachedLeaf:
    """One leaf in the list cached on disk.

    Both start times are in seconds of the wall clock. `stated_start_s` is the start that the leaf
    states in its metadata, or None if it states none. `observed_start_s` is the start that the root
    assumes, or None if it was long ago.
    """

    name: str
    address: str
    zone: str
    cell: int
    state: str
    weight: float
    stated_start_s: float | None
    create_index: int = 0
    observed_start_s: float | None = None


@dataclass(slots=True)
class LocalEvidence:
    """When a leaf last answered and last failed on the root's own connections (monotonic us)."""

    last_answered_us: int | None = None
    last_failed_us: int | None = None

    def is_failing(self, now_us: int, min_duration_us: int) -> bool:
        """Return whether the leaf has given nothing but failures for `min_duration_us`."""
        if self.last_failed_us is None:
            return False
        if self.last_answered_us is None:
            return True
        return (
            self.last_failed_us > self.last_answered_us
            and now_us - self.last_answered_us > min_duration_us
        )


@dataclass(slots=True, frozen=True)
class LogEvent:
    """A line to log; `level` is the name of the logger's method."""

    level: str
    text: str
    details: dict
