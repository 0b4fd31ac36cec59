"""Settings of the leaf membership."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class MembershipSettings:
    """How to interpret instances and when to trust answers; ratios are shares of the list."""

    cells: int
    # The number of adjacent cells whose leaves are the replicas of one range.
    reach: int
    drain_tags: frozenset[str] = frozenset(("draining",))
    # (key, value) pairs of the service's metadata that mark a drain.
    drain_meta: tuple[tuple[str, str], ...] = (("state", "draining"),)
    # Whether weight 0 means draining.
    drain_weight: bool = True
    # Whether maintenance mode of the node or the service means draining.
    drain_maintenance: bool = True
    # Whether critical checks take leaves out of service, up to the ratio below.
    health: bool = True
    max_critical_ratio: float = 0.5
    # An answer from which more than this share of the leaves is missing is in doubt.
    max_shrink_ratio: float = 0.3
    # A leaf missing from a doubtful answer is removed this long after it was last heard from ...
    hold_missing_us: int = 1_800_000_000
    # ... or once the root's own connections to it have failed for this long.
    local_failure_us: int = 10_000_000
    # The assumed maximum difference between the clocks of two machines.
    clock_skew_s: float = 2.0
    # The most instances in the list; further ones are ignored.
    max_instances: int = 10_000
    # Keys of the service's metadata.
    cell_key: str = "cell"
    zone_key: str = "zone"
    started_key: str = "started"
