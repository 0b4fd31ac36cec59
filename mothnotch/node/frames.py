"""Encode and decode the frames between a root and its leaves, without I/O.

A frame is its length in four bytes, little-endian, a one-letter type and a body. The length counts
the type and the body. Roots send `m` (call), `n` (cancel) and `p` (health check); leaves send `q`
(answer) and `o` or `p` (reply to a health check).
"""

import math
import re
import struct

import msgspec

# Maximum length of a received frame, checked before any of it is buffered.
MAX_FRAME_BYTES = 1 << 16
# Maximum length of the first line of an answer, so that a missing line feed is detected early.
MAX_LINE_BYTES = 512
LENGTH_PREFIX = struct.Struct("<I")
ANSWER_STATUSES = ("good", "bad", "later")
LEAF_FRAME_TYPES = b"opqr"  # accepted by `FrameReader`; the root has no use for `r`
WIRE_ID = re.compile(rb"[0-9A-Za-z._:-]{1,160}")
INTEGER = re.compile(rb"-?[0-9]{1,20}")


class FrameError(ValueError):
    """A received frame or answer is malformed; the connection can no longer be used."""


class CallPart(msgspec.Struct, frozen=True, gc=False):
    """One part of a call.

    `deadline_ms`: time until the deadline. `key`: the idempotency key, or None.
    """

    wire_id: str
    shard: int
    deadline_ms: int
    key: str | None
    text: bytes


class LeafAnswer(msgspec.Struct, frozen=True):
    """A leaf's answer to a part.

    `end`: the status, one of `ANSWER_STATUSES`. `report`: the leaf's load metrics by name, or None.
    """

    wire_id: str
    end: str
    report: dict[str, float] | None
    value: str


def encode_frame(frame_type: bytes, body: bytes = b"") -> bytes:
    """Return a frame of the given type and body."""
    return LENGTH_PREFIX.pack(1 + len(body)) + frame_type + body


def encode_call(parts: list[CallPart]) -> bytes:
    """Return the call frame that requests these parts from a leaf."""
    chunks = []
    for part in parts:
        options = f"d={part.deadline_ms}"
        if part.key is not None:
            options += f",k={part.key}"
        line = f"{part.wire_id} {part.shard} {options} {len(part.text)}\n"
        chunks += (line.encode(), part.text)
    return encode_frame(b"m", b"".join(chunks))


def encode_cancel(wire_id: str) -> bytes:
    """Return the frame that cancels a part."""
    return encode_frame(b"n", wire_id.encode())


class FrameReader:
    """Splits a byte stream into frames.

    The length of a frame may be wrong, so a frame is returned only once its end is confirmed: all
    received data ends with it, or the header of another frame follows. If anything else follows,
    the length was too small or too large, and the frame is dropped with what follows. A length that
    is too small leaves text behind, which is never a valid header; one that is too large takes the
    first bytes of the next frame, so that no valid header follows either.

    Memory is bounded by one frame of maximum length plus the data of one `feed`.
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES):
        """`max_frame_bytes`: the maximum value of a frame's length field."""
        self.max_frame_bytes = max_frame_bytes
        self.buffered = b""

    def feed(
        self, data: bytes, more_follows: bool = False, max_frames: float = math.inf
    ) -> tuple[list[tuple[bytes, bytes]], FrameError | None]:
        """Return the frames confirmed by `data` as (type, body) pairs, and the first error or None.

        `more_follows`: more data may have been received than `data`, so that its end confirms
        nothing. `max_frames`: more frames than these are an error. No frame can be read after one.
        """
        data = self.buffered + data if self.buffered else data
        confirmed = []
        unconfirmed = None  # the last complete frame
        start = 0
        kept_from = 0  # start of the first frame that is not confirmed
        try:
            while (end := self._end_of_frame(data, start)) is not None:
                if unconfirmed is not None:
                    confirmed.append(unconfirmed)
                    if len(confirmed) >= max_frames:
                        raise FrameError(f"more than {max_frames} frames, which answer nothing")
                unconfirmed = None
                kept_from = start
                if end > len(data):
                    break
                type_at = start + LENGTH_PREFIX.size
                unconfirmed = (data[type_at : type_at + 1], data[type_at + 1 : end])
                start = end
        except FrameError as error:
            self.buffered = b""
            return confirmed, error
        if unconfirmed is not None and start == len(data) and not more_follows:
            confirmed.append(unconfirmed)
            kept_from = start
        self.buffered = data[kept_from:]
        return confirmed, None

    def _end_of_frame(self, data, start):
        """Return where the frame at `start` ends, None if its header is incomplete.

        Raise FrameError if the header is invalid.
        """
        type_at = start + LENGTH_PREFIX.size
        if len(data) < type_at:
            return None
        length = LENGTH_PREFIX.unpack_from(data, start)[0]
        if not 1 <= length <= self.max_frame_bytes:
            raise FrameError(f"frame of {length} bytes; 1 to {self.max_frame_bytes} are accepted")
        if len(data) == type_at:
            return None
        if data[type_at] not in LEAF_FRAME_TYPES:
            raise FrameError(f"unknown frame type {data[type_at : type_at + 1]!r}")
        return type_at + length


def decode_answer(body: bytes) -> LeafAnswer:
    """Decode the body of an answer frame; raise FrameError if it is malformed."""
    line, line_feed, value = body.partition(b"\n")
    if not line_feed or len(line) > MAX_LINE_BYTES:
        raise FrameError("the first line of an answer is not terminated or too long")
    fields = line.split(b" ")
    if len(fields) != 4 or not WIRE_ID.fullmatch(fields[0]) or not INTEGER.fullmatch(fields[2]):
        raise FrameError("the first line of an answer is not ID END SCORE REPORT")
    end = fields[1].decode("latin-1")
    if end not in ANSWER_STATUSES:
        raise FrameError("unknown status in an answer")
    try:
        text = value.decode()
    except UnicodeDecodeError:
        raise FrameError("the value of an answer is not valid UTF-8") from None
    if "\x00" in text:
        # A length that is too large includes the following frame, whose length field contains a
        # zero byte.
        raise FrameError("the value of an answer contains another frame")
    return LeafAnswer(fields[0].decode(), end, decode_report(fields[3]), text)


def decode_report(field: bytes) -> dict[str, float] | None:
    """Return a leaf's load metrics by name; None if the report is absent or malformed."""
    if field in (b"-", b"", b"bad"):
        return None
    try:
        pairs = [pair.split("=") for pair in field.decode().split(",")]
        return {name: float(value) for name, value in pairs}
    except ValueError:
        return None
