"""Messages that a server sends: encoding for the server and decoding for the client.

Source: PostgreSQL documentation, "Message Formats" and "Error and Notice Message Fields".
"""

import struct
from dataclasses import dataclass, field

from mothnotch.pgwire.framing import INT32, Reader, cstring, message, value_list

AUTH_OK = message(b"R", INT32.pack(0))
PARSE_COMPLETE, BIND_COMPLETE, CLOSE_COMPLETE = message(b"1"), message(b"2"), message(b"3")
NO_DATA, EMPTY_QUERY, PORTAL_SUSPENDED = message(b"n"), message(b"I"), message(b"s")
COLUMN = struct.Struct("!ihihih")


@dataclass(slots=True, frozen=True)
class Column:
    """A column of a result.

    `size`: the length of the type in bytes, -1 if it varies; `format`: 0 for text, 1 for binary.
    """

    name: str
    oid: int
    size: int = -1
    format: int = 0


@dataclass(slots=True)
class ErrorFields:
    """The fields of an ErrorResponse or NoticeResponse.

    `other_fields` maps the type bytes of further fields to their values.
    """

    severity: str
    sqlstate: str
    text: str
    detail: str = ""
    hint: str = ""
    position: str = ""
    other_fields: dict = field(default_factory=dict)

    ATTRIBUTE_NAMES = {
        "S": "severity",
        "C": "sqlstate",
        "M": "text",
        "D": "detail",
        "H": "hint",
        "P": "position",
    }


def ready(status):
    return message(b"Z", status)


READY = {status: ready(status) for status in (b"I", b"T", b"E")}


def authentication_sasl(mechanisms):
    return message(b"R", INT32.pack(10), *(cstring(m) for m in mechanisms), b"\0")


def authentication_sasl_continue(text):
    return message(b"R", INT32.pack(11), text.encode())


def authentication_sasl_final(text):
    return message(b"R", INT32.pack(12), text.encode())


def negotiate_protocol_version(minor, unknown_options):
    """NegotiateProtocolVersion: the newest supported minor version and the unknown options."""
    return message(
        b"v",
        INT32.pack(minor),
        INT32.pack(len(unknown_options)),
        *(cstring(name) for name in unknown_options),
    )


def parameter_status(name, value):
    return message(b"S", cstring(name), cstring(value))


def key_data(pid, secret):
    return message(b"K", struct.pack("!II", pid, secret))


def row_description(columns):
    out = [struct.pack("!H", len(columns))]
    for c in columns:
        out += [cstring(c.name), COLUMN.pack(0, 0, c.oid, c.size, -1, c.format)]
    return message(b"T", *out)


def parameter_description(oids):
    return message(b"t", struct.pack(f"!H{len(oids)}I", len(oids), *oids))


def data_row(items):
    return message(b"D", value_list(items))


def command_complete(tag):
    return message(b"C", cstring(tag))


def _encode_fields(kind, e):
    pairs = [("S", e.severity), ("V", e.severity), ("C", e.sqlstate), ("M", e.text)]
    pairs += [(k, v) for k, v in (("D", e.detail), ("H", e.hint), ("P", e.position)) if v]
    pairs += [
        (k, v) for k, v in e.other_fields.items() if k not in ("S", "V", "C", "M", "D", "H", "P")
    ]
    return message(kind, *(k.encode() + cstring(v) for k, v in pairs), b"\0")


def error(fields):
    return _encode_fields(b"E", fields)


def notice(fields):
    return _encode_fields(b"N", fields)


# ---- decoding, for the client ----


def read_fields(body, message_name="ErrorResponse"):
    """Decode the body of an ErrorResponse or NoticeResponse; missing fields get defaults."""
    r, by_type = Reader(body, message_name), {}
    while True:
        kind = r.byte()
        if kind == b"\0":
            break
        by_type[kind.decode("latin-1")] = r.string()
    r.end()
    attributes = {
        name: by_type.pop(letter)
        for letter, name in ErrorFields.ATTRIBUTE_NAMES.items()
        if letter in by_type
    }
    attributes.setdefault("severity", "ERROR")
    attributes.setdefault("sqlstate", "XX000")
    attributes.setdefault("text", "")
    return ErrorFields(**attributes, other_fields=by_type)


def read_row_description(body):
    r, columns = Reader(body, "RowDescription"), []
    for _ in range(r.count()):
        name = r.string()
        _, _, oid, size, _, format = COLUMN.unpack(r.take(COLUMN.size))
        columns.append(Column(name, oid & 0xFFFFFFFF, size, format))
    r.end()
    return columns


def read_data_row(body):
    """Return the values of a row.

    Does not use Reader except for errors, because decoding rows is a hot path of the root.
    """
    count, at, out, size = int.from_bytes(body[:2], "big"), 2, [], len(body)
    unpack = INT32.unpack_from
    for _ in range(count):
        if at + 4 > size:
            Reader(body, "DataRow").take(size + 1)
        length = unpack(body, at)[0]
        at += 4
        if length == -1:
            out.append(None)
        else:
            if length < 0 or at + length > size:
                Reader(body, "DataRow").take(size + 1)
            out.append(body[at : at + length])
            at += length
    if at != size:
        r = Reader(body, "DataRow")
        r.position = at
        r.end()
    return out
