"""The structs of messages between roots, encoded as msgpack arrays.

Only the order of the fields is on the wire, not their names. Newer releases may only append fields
with defaults, and older ones skip them, so that both read each other's messages.
"""

import msgspec

MAX_NAME_CHARS = 64
MAX_ADDRESS_CHARS = 128


class WireStruct(msgspec.Struct, array_like=True):
    """A struct whose fields are encoded by position."""


class Claim(WireStruct):
    """The wire form of swim_messages.Claim."""

    name: str
    incarnation: tuple[int, int]
    refutation: int
    state: str
    address: str


class Fact(WireStruct):
    """The wire form of gossip_messages.Fact."""

    origin: str
    incarnation: tuple[int, int]
    key: str
    version: int
    value: bytes
    age_us: int
    ttl_us: int


class DigestEntry(WireStruct):
    """The wire form of gossip_messages.DigestEntry."""

    origin: str
    incarnation: tuple[int, int]
    max_version: int
    checksum: int


class EnvelopeBody(WireStruct):
    """The wire form of gossip_messages.Envelope, with the message's fields first."""

    kind: str
    number: int
    sender: Claim
    to: str = ""
    target: str = ""
    address: str = ""
    stamp: int = 0
    echo: tuple[int, int] | None = None
    claims: list[Claim] = []
    facts: list[Fact] = []
    digest: list[DigestEntry] = []
    wanted: list[DigestEntry] = []


class FullStateBody(WireStruct):
    """The wire form of gossip_messages.FullState."""

    sender: Claim
    stamp: int
    answers: int
    claims: list[Claim] = []
    facts: list[Fact] = []


class PeerView(WireStruct):
    """One peer in a root's view. Ages are in microseconds; `heard_us` is -1 if never heard."""

    name: str
    incarnation: tuple[int, int]
    state: str
    address: str
    heard_us: int
    since_us: int
    direct: bool
    facts: int = 0
    oldest_us: int = 0


class View(WireStruct):
    """A root's view of its fleet. A request has only `number`, which the response repeats."""

    number: int
    name: str = ""
    incarnation: tuple[int, int] = (0, 0)
    address: str = ""
    isolated: bool = False
    up_us: int = 0
    peers: list[PeerView] = []
    counts: dict[str, int] = {}
    facts: list[Fact] = []


def to_wire(kind, source):
    """Convert a dataclass of decisions/fleet/ to the wire struct `kind`, by equal field names."""
    return kind(*(getattr(source, name) for name in kind.__struct_fields__))


def from_wire(kind, source):
    """Convert a wire struct to the dataclass `kind` of decisions/fleet/, by equal field names."""
    return kind(*(getattr(source, name) for name in source.__struct_fields__))


def check_bounds(claims) -> None:
    """Raise ValueError if a claim's name or address is too long or its refutation is negative."""
    for claim in claims:
        if (
            len(claim.name) > MAX_NAME_CHARS
            or len(claim.address) > MAX_ADDRESS_CHARS
            or claim.refutation < 0
        ):
            raise ValueError(
                "the name or address of a claim is too long, or its refutation is negative"
            )
