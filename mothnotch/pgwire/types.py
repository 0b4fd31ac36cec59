"""Conversion of values of the common types between Python and the text and binary formats.

Sources: PostgreSQL documentation, "Data Types", and drivers' descriptions of the binary formats,
which the types' send and receive functions define. A numeric consists of base-10000 digits; a date
is a number of days, a timestamp a number of microseconds since 2000-01-01.
"""

import datetime as dt
import struct
import uuid
from decimal import Decimal, InvalidOperation

BOOL, BYTEA, INT8, INT2, INT4, TEXT, OID, FLOAT4, FLOAT8, UNKNOWN = (
    16,
    17,
    20,
    21,
    23,
    25,
    26,
    700,
    701,
    705,
)
NAME, BPCHAR, VARCHAR, DATE, TIMESTAMP, TIMESTAMPTZ, NUMERIC, UUID, VOID = (
    19,
    1042,
    1043,
    1082,
    1114,
    1184,
    1700,
    2950,
    2278,
)
# Type OID -> length in bytes of a value; types of variable length are not in it.
SIZES = {
    BOOL: 1,
    INT8: 8,
    INT2: 2,
    INT4: 4,
    OID: 4,
    FLOAT4: 4,
    FLOAT8: 8,
    DATE: 4,
    TIMESTAMP: 8,
    TIMESTAMPTZ: 8,
    UUID: 16,
    NAME: 64,
    VOID: 4,
}
NAMES = {
    BOOL: "boolean",
    BYTEA: "bytea",
    INT8: "bigint",
    INT2: "smallint",
    INT4: "integer",
    TEXT: "text",
    FLOAT4: "real",
    FLOAT8: "double precision",
    DATE: "date",
    NUMERIC: "numeric",
    UUID: "uuid",
    VARCHAR: "character varying",
    BPCHAR: "character",
    TIMESTAMP: "timestamp without time zone",
    TIMESTAMPTZ: "timestamp with time zone",
    UNKNOWN: "unknown",
    NAME: "name",
    OID: "oid",
    VOID: "void",
}
# Type OID -> (minimum, maximum, struct format).
INTS = {
    INT2: (-(2**15), 2**15 - 1, "!h"),
    INT4: (-(2**31), 2**31 - 1, "!i"),
    INT8: (-(2**63), 2**63 - 1, "!q"),
    OID: (0, 2**32 - 1, "!I"),
}
TEXTS = frozenset((TEXT, VARCHAR, BPCHAR, NAME, UNKNOWN))
EPOCH_DATE, EPOCH = dt.date(2000, 1, 1), dt.datetime(2000, 1, 1)
BOOLEANS = {
    "t": True,
    "true": True,
    "yes": True,
    "on": True,
    "1": True,
    "y": True,
    "f": False,
    "false": False,
    "no": False,
    "off": False,
    "0": False,
    "n": False,
}


class InvalidValueError(Exception):
    """A value is invalid for its type; `sqlstate` tells in which way."""

    def __init__(self, text, sqlstate="22P02"):
        super().__init__(text)
        self.sqlstate = sqlstate


def _invalid_syntax(oid, text):
    return InvalidValueError(
        f"invalid input syntax for type {NAMES.get(oid, oid)}: {str(text)[:60]!r}"
    )


def from_text(oid, raw):
    """Return the Python value of a value in text format.

    It is an int, Decimal, float, bool, date, datetime, bytes, UUID or str.
    """
    text = raw.decode("utf-8") if isinstance(raw, (bytes, bytearray)) else raw
    try:
        if oid in INTS:
            value = int(text)
            if not INTS[oid][0] <= value <= INTS[oid][1]:
                raise InvalidValueError(
                    f"value {text[:60]!r} is out of range for type {NAMES[oid]}", "22003"
                )
            return value
        if oid == NUMERIC:
            return Decimal(text)
        if oid in (FLOAT4, FLOAT8):
            return float(text)
        if oid == BOOL:
            return BOOLEANS[text.strip().lower()]
        if oid == DATE:
            return dt.date.fromisoformat(text)
        if oid == TIMESTAMP or oid == TIMESTAMPTZ:
            return dt.datetime.fromisoformat(text)
        if oid == BYTEA:
            return bytes.fromhex(text[2:]) if text.startswith("\\x") else text.encode()
        if oid == UUID:
            return uuid.UUID(text)
    except (ValueError, InvalidOperation, KeyError):
        raise _invalid_syntax(oid, text) from None
    return text


def to_text(oid, value):
    """Return a Python value in text format, as bytes."""
    if value is True or value is False:
        return b"t" if value else b"f"
    if isinstance(value, float):
        if value != value:
            return b"NaN"
        if value in (float("inf"), float("-inf")):
            return b"Infinity" if value > 0 else b"-Infinity"
        text = repr(value)
        return (text[:-2] if text.endswith(".0") else text).encode()
    if isinstance(value, Decimal):
        return b"NaN" if value.is_nan() else format(value, "f").encode()
    if isinstance(value, bytes):
        return b"\\x" + value.hex().encode()
    if isinstance(value, dt.datetime):
        return value.isoformat(" ").encode()
    return str(value).encode("utf-8")


def from_binary(oid, raw):
    """Return the Python value of a value in binary format."""
    try:
        if oid in INTS:
            if len(raw) != struct.calcsize(INTS[oid][2]):
                raise struct.error
            return struct.unpack(INTS[oid][2], raw)[0]
        if oid == FLOAT8:
            return struct.unpack("!d", raw)[0]
        if oid == FLOAT4:
            return struct.unpack("!f", raw)[0]
        if oid == BOOL:
            return raw != b"\0"
        if oid == DATE:
            return EPOCH_DATE + dt.timedelta(days=struct.unpack("!i", raw)[0])
        if oid == TIMESTAMP:
            return EPOCH + dt.timedelta(microseconds=struct.unpack("!q", raw)[0])
        if oid == TIMESTAMPTZ:
            return (EPOCH + dt.timedelta(microseconds=struct.unpack("!q", raw)[0])).replace(
                tzinfo=dt.timezone.utc
            )
        if oid == NUMERIC:
            return _numeric_from_binary(raw)
        if oid == BYTEA:
            return bytes(raw)
        if oid == UUID:
            return uuid.UUID(bytes=bytes(raw))
        return raw.decode("utf-8")
    except (struct.error, ValueError, OverflowError):
        raise InvalidValueError(
            f"incorrect binary data format for type {NAMES.get(oid, oid)}", "22P03"
        ) from None


def _numeric_from_binary(raw):
    count, weight, sign, scale = struct.unpack("!hhHh", raw[:8])
    if sign == 0xC000:
        return Decimal("NaN")
    digits = struct.unpack(f"!{count}h", raw[8:])
    value = sum(d * Decimal(10000) ** (weight - n) for n, d in enumerate(digits))
    value = (
        Decimal(value).quantize(Decimal(1).scaleb(-scale)) if scale or not value else Decimal(value)
    )
    return -value if sign == 0x4000 else value


def _numeric_to_binary(value):
    if value.is_nan():
        return struct.pack("!hhHh", 0, 0, 0xC000, 0)
    sign, digits, exponent = value.as_tuple()
    scale = max(0, -exponent)
    integer_part, _, fraction = format(abs(value), "f").partition(".")
    integer_part = integer_part.lstrip("0")
    integer_part = integer_part.rjust(-(-len(integer_part) // 4) * 4, "0")
    fraction = fraction.ljust(-(-len(fraction) // 4) * 4, "0")
    groups = [
        int((integer_part + fraction)[n : n + 4]) for n in range(0, len(integer_part + fraction), 4)
    ]
    weight = len(integer_part) // 4 - 1
    while groups and groups[0] == 0:
        groups, weight = groups[1:], weight - 1
    while groups and groups[-1] == 0:
        groups.pop()
    return struct.pack(
        f"!hhHh{len(groups)}h",
        len(groups),
        weight if groups else 0,
        0x4000 if sign else 0,
        scale,
        *groups,
    )


def to_binary(oid, value):
    """Return a Python value, of a class that `from_text` returns, in binary format."""
    try:
        if oid in INTS:
            return struct.pack(INTS[oid][2], value)
        if oid == FLOAT8:
            return struct.pack("!d", value)
        if oid == FLOAT4:
            return struct.pack("!f", value)
        if oid == BOOL:
            return b"\1" if value else b"\0"
        if oid == DATE:
            return struct.pack("!i", (value - EPOCH_DATE).days)
        if oid == TIMESTAMP or oid == TIMESTAMPTZ:
            if value.tzinfo is not None:
                value = value.astimezone(dt.timezone.utc).replace(tzinfo=None)
            delta = value - EPOCH
            return struct.pack(
                "!q", (delta.days * 86400 + delta.seconds) * 1_000_000 + delta.microseconds
            )
        if oid == NUMERIC:
            return _numeric_to_binary(Decimal(value))
        if oid == BYTEA:
            return bytes(value)
        if oid == UUID:
            return value.bytes
    except struct.error:
        raise InvalidValueError(
            f"value {value!r} is out of range for type {NAMES.get(oid, oid)}", "22003"
        ) from None
    return str(value).encode("utf-8")


def convert_format(oid, raw, binary):
    """Convert a value from text format to binary format if `binary`; None stays None."""
    return to_binary(oid, from_text(oid, raw)) if binary and raw is not None else raw
