"""Discovery's list of leaves, as JSON, made into the project's words."""
import msgspec

from mothnotch.decisions import roster

STATES = {"Ready": "up", "Terminating": "draining", "Gone": "removed"}


class Target(msgspec.Struct):
    uid: str
    endpoint: str
    pod_group: int
    az: str = ""
    state: str = "Ready"
    capacity_hint: float = 1.0
    boot_ms: float = 0


class Listing(msgspec.Struct):
    rev: int
    targets: list[Target]
    all: bool = False


decode = msgspec.json.Decoder(Listing).decode


def leaves(listing):
    """The leaves of a list, in the project's words. A state not known takes nothing new."""
    return [roster.Leaf(t.uid, t.endpoint, t.az, t.pod_group, STATES.get(t.state, "draining"), t.capacity_hint,
                        t.boot_ms / 1000 if t.boot_ms > 0 else None) for t in listing.targets]
