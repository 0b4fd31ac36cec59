"""The server side of a connection: parses bytes into events and enforces the message flow.

`ServerConnection` handles startup, the order of messages during and after authentication, and
skipping to the next Sync after an error in the extended protocol. It does not interpret statements.
"""

import struct
from dataclasses import dataclass

from mothnotch.pgwire import backend as b
from mothnotch.pgwire.framing import Framer, ProtocolError, Reader

PROTOCOL_3, CANCEL, SSL, GSSENC = 196608, 80877102, 80877103, 80877104
NEWEST_MINOR_VERSION = 0
MAX_PARAMETERS = 65535


@dataclass(slots=True, frozen=True)
class Startup:
    """The startup packet: the user, the database and settings of the client."""

    parameters: dict


@dataclass(slots=True, frozen=True)
class EncryptionRequest:
    """SSLRequest or GSSENCRequest; the answer is a single byte."""

    encryption: str


@dataclass(slots=True, frozen=True)
class CancelRequest:
    pid: int
    secret: int


@dataclass(slots=True, frozen=True)
class Password:
    """A `p` message: a SASL response or a password, depending on the authentication request."""

    body: bytes

    def sasl_initial(self):
        """Return (mechanism, first client message)."""
        r = Reader(self.body, "SASLInitialResponse")
        mechanism, first = r.string(), r.value()
        r.end()
        return mechanism, _decode_utf8(first or b"", "SASLInitialResponse")

    def text(self):
        return _decode_utf8(self.body, "SASLResponse")


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
    formats: tuple  # of the parameters: one for all, one for each, or none (all text)
    values: tuple
    result_formats: tuple

    def format_of(self, n):
        return _format_at(self.formats, n)

    def result_format_of(self, n):
        return _format_at(self.result_formats, n)


@dataclass(slots=True, frozen=True)
class Describe:
    kind: str  # "S" statement or "P" portal
    name: str


@dataclass(slots=True, frozen=True)
class Execute:
    portal: str
    max_rows: int  # 0: no limit


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
    """CopyData, CopyDone or CopyFail; ignored outside of a COPY, as in PostgreSQL."""


@dataclass(slots=True, frozen=True)
class Skipped:
    """MAX_SKIPPED_MESSAGES were skipped after an error; more may follow up to the next Sync."""


@dataclass(slots=True, frozen=True)
class Terminate:
    pass


# Maximum number of messages that are skipped at once, so that the caller can let others run.
MAX_SKIPPED_MESSAGES = 256
EXTENDED = (Parse, Bind, Describe, Execute, Close, Flush)


def _decode_utf8(raw, message_name):
    try:
        return raw.decode("utf-8")
    except UnicodeDecodeError as error:
        raise ProtocolError(f"{message_name} is not UTF-8: {error.reason}", "22021") from None


def _format_at(formats, n):
    return 0 if not formats else formats[0] if len(formats) == 1 else formats[n]


def _read_formats(r):
    formats = tuple(r.int16() for _ in range(r.count()))
    for f in formats:
        if f not in (0, 1):
            raise ProtocolError(
                f"{r.message_name}: format code {f}; 0 (text) and 1 (binary) are known"
            )
    return formats


def _read_parse(r):
    name, sql = r.string(), r.string()
    return Parse(name, sql, tuple(r.uint32() for _ in range(r.count())))


def _read_bind(r):
    portal, statement, formats = r.string(), r.string(), _read_formats(r)
    parameters = tuple(r.value() for _ in range(r.count()))
    if len(formats) > 1 and len(formats) != len(parameters):
        raise ProtocolError(f"Bind: {len(formats)} format codes for {len(parameters)} parameters")
    return Bind(portal, statement, formats, parameters, _read_formats(r))


def _reading_target(event_type):
    def read(r):
        kind = r.byte()
        if kind not in (b"S", b"P"):
            raise ProtocolError(
                f"{r.message_name}: kind {kind!r}; S (statement) and P (portal) are known"
            )
        return event_type(kind.decode(), r.string())

    return read


def _ignoring_body(event_type):
    def read(r):
        r.rest()
        return event_type()

    return read


MESSAGE_READERS = {
    b"Q": ("Query", lambda r: Query(r.string())),
    b"P": ("Parse", _read_parse),
    b"B": ("Bind", _read_bind),
    b"D": ("Describe", _reading_target(Describe)),
    b"E": ("Execute", lambda r: Execute(r.string(), r.int32())),
    b"C": ("Close", _reading_target(Close)),
    b"H": ("Flush", lambda r: Flush()),
    b"S": ("Sync", lambda r: Sync()),
    b"X": ("Terminate", lambda r: Terminate()),
    b"p": ("Password", lambda r: Password(r.rest())),
    b"F": ("FunctionCall", _ignoring_body(FunctionCall)),
    b"d": ("CopyData", _ignoring_body(CopyData)),
    b"c": ("CopyDone", _ignoring_body(CopyData)),
    b"f": ("CopyFail", _ignoring_body(CopyData)),
}


class ServerConnection:
    """The connection of a client.

    Pass received bytes to `receive`, then call `next_event` until it returns None.
    """

    def __init__(self, message_limit):
        self.framer = Framer(message_limit, startup=True)
        self.state = "startup"  # startup, auth, ready, closed
        # True after an error in the extended protocol: messages are skipped until the next Sync.
        self.skipping_to_sync = False

    def receive(self, data):
        self.framer.feed(data)

    @property
    def buffered_bytes(self):
        """Return how many received bytes have not been parsed."""
        return self.framer.buffered_bytes

    def next_event(self):
        """Return the next event, or None if more bytes are needed.

        Raise ProtocolError if the client violated the protocol; the connection must be closed then.
        """
        for _ in range(MAX_SKIPPED_MESSAGES):
            message = self.framer.next()
            if message is None:
                return None
            kind, body = message
            if self.framer.startup:
                return self._startup(body)
            if kind not in MESSAGE_READERS:
                raise ProtocolError(f"message type {kind!r} is not one a client sends")
            name, read = MESSAGE_READERS[kind]
            if (kind == b"p") != (self.state == "auth") and kind != b"X":
                raise ProtocolError(
                    f"{name} came {'during' if self.state == 'auth' else 'outside of'} "
                    "authentication"
                )
            if self.skipping_to_sync and kind not in (b"S", b"X"):
                continue
            r = Reader(body, name)
            event = read(r)
            r.end()
            if type(event) is Sync:
                self.skipping_to_sync = False
            elif type(event) is Terminate:
                self.state = "closed"
            return event
        return Skipped()

    def _startup(self, body):
        r = Reader(body, "startup packet")
        code = r.uint32()
        if code == CANCEL:
            event = CancelRequest(r.uint32(), r.uint32())
            self.state = "closed"
            return event
        if code in (SSL, GSSENC):
            # Guards against plaintext bytes that are injected before encryption is negotiated.
            if self.framer.buffered_bytes:
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
        self._minor_version = code & 0xFFFF
        return Startup(parameters)

    def negotiate_version(self, parameters):
        """Return NegotiateProtocolVersion, or b"" if it is not needed.

        It is needed if the client requested a newer minor version or unknown protocol options.
        """
        unknown_options = [name for name in parameters if name.startswith("_pq_.")]
        return (
            b.negotiate_protocol_version(NEWEST_MINOR_VERSION, unknown_options)
            if self._minor_version > NEWEST_MINOR_VERSION or unknown_options
            else b""
        )

    def on_authenticated(self):
        """Accept statements from now on: authentication has succeeded."""
        self.state = "ready"

    def on_error_sent(self, extended):
        """Skip messages up to the next Sync if an error was sent in the extended protocol."""
        self.skipping_to_sync = extended


def key_data_from_random(raw):
    """Return (pid, secret) for BackendKeyData from eight random bytes.

    The pid is not negative, because drivers read it as a signed integer.
    """
    pid, secret = struct.unpack("!II", raw)
    return pid & 0x7FFFFFFF, secret
