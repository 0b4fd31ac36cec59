"""The client side: messages from the root to a leaf, and parsing of the leaf's messages."""

import struct
from dataclasses import dataclass
from functools import lru_cache

from mothnotch.pgwire import backend as b
from mothnotch.pgwire.framing import (
    INT32,
    Framer,
    ProtocolError,
    Reader,
    cstring,
    int16_values,
    message,
    value_list,
)

SYNC, FLUSH, TERMINATE = message(b"S"), message(b"H"), message(b"X")


def startup(parameters):
    body = (
        INT32.pack(196608)
        + b"".join(cstring(k) + cstring(v) for k, v in parameters.items())
        + b"\0"
    )
    return INT32.pack(len(body) + 4) + body


def cancel_request(pid, secret):
    return struct.pack("!IIII", 16, 80877102, pid, secret)


def query(sql):
    return message(b"Q", cstring(sql))


@lru_cache(maxsize=4096)
def parse(name, sql, oids=()):
    return message(
        b"P", cstring(name), cstring(sql), struct.pack(f"!H{len(oids)}I", len(oids), *oids)
    )


def bind(portal, statement, formats, parameters, result_formats):
    return message(
        b"B",
        cstring(portal),
        cstring(statement),
        int16_values(formats),
        value_list(parameters),
        int16_values(result_formats),
    )


def execute(portal="", max_rows=0):
    return message(b"E", cstring(portal), INT32.pack(max_rows))


def sasl_initial(mechanism, first):
    return message(b"p", cstring(mechanism), INT32.pack(len(first)), first.encode())


def sasl_response(text):
    return message(b"p", text.encode())


EXECUTE = execute()


def statement(sql, oids, parameters):
    """Return Parse, Bind and Execute of the unnamed statement, without a Sync.

    Parameters and results are in text format. There is no Describe, because the caller knows the
    columns of the result.
    """
    return parse("", sql, oids) + bind("", "", (), parameters, ()) + EXECUTE


# ---- events ----

# Not frozen: the root creates thousands of them, and a frozen dataclass needs a call per field.


@dataclass(slots=True)
class Authentication:
    """An authentication request; code 0 is OK, 10 to 12 are the steps of SASL."""

    code: int
    rest: bytes


@dataclass(slots=True)
class BackendKeyData:
    pid: int
    secret: int


@dataclass(slots=True)
class RowDescription:
    columns: list


@dataclass(slots=True)
class DataRow:
    values: list
    size: int  # bytes of the message body


@dataclass(slots=True)
class CommandComplete:
    tag: str


@dataclass(slots=True)
class ErrorResponse:
    fields: b.ErrorFields


@dataclass(slots=True)
class ReadyForQuery:
    status: str


class ClientConnection:
    """Parses what a server sends on a connection into events.

    Messages that the root does not need (completions, notices, settings) are skipped; an unknown
    message type raises ProtocolError.
    """

    IGNORED_TYPES = frozenset(b"123nNSAsItv")  # message types

    def __init__(self, message_limit):
        self.framer = Framer(message_limit, startup=False)

    def receive(self, data):
        self.framer.feed(data)

    def next_event(self):
        """Return the next event, or None if more bytes are needed."""
        # Does the work of Framer.next inline: the root reads five messages for each part and skips
        # three of them.
        framer = self.framer
        buffer, at, limit, ignored_types = (
            framer.buffer,
            framer.position,
            framer.limit,
            self.IGNORED_TYPES,
        )
        size = len(buffer)
        while size - at >= 5:
            length = INT32.unpack_from(buffer, at + 1)[0]
            if length < 4 or length > limit:
                framer.position = at
                framer.next()  # raises the ProtocolError
            end = at + 1 + length
            if end > size:
                break
            kind, start, at = buffer[at], at + 5, end
            if kind not in ignored_types:
                framer.position = at
                return self.read(kind, bytes(buffer[start:end]))
        framer.position = at
        return None

    def read(self, kind, body):
        """Return the event of a message with the type byte `kind`."""
        if kind == 0x44:  # D
            return DataRow(b.read_data_row(body), len(body))
        if kind == 0x43:  # C
            return CommandComplete(Reader(body, "CommandComplete").string())
        if kind == 0x5A:  # Z
            return ReadyForQuery(Reader(body, "ReadyForQuery").byte().decode("latin-1"))
        if kind == 0x45:  # E
            return ErrorResponse(b.read_fields(body))
        if kind == 0x54:  # T
            return RowDescription(b.read_row_description(body))
        if kind == 0x52:  # R
            r = Reader(body, "Authentication")
            return Authentication(r.int32(), r.rest())
        if kind == 0x4B:  # K
            r = Reader(body, "BackendKeyData")
            return BackendKeyData(r.uint32(), r.uint32())
        raise ProtocolError(f"message type {bytes([kind])!r} is not one a server sends here")
