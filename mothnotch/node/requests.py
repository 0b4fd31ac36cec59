"""A client's request, checked as a whole before anything of it counts, and the bodies of answers.
No I/O.
"""

import math
import re

import msgspec

from mothnotch.decisions.interface import Idempotency
from mothnotch.root.request import PartSpec, Request

# The longest body: what one client may have the root hold.
BODY_BYTES = 1 << 16
# Of a session id: what one client may have the root hold of it.
SESSION_ID_LENGTH = 256
# Ids and keys stand in a line of a leaf's frame, so they hold no space.
WORD = re.compile(r"[0-9A-Za-z._:-]{1,128}")
MILLISECONDS = re.compile(r"[0-9]{1,9}")
HASH = re.compile(r"[0-9A-Fa-f]{1,32}")
# Portions may add up to so little beside 1, by rounding.
PORTION_TOLERANCE = 1e-3
# A stated time is at most so many times the longest deadline of a class.
TIMEOUT_MULTIPLE = 10
HEADERS = (
    "x-request-id",
    "x-priority-class",
    "x-tenant-id",
    "x-timeout-ms",
    "x-retried",
    "idempotency-key",
)


class BadRequestError(ValueError):
    """An error for the client, with its HTTP `status`; nothing of the request has run."""

    def __init__(self, status: int, text: str):
        """`text` says what is wrong."""
        super().__init__(text)
        self.status = status


class Range(msgspec.Struct):
    """A shard that is asked, and its portion of the answer's worth; `price`: its guessed work."""

    range: int
    portion: float
    price: float | None = None
    hash: str | None = None


class Body(msgspec.Struct):
    """The body of a request."""

    ranges: list[Range]
    predicate: str


class Blob(msgspec.Struct):
    """A shard's part of an answer."""

    range: int
    blob: str


class Answer(msgspec.Struct):
    """The body of an answer; `total`: whether it is complete."""

    total: bool
    answers: list[Blob]


class Payload:
    """What the leaf's driver needs of a part."""

    __slots__ = ("wire_id", "key", "text")

    def __init__(self, wire_id: str, key: str | None, text: bytes):
        """`key`: if the request is idempotent by key."""
        self.wire_id = wire_id
        self.key = key
        self.text = text


decode = msgspec.json.Decoder(Body).decode
encode = msgspec.json.Encoder().encode


def read(
    query_string: str,
    headers,
    body: bytes,
    arrived_us: int,
    settings,
    shards: int,
    answer_by_us: float = math.inf,
) -> tuple[str, Request]:
    """Return a client's request id and its request, to be answered by `answer_by_us` at the latest.

    Raise BadRequestError if it may not run.
    """
    found = _known_headers(headers)
    request_id = found.get("x-request-id", "")
    if not WORD.fullmatch(request_id):
        raise BadRequestError(400, "X-Request-ID: one word of letters, digits, . _ : - is needed")
    query_class = settings.classes.get(found.get("x-priority-class", ""))
    if query_class is None:
        raise BadRequestError(400, "X-Priority-Class: no such class")
    tenant = _tenant(found, settings)
    timeout_us = _timeout_us(found, settings)
    key = _idempotency_key(found, query_class)
    parts = _parts(body, shards, request_id, key)
    return request_id, Request(
        query_class.name,
        tenant,
        _session_id(query_string),
        int(min(arrived_us + timeout_us, answer_by_us)),
        parts,
        found.get("x-retried") == "1",
    )


def answered(query, outcome) -> bytes:
    """Return the body of an answer that was served."""
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
    """The headers that mean something here, as text; one that stands twice with different values is
    an error.
    """
    found = {}
    for raw_name, raw_value in headers:
        name = raw_name.decode("latin-1").lower()
        value = raw_value.decode("latin-1").strip()
        if name in HEADERS and found.setdefault(name, value) != value:
            raise BadRequestError(400, f"{name} stands twice")
    return found


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
        if 0 < timeout_us <= TIMEOUT_MULTIPLE * longest_us:
            return timeout_us
    raise BadRequestError(400, "X-Timeout-Ms: whole milliseconds are needed")


def _idempotency_key(headers, query_class):
    if query_class.idempotency is not Idempotency.WITH_KEY:
        return None
    key = headers.get("idempotency-key", "")
    if not WORD.fullmatch(key):
        raise BadRequestError(400, "Idempotency-Key: one word is needed in this class")
    return key


def _session_id(query_string):
    """The value of `sid` in a query string, or None."""
    for pair in query_string.split("&"):
        name, _, value = pair.partition("=")
        if name == "sid":
            return value[:SESSION_ID_LENGTH] or None
    return None


def _parts(body, shards, request_id, key):
    try:
        asked = decode(body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        # The last: nested too deep.
        raise BadRequestError(400, f"body: {error}") from None
    _check_ranges(asked.ranges, shards)
    text = asked.predicate.encode("utf-8", "surrogatepass")
    return tuple(
        PartSpec(
            asked_range.range,
            asked_range.portion,
            _cost_us(asked_range.price),
            Payload(f"{request_id}.{asked_range.range}", key, text),
        )
        for asked_range in asked.ranges
    )


def _check_ranges(ranges, shards):
    if not ranges:
        raise BadRequestError(400, "ranges: none")
    seen = set()
    total = 0.0
    for asked_range in ranges:
        shard = asked_range.range
        portion = asked_range.portion
        if not 0 <= shard < shards:
            raise BadRequestError(400, f"ranges: no shard {shard}")
        if shard in seen:
            raise BadRequestError(400, f"ranges: shard {shard} stands twice")
        if not 0 < portion <= 1 + PORTION_TOLERANCE:
            raise BadRequestError(400, f"ranges: portion {portion} of shard {shard}")
        if asked_range.hash is not None and not HASH.fullmatch(asked_range.hash):
            raise BadRequestError(400, f"ranges: hash of shard {shard}")
        seen.add(shard)
        total += portion
    if abs(total - 1) > PORTION_TOLERANCE:
        raise BadRequestError(400, f"ranges: portions add up to {total}")


def _cost_us(price):
    """A part's guessed work in whole microseconds; None where it says nothing."""
    return int(price) if price is not None and math.isfinite(price) and 1 <= price <= 1e10 else None
