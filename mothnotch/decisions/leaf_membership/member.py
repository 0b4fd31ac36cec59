"""The state of one instance, as last listed by the catalogue."""

from mothnotch.decisions.leaf_membership.catalogue_answers import (
    CRITICAL,
    PASSING,
    UP,
    CachedLeaf,
    Instance,
)
from mothnotch.decisions.leaf_membership.flap_damping import FlapDamping


class Member:
    """The known state of one instance."""

    __slots__ = (
        "address",
        "admin_state",
        "cell",
        "create_index",
        "damping",
        "health",
        "in_lost_incarnation",
        "missing_since_us",
        "name",
        "provisional_drain_index",
        "started_us",
        "stated_start_s",
        "weight",
        "zone",
    )

    def __init__(self, name: str):
        """Create a member of which only the name (node/id) is known."""
        self.name = name
        self.address = ""
        self.zone = ""
        self.cell = 0
        self.weight = 1.0
        # Up or draining according to the catalogue, regardless of health.
        self.admin_state = UP
        self.health = PASSING
        # Microseconds on the root's monotonic clock; 0: long ago.
        self.started_us = 0
        # Seconds of the wall clock, from the instance's metadata; None: not stated.
        self.stated_start_s = None
        self.create_index = 0
        # When an answer first omitted it; None: the latest answer lists it.
        self.missing_since_us = None
        # It was listed before the catalogue lost its state, and not since.
        self.in_lost_incarnation = False
        # The index at which a possible new incarnation drained or removed it; 0: it did neither.
        self.provisional_drain_index = 0
        self.damping = FlapDamping()

    @classmethod
    def from_cache(cls, cached: CachedLeaf, started_us: int) -> "Member":
        """Return a member with the state of a leaf from the list cached on disk."""
        member = cls(cached.name)
        member.address = cached.address
        member.zone = cached.zone
        member.cell = cached.cell
        member.admin_state = cached.state
        member.weight = cached.weight
        member.create_index = cached.create_index
        member.stated_start_s = cached.stated_start_s
        member.started_us = started_us
        return member

    def to_cache(self, now_us: int, wall_s: float) -> CachedLeaf:
        """Return the leaf to cache on disk, with the catalogue's state and not the damped one."""
        observed_start_s = None
        if self.started_us:
            observed_start_s = wall_s - (now_us - self.started_us) / 1e6
        return CachedLeaf(
            self.name,
            self.address,
            self.zone,
            self.cell,
            self.admin_state,
            self.weight,
            self.stated_start_s,
            self.create_index,
            observed_start_s,
        )

    @property
    def is_serving(self) -> bool:
        """Whether the catalogue, by both state and health, lets it take new work."""
        return self.admin_state == UP and self.health != CRITICAL

    @property
    def awaits_release(self) -> bool:
        """Whether flap damping alone keeps it out of service."""
        return self.damping.suppressed and self.is_serving

    def is_another_process(self, instance: Instance, stated_start_s: float | None) -> bool:
        """Return whether an instance is another process than the one known by its name.

        An instance that is registered again in a new incarnation of the catalogue gets a new
        `create_index`, though it may be the same process.
        """
        if self.address != instance.address:
            return True
        if stated_start_s is not None or self.stated_start_s is not None:
            return stated_start_s != self.stated_start_s
        return not self.in_lost_incarnation and self.create_index != instance.create_index
