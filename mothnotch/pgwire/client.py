"""The client's side: what a root says to a leaf, and the reading of what the leaf says."""

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
    message,
    shorts,
    values,
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


def bind(portal, statement, formats, bound, result_formats):
    return message(
        b"B",
        cstring(portal),
        cstring(statement),
        shorts(formats),
        values(bound),
        shorts(result_formats),
    )


def execute(portal="", max_rows=0):
    return message(b"E", cstring(portal), INT32.pack(max_rows))


def sasl_initial(mechanism, first):
    return message(b"p", cstring(mechanism), INT32.pack(len(first)), first.encode())


def sasl_response(text):
    return message(b"p", text.encode())


EXECUTE = execute()


def statement(sql, oids, bound):
    """Parse, Bind and Execute of the unnamed statement with text parameters and text results; no
    Sync. The result's columns are not asked for: who sends this knows them.
    """
    return parse("", sql, oids) + bind("", "", (), bound, ()) + EXECUTE


# ---- what comes back; made by the thousand, so not frozen, which would cost a call a field ----


@dataclass(slots=True)
class Authentication:
    """0 is OK, 10 to 12 are SASL's steps."""

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
    size: int  # bytes of the message


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
    """The reading side of a connection to a server. Messages that say nothing to a root
    (completions, notices, settings) are passed over; an unknown one is a ProtocolError.
    """

    IGNORED_TYPES = frozenset(b"123nNSAsItv")  # type bytes

    def __init__(self, message_limit):
        self.framer = Framer(message_limit, startup=False)

    def receive(self, data):
        self.framer.feed(data)

    def next_event(self):
        # The framer's work, done in place: a root reads five messages for each part, and three of
        # them are quiet.
        framer = self.framer
        buffer, at, limit, quiet = framer.buffer, framer.at, framer.limit, self.IGNORED_TYPES
        size = len(buffer)
        while size - at >= 5:
            length = INT32.unpack_from(buffer, at + 1)[0]
            if length < 4 or length > limit:
                framer.at = at
                framer.next()  # says what is wrong
            end = at + 1 + length
            if end > size:
                break
            kind, start, at = buffer[at], at + 5, end
            if kind not in quiet:
                framer.at = at
                return self.read(kind, bytes(buffer[start:end]))
        framer.at = at
        return None

    def read(self, kind, body):
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
