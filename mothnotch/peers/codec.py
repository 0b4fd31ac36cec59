"""The wire format of messages between roots: an authenticated header and a msgpack body. No I/O.

The header is a two-byte magic number for the kind, a version byte, a four-byte hash of the fleet's
name, and a 16-byte authentication tag (keyed blake2b over header and body). Two keys can be valid
at once, so that keys can be rotated root by root; the first one signs.

There are three kinds: `mn`, an envelope in a datagram, and over a stream, each with a length
prefix, `mw`, a full state, and `mv`, a root's view of the fleet for operators.

Bounds: MAX_DATAGRAM_BYTES per datagram, MAX_STREAM_BYTES per message on a stream; names and
addresses as long as wire.py allows. Larger messages are dropped.
"""

from collections.abc import Callable
from hashlib import blake2b
from hmac import compare_digest

import msgspec

from mothnotch.decisions.fleet import gossip_messages, swim_messages
from mothnotch.decisions.fleet.gossip_messages import Envelope, FullState
from mothnotch.peers.wire import (
    MAX_ADDRESS_CHARS,
    Claim,
    DigestEntry,
    EnvelopeBody,
    Fact,
    FullStateBody,
    View,
    check_bounds,
    from_wire,
    to_wire,
)

ENVELOPE_MAGIC = b"mn"
FULL_STATE_MAGIC = b"mw"
VIEW_MAGIC = b"mv"
VERSION = 1
FLEET_HASH_BYTES = 4
TAG_BYTES = 16
HEADER_BYTES = len(ENVELOPE_MAGIC) + 1 + FLEET_HASH_BYTES + TAG_BYTES
# Fits into one Ethernet frame: a fragmented datagram is lost if any fragment is.
MAX_DATAGRAM_BYTES = 1400
# The most that a client can make a root buffer before its tag is verified.
MAX_STREAM_BYTES = 1 << 20

pack = msgspec.msgpack.Encoder().encode
_unpack_envelope = msgspec.msgpack.Decoder(EnvelopeBody).decode
_unpack_full_state = msgspec.msgpack.Decoder(FullStateBody).decode
_unpack_view = msgspec.msgpack.Decoder(View).decode


class InvalidMessageError(ValueError):
    """A message is invalid and has to be dropped.

    `reason` is one of: short, long (a wrong size); stranger (another magic number); version, fleet,
    tag (a header field that does not match); form (a body that cannot be decoded); on a stream also
    stamp (the answer to another stamp).
    """

    def __init__(self, reason: str):
        """Create an error with a reason."""
        super().__init__(reason)
        self.reason = reason


class Codec:
    """Encodes and decodes the messages of one fleet."""

    def __init__(self, fleet: str, keys: list[bytes]):
        """Create a codec from the fleet's name and one or two keys of 16 to 64 bytes.

        The first key signs. Raise ValueError if the name is empty or the keys are invalid.
        """
        if not fleet or not 1 <= len(keys) <= 2 or not all(16 <= len(key) <= 64 for key in keys):
            raise ValueError("a fleet needs a name, and one or two keys of 16 to 64 bytes")
        self.keys = list(keys)
        fleet_hash = blake2b(fleet.encode(), digest_size=FLEET_HASH_BYTES).digest()
        self._version_and_fleet = bytes([VERSION]) + fleet_hash
        self.prefix = ENVELOPE_MAGIC + self._version_and_fleet

    # ---- header ----

    def seal(self, magic: bytes, body: bytes) -> bytes:
        """Return a body with its header prepended."""
        start = magic + self._version_and_fleet
        tag = blake2b(start + body, digest_size=TAG_BYTES, key=self.keys[0]).digest()
        return start + tag + body

    def _open(self, magic: bytes, data: bytes, max_bytes: int) -> bytes:
        """Return the body of a message; raise InvalidMessageError if its header is invalid.

        The body is not decoded before the tag is verified.
        """
        if len(data) < HEADER_BYTES:
            raise InvalidMessageError("short")
        if len(data) > max_bytes:
            raise InvalidMessageError("long")
        if not data.startswith(magic):
            raise InvalidMessageError("stranger")
        if data[2] != VERSION:
            raise InvalidMessageError("version")
        start = data[: HEADER_BYTES - TAG_BYTES]
        tag = data[HEADER_BYTES - TAG_BYTES : HEADER_BYTES]
        body = data[HEADER_BYTES:]
        if start != magic + self._version_and_fleet:
            raise InvalidMessageError("fleet")
        if not any(
            compare_digest(blake2b(start + body, digest_size=TAG_BYTES, key=key).digest(), tag)
            for key in self.keys
        ):
            raise InvalidMessageError("tag")
        return body

    def _decode(
        self, magic: bytes, data: bytes, max_bytes: int, unpack: Callable, convert: Callable
    ):
        body = self._open(magic, data, max_bytes)
        try:
            return convert(unpack(body))
        except (msgspec.DecodeError, UnicodeDecodeError, ValueError):
            raise InvalidMessageError("form") from None

    # ---- datagrams ----

    def encode(self, envelope: Envelope) -> bytes:
        """Return an envelope as a datagram.

        What does not fit is left out: facts first, then the digest, then wanted entries, then
        claims. All of it is retransmitted later.
        """
        body = _envelope_to_wire(envelope)
        packed = pack(body)
        while len(packed) > MAX_DATAGRAM_BYTES - HEADER_BYTES:
            field = body.facts or body.digest or body.wanted or body.claims
            if not field:
                break
            field.pop()
            packed = pack(body)
        return self.seal(ENVELOPE_MAGIC, packed)

    def decode(self, data: bytes) -> Envelope:
        """Return the envelope in a datagram; raise InvalidMessageError if it is invalid."""
        return self._decode(
            ENVELOPE_MAGIC, data, MAX_DATAGRAM_BYTES, _unpack_envelope, _envelope_from_wire
        )

    # ---- streams ----

    def encode_full_state(self, state: FullState) -> bytes:
        """Return a full state as a message for a stream.

        Facts that do not fit are left out; digests deliver them later.
        """
        sender = to_wire(Claim, state.sender)
        claims = [to_wire(Claim, claim) for claim in state.claims]
        facts = [to_wire(Fact, fact) for fact in state.facts]
        while True:
            packed = pack(FullStateBody(sender, state.stamp, state.answers, claims, facts))
            if len(packed) <= MAX_STREAM_BYTES - HEADER_BYTES or not facts:
                return self.seal(FULL_STATE_MAGIC, packed)
            facts = facts[: len(facts) // 2]

    def decode_full_state(self, data: bytes) -> FullState:
        """Return the full state in a message; raise InvalidMessageError if it is invalid."""
        return self._decode(
            FULL_STATE_MAGIC, data, MAX_STREAM_BYTES, _unpack_full_state, _full_state_from_wire
        )

    def encode_view(self, view: View) -> bytes:
        """Return a view, or a request for one, as a message for a stream."""
        return self.seal(VIEW_MAGIC, pack(view))

    def decode_view(self, data: bytes) -> View:
        """Return the view or request in a message; raise InvalidMessageError if it is invalid."""
        return self._decode(VIEW_MAGIC, data, MAX_STREAM_BYTES, _unpack_view, lambda view: view)


def _envelope_to_wire(envelope: Envelope) -> EnvelopeBody:
    message = envelope.message
    return EnvelopeBody(
        message.kind,
        message.number,
        to_wire(Claim, message.sender),
        message.to,
        message.target,
        message.address,
        message.stamp,
        message.echo,
        [to_wire(Claim, claim) for claim in message.claims],
        [to_wire(Fact, fact) for fact in envelope.facts],
        [to_wire(DigestEntry, entry) for entry in envelope.digest],
        [to_wire(DigestEntry, entry) for entry in envelope.wanted],
    )


def _envelope_from_wire(body: EnvelopeBody) -> Envelope:
    check_bounds((body.sender, *body.claims))
    if len(body.address) > MAX_ADDRESS_CHARS:
        raise ValueError("address is too long")
    message = swim_messages.Message(
        body.kind,
        body.number,
        from_wire(swim_messages.Claim, body.sender),
        body.to,
        body.target,
        body.address,
        body.stamp,
        body.echo,
        tuple(from_wire(swim_messages.Claim, claim) for claim in body.claims),
    )
    return Envelope(
        message,
        tuple(from_wire(gossip_messages.Fact, fact) for fact in body.facts),
        tuple(from_wire(gossip_messages.DigestEntry, entry) for entry in body.digest),
        tuple(from_wire(gossip_messages.DigestEntry, entry) for entry in body.wanted),
    )


def _full_state_from_wire(body: FullStateBody) -> FullState:
    check_bounds((body.sender, *body.claims))
    return FullState(
        from_wire(swim_messages.Claim, body.sender),
        body.stamp,
        body.answers,
        tuple(from_wire(swim_messages.Claim, claim) for claim in body.claims),
        tuple(from_wire(gossip_messages.Fact, fact) for fact in body.facts),
    )
