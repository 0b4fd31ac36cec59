"""The form of an envelope in a datagram: a head that tells strangers at once, and a body of msgpack. No I/O.

Head: `mn`, the version, four bytes of the fleet's name hashed, 16 bytes of a keyed tag (blake2b over head and body).
The body's structs are arrays: a newer release appends fields, an older one skips them; of the same fields each reads
the other's messages. Two keys are valid at once, so that a key is changed root by root: the first signs.

Bounds: a datagram of `MOST` bytes; names, addresses, values as long as `decisions/fleet` allows; more is not read.
"""
from hashlib import blake2b
from hmac import compare_digest

import msgspec

from mothnotch.decisions.fleet import facts as f
from mothnotch.decisions.fleet import peers as p
from mothnotch.decisions.fleet.talk import Envelope

MAGIC, VERSION, MOST = b"mn", 1, 1400
FLEET, TAG = 4, 16
HEAD = len(MAGIC) + 1 + FLEET + TAG
NAME, ADDRESS = 64, 128


class Dropped(ValueError):
    """`why` is one of: short, long, stranger, version, fleet, tag, form."""

    def __init__(self, why):
        super().__init__(why)
        self.why = why


class Wire(msgspec.Struct, array_like=True):
    pass


class Claim(Wire):
    name: str
    life: tuple[int, int]
    turn: int
    state: str
    address: str


class Fact(Wire):
    origin: str
    life: tuple[int, int]
    key: str
    version: int
    value: bytes
    age_us: int
    span_us: int


class Mark(Wire):
    origin: str
    life: tuple[int, int]
    top: int
    sum: int


class Body(Wire):
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
    marks: list[Mark] = []
    wanted: list[Mark] = []


pack, unpack = msgspec.msgpack.Encoder().encode, msgspec.msgpack.Decoder(Body).decode


def same(kind, source):
    """A struct of the wire from one of the decisions', or the other way round: they have the same fields."""
    return kind(*(getattr(source, name) for name in (kind.__struct_fields__ if issubclass(kind, Wire)
                                                     else source.__struct_fields__)))


class Codec:
    """Of one fleet: its name, and one or two keys (bytes, 16 to 64 each)."""

    def __init__(self, fleet, keys):
        if not fleet or not 1 <= len(keys) <= 2 or not all(16 <= len(key) <= 64 for key in keys):
            raise ValueError("a fleet has a name, and one or two keys of 16 to 64 bytes")
        self.keys = list(keys)
        self.start = MAGIC + bytes([VERSION]) + blake2b(fleet.encode(), digest_size=FLEET).digest()

    def tag(self, key, body):
        return blake2b(self.start + body, digest_size=TAG, key=key).digest()

    def encode(self, envelope):
        """A datagram. What does not fit goes: facts first, then marks, then claims; all of it is said again."""
        m = envelope.message
        body = Body(m.kind, m.number, same(Claim, m.sender), m.to, m.target, m.address, m.stamp, m.echo,
                    [same(Claim, c) for c in m.claims], [same(Fact, x) for x in envelope.facts],
                    [same(Mark, x) for x in envelope.marks], [same(Mark, x) for x in envelope.wanted])
        packed = pack(body)
        while len(packed) > MOST - HEAD and (body.facts or body.marks or body.wanted or body.claims):
            (body.facts or body.marks or body.wanted or body.claims).pop()
            packed = pack(body)
        return self.start + self.tag(self.keys[0], packed) + packed

    def decode(self, data):
        """The envelope of a datagram; Dropped says why there is none. Nothing of it is looked at before the tag holds."""
        if len(data) < HEAD:
            raise Dropped("short")
        if len(data) > MOST:
            raise Dropped("long")
        if not data.startswith(MAGIC):
            raise Dropped("stranger")
        if data[2] != VERSION:
            raise Dropped("version")
        if data[:HEAD - TAG] != self.start:
            raise Dropped("fleet")
        body = data[HEAD:]
        if not any(compare_digest(self.tag(key, body), data[HEAD - TAG:HEAD]) for key in self.keys):
            raise Dropped("tag")
        try:
            found = unpack(body)
            return self.envelope(found)
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
            raise Dropped("form") from None

    def envelope(self, b):
        claims = [b.sender, *b.claims]
        if any(len(c.name) > NAME or len(c.address) > ADDRESS or c.turn < 0 for c in claims) or len(b.address) > ADDRESS:
            raise ValueError("a name or an address is too long")
        message = p.Message(b.kind, b.number, same(p.Claim, b.sender), b.to, b.target, b.address, b.stamp, b.echo,
                            tuple(same(p.Claim, c) for c in b.claims))
        return Envelope(message, tuple(same(f.Fact, x) for x in b.facts), tuple(same(f.Mark, x) for x in b.marks),
                        tuple(same(f.Mark, x) for x in b.wanted))
