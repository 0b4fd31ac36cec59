"""The server's side of one connection: bytes in, events out, and the rules of the message flow.

`ServerConnection` knows startup, authentication, the skipping to Sync after an error in the
extended protocol, and what may be sent when. What a statement means is its user's business.
"""

import struct
from dataclasses import dataclass

from mothnotch.pgwire import backend as b
from mothnotch.pgwire.framing import Framer, ProtocolError, Reader

PROTOCOL_3, CANCEL, SSL, GSSENC = 196608, 80877102, 80877103, 80877104
NEWEST_MINOR = 0
MAX_PARAMETERS = 65535


@dataclass(slots=True, frozen=True)
class Startup:
    """The client names its user, its database and its settings."""

    parameters: dict


@dataclass(slots=True, frozen=True)
class EncryptionRequest:
    """SSLRequest or GSSENCRequest: one byte is the answer."""

    what: str


@dataclass(slots=True, frozen=True)
class CancelRequest:
    pid: int
    secret: int


@dataclass(slots=True, frozen=True)
class Password:
    """A `p` message: SASL or a password, which one depends on what was asked for."""

    body: bytes

    def sasl_initial(self):
        """(mechanism, first client message)."""
        r = Reader(self.body, "SASLInitialResponse")
        mechanism, first = r.string(), r.value()
        r.end()
        return mechanism, _utf8(first or b"", "SASLInitialResponse")

    def text(self):
        return _utf8(self.body, "SASLResponse")


@dataclass(slots=True, frozen=True)
class Query:
    sql: str


@dataclass(slots=True, frozen=True)
class Parse:
    name: str
    sql: str
    oids: tuple


@dataclass(slots=True, frozen=True)
class Bind:
    portal: str
    statement: str
    formats: tuple  # of the parameters: one for all, one each, or none (text)
    values: tuple
    result_formats: tuple

    def format_of(self, n):
        return _format(self.formats, n)

    def result_format_of(self, n):
        return _format(self.result_formats, n)


@dataclass(slots=True, frozen=True)
class Describe:
    kind: str  # "S" statement or "P" portal
    name: str


@dataclass(slots=True, frozen=True)
class Execute:
    portal: str
    max_rows: int  # 0: all


@dataclass(slots=True, frozen=True)
class Close:
    kind: str
    name: str


@dataclass(slots=True, frozen=True)
class Flush:
    pass


@dataclass(slots=True, frozen=True)
class Sync:
    pass


@dataclass(slots=True, frozen=True)
class FunctionCall:
    pass


@dataclass(slots=True, frozen=True)
class CopyData:
    """CopyData, CopyDone or CopyFail; outside of a COPY they are ignored, as PostgreSQL does."""


@dataclass(slots=True, frozen=True)
class Terminate:
    pass


EXTENDED = (Parse, Bind, Describe, Execute, Close, Flush)


def _utf8(raw, what):
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ProtocolError(f"{what} is not UTF-8: {error.reason}", "22021") from None


def _format(formats, n):
    return 0 if not formats else formats[0] if len(formats) == 1 else formats[n]


def _formats(r):
    found = tuple(r.int16() for _ in range(r.count()))
    for f in found:
        if f not in (0, 1):
            raise ProtocolError(f"{r.what}: format code {f}; 0 (text) and 1 (binary) are known")
    return found


def _read_parse(r):
    name, sql = r.string(), r.string()
    return Parse(name, sql, tuple(r.uint32() for _ in range(r.count())))


def _read_bind(r):
    portal, statement, formats = r.string(), r.string(), _formats(r)
    bound = tuple(r.value() for _ in range(r.count()))
    if len(formats) > 1 and len(formats) != len(bound):
        raise ProtocolError(f"Bind: {len(formats)} format codes for {len(bound)} parameters")
    return Bind(portal, statement, formats, bound, _formats(r))


def _read_target(made):
    def read(r):
        kind = r.byte()
        if kind not in (b"S", b"P"):
            raise ProtocolError(f"{r.what}: kind {kind!r}; S (statement) and P (portal) are known")
        return made(kind.decode(), r.string())

    return read


def _plain(made):
    def read(r):
        r.rest()
        return made()

    return read


READERS = {
    b"Q": ("Query", lambda r: Query(r.string())),
    b"P": ("Parse", _read_parse),
    b"B": ("Bind", _read_bind),
    b"D": ("Describe", _read_target(Describe)),
    b"E": ("Execute", lambda r: Execute(r.string(), r.int32())),
    b"C": ("Close", _read_target(Close)),
    b"H": ("Flush", lambda r: Flush()),
    b"S": ("Sync", lambda r: Sync()),
    b"X": ("Terminate", lambda r: Terminate()),
    b"p": ("Password", lambda r: Password(r.rest())),
    b"F": ("FunctionCall", _plain(FunctionCall)),
    b"d": ("CopyData", _plain(CopyData)),
    b"c": ("CopyDone", _plain(CopyData)),
    b"f": ("CopyFail", _plain(CopyData)),
}


class ServerConnection:
    """One client's connection. Feed bytes with `receive`, take events with `next_event` until it
    gives None.
    """

    def __init__(self, message_limit):
        self.framer = Framer(message_limit, startup=True)
        self.state = "startup"  # startup, auth, ready, closed
        self.skipping = (
            False  # an error came up in the extended protocol: all until Sync is skipped
        )

    def receive(self, data):
        self.framer.feed(data)

    @property
    def held(self):
        return self.framer.held

    def next_event(self):
        """The next event; None when more bytes are needed. ProtocolError ends the connection."""
        while True:
            found = self.framer.next()
            if found is None:
                return None
            kind, body = found
            if self.framer.startup:
                return self._startup(body)
            if kind not in READERS:
                raise ProtocolError(f"message type {kind!r} is not one a client sends")
            name, read = READERS[kind]
            if (kind == b"p") != (self.state == "auth") and kind != b"X":
                raise ProtocolError(
                    f"{name} came {'during' if self.state == 'auth' else 'outside of'} authentication"
                )
            if self.skipping and kind not in (b"S", b"X"):
                continue
            r = Reader(body, name)
            event = read(r)
            r.end()
            if type(event) is Sync:
                self.skipping = False
            elif type(event) is Terminate:
                self.state = "closed"
            return event

    def _startup(self, body):
        r = Reader(body, "startup packet")
        code = r.uint32()
        if code == CANCEL:
            event = CancelRequest(r.uint32(), r.uint32())
            self.state = "closed"
            return event
        if code in (SSL, GSSENC):
            if (
                self.framer.held
            ):  # guards against bytes smuggled in before the encryption was settled
                raise ProtocolError(
                    "bytes came behind a request for encryption before it was answered"
                )
            return EncryptionRequest("SSL" if code == SSL else "GSSAPI encryption")
        if code >> 16 != 3:
            raise ProtocolError(
                f"protocol version {code >> 16}.{code & 0xFFFF} is not spoken here; 3.0 is", "0A000"
            )
        parameters = {}
        while True:
            name = r.string()
            if not name:
                break
            parameters[name] = r.string()
        r.end()
        if not parameters.get("user"):
            raise ProtocolError("startup packet names no user", "28000")
        parameters.setdefault("database", parameters["user"])
        self.framer.startup, self.state = False, "auth"
        self.minor = code & 0xFFFF
        return Startup(parameters)

    def negotiate_version(self, parameters):
        """What to send first if the client asked for a newer minor version or options not known:
        maybe b"".
        """
        unknown = [name for name in parameters if name.startswith("_pq_.")]
        return b.negotiate(NEWEST_MINOR, unknown) if self.minor > NEWEST_MINOR or unknown else b""

    def on_authenticated(self):
        """Authentication is over."""
        self.state = "ready"

    def on_error_sent(self, extended):
        """An error was sent: in the extended protocol all is skipped up to the next Sync."""
        self.skipping = extended


def key_data_from_random(raw):
    """(pid, secret) of eight random bytes; the pid stays positive, as drivers take it for a signed
    number.
    """
    pid, secret = struct.unpack("!II", raw)
    return pid & 0x7FFFFFFF, secret
