"""Convert endpoint lists into the balancer's watch events.

Pure: callers pass in the entries (read from a file or a catalogue), the time and the previous list;
the functions return watch events or errors.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from mothnotch.decisions.interface import Endpoint, WatchEvent, WatchEventKind
from mothnotch.decisions.start_times import StartTimes

STATES = ("up", "draining", "removed")
# Start times kept for each departed leaf. A leaf rarely restarts more often than this while the
# agents' lists differ.
MAX_STARTS_PER_LEAF = 4
# Maximum number of departed leaves kept; beyond it the oldest is dropped.
MAX_DEPARTED = 4096


@dataclass(slots=True, frozen=True)
class Leaf:
    """A leaf's entry in an endpoint list."""

    name: str
    address: str
    zone: str
    cell: int
    state: str = "up"
    weight: float = 1.0
    # Start time in seconds of wall-clock time; None: long ago.
    started: float | None = None


def find_errors(leaves: Iterable[Leaf], cells: int) -> list[str]:
    """Return the errors of a list, each naming the leaf and what is allowed; empty if valid."""
    errors = []
    seen = set()
    for leaf in leaves:
        if leaf.name in seen:
            errors.append(f"leaf {leaf.name!r} is listed twice; give each process one name")
        seen.add(leaf.name)
        if leaf.state not in STATES:
            errors.append(
                f"leaf {leaf.name!r}: state {leaf.state!r} is not one of {', '.join(STATES)}"
            )
        if not 0 <= leaf.cell < cells:
            errors.append(f"leaf {leaf.name!r}: cell {leaf.cell} is not within 0..{cells - 1}")
        if not leaf.weight > 0:
            errors.append(
                f"leaf {leaf.name!r}: weight {leaf.weight} is not above 0; "
                "to empty a leaf, drain it"
            )
    return errors


def removes_whole_fleet(before: Iterable[Leaf], after: Iterable[Leaf]) -> bool:
    """Return whether applying a snapshot would remove every leaf although some are up.

    Such a snapshot must not be applied: the file may have been read while it was being written, or
    its source may have lost its state.
    """
    had_leaves = any(leaf.state == "up" for leaf in before)
    has_leaves = any(leaf.state != "removed" for leaf in after)
    return had_leaves and not has_leaves


def watch_event(
    leaves: Iterable[Leaf],
    version: int,
    now_us: int,
    starts: StartTimes,
    kind: WatchEventKind = WatchEventKind.SNAPSHOT,
) -> WatchEvent:
    """Return a list as a watch event, with start times converted to the caller's clock."""
    entries = tuple(
        Endpoint(
            leaf.name,
            leaf.zone,
            leaf.cell,
            leaf.state,
            leaf.weight,
            starts.started_us(leaf.name, leaf.started, now_us),
        )
        for leaf in leaves
    )
    # A list cached before the process started is not a message from discovery.
    if kind is not WatchEventKind.CACHED:
        starts.record_message(now_us)
    return WatchEvent(kind, version, entries)


@dataclass(slots=True, frozen=True)
class Departure:
    """The newest version that lists a leaf as draining or removed."""

    version: int
    # Start times of the departed instances of the leaf, the newest last.
    starts: tuple[float | None, ...]


class EndpointTracker:
    """Merge the versioned endpoint lists of several agents.

    Detects which lists are new, and prevents an older list from restoring a departed leaf. The
    versions of one agent only increase. Those of another agent, or of the same agent after it lost
    its state, may be lower: its snapshot is applied, but a draining or removed leaf keeps that
    state until a list at least as new contains it again, or the leaf has restarted.

    Cost: if versions start over, a leaf that drained and became ready again without a restart gets
    no queries until the versions have caught up. Bound: `max_departed` draining or removed leaves.
    """

    def __init__(self, max_departed: int = MAX_DEPARTED):
        """Start without any list."""
        self.max_departed = max_departed
        # Version of the most recently applied list.
        self.version = 0
        self.agent_changed = False
        self.departed: dict[str, Departure] = {}
        # Leaves that are up: name -> start time.
        self.up: dict[str, float | None] = {}

    def on_agent_changed(self) -> None:
        """Accept a snapshot of any version next, as a different agent is queried from now on."""
        self.agent_changed = True

    def is_stale_delta(self, version: int, is_snapshot: bool) -> bool:
        """Return whether a new agent's first message is a delta older than the current list.

        Such a delta does not show what the agent's list contains; only its snapshot does.
        """
        return self.agent_changed and not is_snapshot and version < self.version

    def apply(self, version: int, is_snapshot: bool, leaves: Sequence[Leaf]) -> list[Leaf] | None:
        """Apply a list and return its leaves with their effective states; None if it is not new.

        `is_snapshot`: the list is a snapshot, not a delta.
        """
        if not is_snapshot and version <= self.version:
            self.agent_changed = False
            return None
        if is_snapshot:
            self._remove_unlisted(version, {leaf.name for leaf in leaves})
        changed = [self._apply_leaf(version, leaf) for leaf in leaves]
        while len(self.departed) > self.max_departed:
            del self.departed[next(iter(self.departed))]
        self.version = version
        self.agent_changed = False
        return changed

    def _apply_leaf(self, version, leaf):
        """Return a leaf with its effective state: draining if an outdated list has it as up."""
        departure = self.departed.get(leaf.name)
        if leaf.state != "up":
            self._record_departure(leaf.name, version, leaf.started)
        elif departure is not None:
            if version < departure.version and leaf.started in departure.starts:
                leaf = replace(leaf, state="draining")
            else:
                del self.departed[leaf.name]
        if leaf.state == "up":
            self.up[leaf.name] = leaf.started
        else:
            self.up.pop(leaf.name, None)
        return leaf

    def _remove_unlisted(self, version, listed):
        """Record every leaf that is missing from a snapshot as removed."""
        for name in [name for name in self.up if name not in listed]:
            self._record_departure(name, version, self.up.pop(name))

    def _record_departure(self, name, version, started):
        """Record that a version lists the leaf with that start time as draining or removed.

        Keeps the newest such version, and the start times from all of them.
        """
        known = self.departed.pop(name, Departure(version, ()))
        others = tuple(other for other in known.starts if other != started)
        self.departed[name] = Departure(
            max(version, known.version), (*others[1 - MAX_STARTS_PER_LEAF :], started)
        )
