"""Gossip messages besides claims: facts, digests of the stored facts, and full states."""

from dataclasses import dataclass

from mothnotch.decisions.fleet.swim_messages import Claim, Message

FACT_OVERHEAD_BYTES = 40  # estimated encoded size without the origin, the key and the value


@dataclass(slots=True, frozen=True)
class Fact:
    """A versioned fact in a message. `age_us` is its age when sent; it expires at age `ttl_us`."""

    origin: str
    incarnation: tuple[int, int]
    key: str
    version: int
    value: bytes
    age_us: int
    ttl_us: int

    @property
    def size(self) -> int:
        """Return the estimated encoded size, bytes."""
        return FACT_OVERHEAD_BYTES + len(self.origin) + len(self.key) + len(self.value)


@dataclass(slots=True, frozen=True)
class KnownFact:
    """A fact as returned to readers; `age_us` is an upper bound on its age."""

    origin: str
    incarnation: tuple[int, int]
    value: bytes
    version: int
    age_us: int


@dataclass(slots=True, frozen=True)
class DigestEntry:
    """A summary of the facts stored for one origin.

    It holds the origin's incarnation, the highest version, and a checksum over all keys and
    versions.
    """

    origin: str
    incarnation: tuple[int, int]
    max_version: int
    checksum: int


@dataclass(slots=True, frozen=True)
class Envelope:
    """A membership message with facts and digests.

    `digest` asks the receiver to reconcile. `wanted` summarizes origins of which the sender lacks
    facts, and asks the receiver to send them.
    """

    message: Message
    facts: tuple[Fact, ...] = ()
    digest: tuple[DigestEntry, ...] = ()
    wanted: tuple[DigestEntry, ...] = ()


@dataclass(slots=True, frozen=True)
class SendEnvelope:
    """An envelope to send to an address."""

    address: str
    envelope: Envelope


@dataclass(slots=True, frozen=True)
class FullState:
    """All claims and facts of a root.

    `stamp` is the sender's clock. `answers` is the receiver's stamp that this message answers, 0
    for none.
    """

    sender: Claim
    stamp: int
    answers: int
    claims: tuple[Claim, ...] = ()
    facts: tuple[Fact, ...] = ()
