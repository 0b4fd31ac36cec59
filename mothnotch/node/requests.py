"""Parsing of clients' requests, which are validated as a whole, and encoding of answers. No I/O."""

import math
import re
from dataclasses import dataclass

import h11
import msgspec

from mothnotch.decisions.interface import Idempotency
from mothnotch.root.request import PartSpec, Request

# Maximum size of a body: bounds the memory used per client.
MAX_BODY_BYTES = 1 << 16
# Maximum length of a session id, which the root keeps in memory; longer ones are cut.
MAX_SESSION_ID_LENGTH = 256
# Request ids and idempotency keys: they are part of a line in a leaf's frame, so they contain no
# space.
IDENTIFIER = re.compile(r"[0-9A-Za-z._:-]{1,128}")
MILLISECONDS = re.compile(r"[0-9]{1,9}")
HASH = re.compile(r"[0-9A-Fa-f]{1,32}")
# Rounding error by which the sum of the portions may differ from 1.
PORTION_TOLERANCE = 1e-3
# The header of a request that is not parsed yet; a complete line.
TIMEOUT_LINE_START = b"\nx-timeout-ms:"
TIMEOUT_LINE = re.compile(rb"(?i)\nx-timeout-ms:[ \t]*([0-9]{1,9})[ \t]*\r?\n")
# Maximum timeout of a request, as a multiple of the longest deadline of any class.
MAX_TIMEOUT_MULTIPLE = 10
KNOWN_HEADERS = (
    b"x-request-id",
    b"x-priority-class",
    b"x-tenant-id",
    b"x-timeout-ms",
    b"x-retried",
    b"idempotency-key",
)


class BadRequestError(ValueError):
    """An invalid request, of which nothing has run; `status` is the HTTP status of the answer."""

    def __init__(self, status: int, text: str):
        """`text`: the error message for the client."""
        super().__init__(text)
        self.status = status


@dataclass(slots=True, frozen=True)
class Head:
    """What is kept of a request's head while its body is received.

    `headers`: the pairs of name and value of those that the root knows.
    """

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...]

    @classmethod
    def from_event(cls, event: h11.Request) -> "Head":
        """Keep what is needed of a head that was parsed."""
        known = [(name, value) for name, value in event.headers if name in KNOWN_HEADERS]
        return cls(event.method, event.target, tuple(known))


class Range(msgspec.Struct):
    """A queried shard; `portion`: its share of the answer's value; `price`: its estimated cost."""

    range: int
    portion: float
    price: float | None = None
    hash: str | None = None


class Body(msgspec.Struct):
    """The body of a request."""

    ranges: list[Range]
    predicate: str


class Blob(msgspec.Struct):
    """One shard's part of an answer."""

    range: int
    blob: str


class Answer(msgspec.Struct):
    """The body of an answer; `total`: whether it is complete."""

    total: bool
    answers: list[Blob]


class Payload:
    """The data of a part that the leaf connection sends."""

    __slots__ = ("wire_id", "key", "text")

    def __init__(self, wire_id: str, key: str | None, text: bytes):
        """`key`: the idempotency key; None if the class does not use one."""
        self.wire_id = wire_id
        self.key = key
        self.text = text


decode = msgspec.json.Decoder(Body).decode
encode = msgspec.json.Encoder().encode


def parse(
    query_string: str,
    headers,
    body: bytes,
    arrived_us: int,
    settings,
    shard_count: int,
    answer_by_us: float = math.inf,
) -> tuple[str, Request]:
    """Return a client's request id and its request, whose deadline is at most `answer_by_us`.

    Raise BadRequestError if the request is invalid.
    """
    known_headers = _known_headers(headers)
    request_id = known_headers.get("x-request-id", "")
    if not IDENTIFIER.fullmatch(request_id):
        raise BadRequestError(400, "X-Request-ID: one word of letters, digits, . _ : - is needed")
    query_class = settings.classes.get(known_headers.get("x-priority-class", ""))
    if query_class is None:
        raise BadRequestError(400, "X-Priority-Class: no such class")
    tenant = _tenant(known_headers, settings)
    timeout_us = _timeout_us(known_headers, settings)
    key = _idempotency_key(known_headers, query_class)
    parts = _parts(body, shard_count, request_id, key)
    return request_id, Request(
        query_class.name,
        tenant,
        _session_id(query_string),
        int(min(arrived_us + timeout_us, answer_by_us)),
        parts,
        known_headers.get("x-retried") == "1",
    )


def encode_answer(query, outcome) -> bytes:
    """Return the body of a successful answer."""
    return encode(
        Answer(
            outcome.complete,
            [
                Blob(part.spec.shard, outcome.rows[index])
                for index, part in enumerate(query.parts)
                if index in outcome.rows
            ],
        )
    )


def _known_headers(headers):
    """Return the known headers as text. A header that is repeated with a different value is an
    error.
    """
    values = {}
    for raw_name, raw_value in headers:
        if raw_name.lower() not in KNOWN_HEADERS:
            continue
        name = raw_name.decode("latin-1").lower()
        value = raw_value.decode("latin-1").strip()
        if values.setdefault(name, value) != value:
            raise BadRequestError(400, f"{name} stands twice")
    return values


def _tenant(headers, settings):
    tenant = headers.get("x-tenant-id") or None if settings.tenant_quotas_qps else None
    if tenant is not None and tenant not in settings.tenant_quotas_qps:
        raise BadRequestError(400, "X-Tenant-Id: no such tenant")
    return tenant


def _timeout_us(headers, settings):
    timeout = headers.get("x-timeout-ms", "")
    if MILLISECONDS.fullmatch(timeout):
        timeout_us = int(timeout) * 1000
        longest_us = max(query_class.deadline_us for query_class in settings.classes.values())
        if 0 < timeout_us <= MAX_TIMEOUT_MULTIPLE * longest_us:
            return timeout_us
    raise BadRequestError(400, "X-Timeout-Ms: whole milliseconds are needed")


def timeout_ms(headers) -> int | None:
    """Return the timeout that a request's headers state, None if they state no valid one."""
    for name, value in headers:
        if name == b"x-timeout-ms" and MILLISECONDS.fullmatch(value.decode("latin-1")):
            return int(value)
    return None


def stated_timeouts_ms(data: bytes) -> list[int]:
    """Return the timeouts that requests in `data` state, which are not parsed yet."""
    lower_case = data.lower()
    timeouts_ms = []
    position = lower_case.find(TIMEOUT_LINE_START)
    while position >= 0:
        line = TIMEOUT_LINE.match(data, position)
        if line is not None:
            timeouts_ms.append(int(line[1]))
        position = lower_case.find(TIMEOUT_LINE_START, position + 1)
    return timeouts_ms


def _idempotency_key(headers, query_class):
    if query_class.idempotency is not Idempotency.WITH_KEY:
        return None
    key = headers.get("idempotency-key", "")
    if not IDENTIFIER.fullmatch(key):
        raise BadRequestError(400, "Idempotency-Key: one word is needed in this class")
    return key


def _session_id(query_string):
    """Return the value of `sid` in a query string, or None."""
    for pair in query_string.split("&"):
        name, _, value = pair.partition("=")
        if name == "sid":
            return value[:MAX_SESSION_ID_LENGTH] or None
    return None


def _parts(body, shard_count, request_id, key):
    try:
        request_body = decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        # RecursionError: the body is nested too deeply.
        raise BadRequestError(400, f"body: {error}") from None
    _check_ranges(request_body.ranges, shard_count)
    text = request_body.predicate.encode("utf-8", "surrogatepass")
    return tuple(
        PartSpec(
            shard_range.range,
            shard_range.portion,
            _cost_us(shard_range.price),
            Payload(f"{request_id}.{shard_range.range}", key, text),
        )
        for shard_range in request_body.ranges
    )


def _check_ranges(ranges, shard_count):
    if not ranges:
        raise BadRequestError(400, "ranges: none")
    seen = set()
    total = 0.0
    for shard_range in ranges:
        shard = shard_range.range
        portion = shard_range.portion
        if not 0 <= shard < shard_count:
            raise BadRequestError(400, f"ranges: no shard {shard}")
        if shard in seen:
            raise BadRequestError(400, f"ranges: shard {shard} stands twice")
        if not 0 < portion <= 1 + PORTION_TOLERANCE:
            raise BadRequestError(400, f"ranges: portion {portion} of shard {shard}")
        if shard_range.hash is not None and not HASH.fullmatch(shard_range.hash):
            raise BadRequestError(400, f"ranges: hash of shard {shard}")
        seen.add(shard)
        total += portion
    if abs(total - 1) > PORTION_TOLERANCE:
        raise BadRequestError(400, f"ranges: portions add up to {total}")


def _cost_us(price):
    """Return a part's estimated cost in whole microseconds; None if missing or implausible."""
    return int(price) if price is not None and math.isfinite(price) and 1 <= price <= 1e10 else None
