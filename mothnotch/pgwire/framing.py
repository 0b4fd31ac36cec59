"""Splitting a byte stream into messages of limited size, and reading and writing their fields."""

import struct

STARTUP_LIMIT = 10_000  # maximum bytes of a startup packet; PostgreSQL has the same limit
INT32, INT16 = struct.Struct("!i"), struct.Struct("!h")


class ProtocolError(Exception):
    """The peer violated the protocol.

    The server reports `sqlstate` to the client and closes the connection.
    """

    def __init__(self, text, sqlstate="08P01"):
        super().__init__(text)
        self.sqlstate = sqlstate


class Framer:
    """Splits a byte stream into messages: (type byte, body).

    A startup packet has no type byte and is returned as (b"", body). The buffer contains at most
    one message of `limit` bytes and the data of one `feed` call. A length outside the limit is
    rejected when the header is read, before the body is buffered.
    """

    def __init__(self, limit, startup):
        self.limit, self.startup = limit, startup
        self.buffer, self.position = bytearray(), 0

    def feed(self, data):
        if self.position:
            del self.buffer[: self.position]
            self.position = 0
        self.buffer += data

    @property
    def buffered_bytes(self):
        """Return how many bytes are buffered."""
        return len(self.buffer) - self.position

    def next(self):
        """Return the next complete message, or None if more bytes are needed.

        Raise ProtocolError if its length is invalid.
        """
        header_size = 0 if self.startup else 1
        buffer, at = self.buffer, self.position
        buffered_bytes = len(buffer) - at
        if buffered_bytes < header_size + 4:
            return None
        length = INT32.unpack_from(buffer, at + header_size)[0]
        limit = STARTUP_LIMIT if self.startup else self.limit
        if length < 4 or length > limit:
            kind = "startup packet" if self.startup else f"message {bytes(buffer[at:at + 1])!r}"
            raise ProtocolError(
                f"{kind} states a length of {length} bytes; from 4 to {limit} are accepted",
                "08P01" if length < 4 or self.startup else "54000",
            )
        if buffered_bytes < header_size + length:
            return None
        self.position = end = at + header_size + length
        view = memoryview(buffer)
        complete_message = (
            bytes(view[at : at + header_size]),
            bytes(view[at + header_size + 4 : end]),
        )
        view.release()
        return complete_message


class Reader:
    """Reads the fields of a message body in order.

    Methods raise ProtocolError if the body is too short, `end` if it is too long. Error texts
    contain `message_name`.
    """

    def __init__(self, body, message_name):
        self.body, self.position, self.message_name = body, 0, message_name

    def _check_remaining(self, n):
        if n < 0 or self.position + n > len(self.body):
            raise ProtocolError(
                f"{self.message_name}: body of {len(self.body)} bytes ends inside a field "
                f"at byte {self.position}"
            )

    def take(self, n):
        """Read `n` bytes."""
        self._check_remaining(n)
        self.position += n
        return self.body[self.position - n : self.position]

    def int32(self):
        return INT32.unpack(self.take(4))[0]

    def uint32(self):
        return self.int32() & 0xFFFFFFFF

    def int16(self):
        return INT16.unpack(self.take(2))[0]

    def count(self):
        """Read a 16-bit count, which is unsigned: a statement may have up to 65535 parameters."""
        return self.int16() & 0xFFFF

    def byte(self):
        return self.take(1)

    def string(self):
        """Read a zero-terminated UTF-8 string."""
        end = self.body.find(b"\0", self.position)
        if end < 0:
            raise ProtocolError(f"{self.message_name}: string at byte {self.position} has no end")
        raw, self.position = self.body[self.position : end], end + 1
        try:
            return raw.decode("utf-8")
        except UnicodeDecodeError as error:
            raise ProtocolError(
                f"{self.message_name}: string is not UTF-8: {error.reason} at byte {error.start}",
                "22021",
            ) from None

    def value(self):
        """Read a value, which is preceded by its length; return None for NULL."""
        n = self.int32()
        if n == -1:
            return None
        return self.take(n)

    def rest(self):
        """Read the remaining bytes."""
        return self.take(len(self.body) - self.position)

    def end(self):
        """Raise ProtocolError if bytes remain."""
        if self.position != len(self.body):
            raise ProtocolError(
                f"{self.message_name}: {len(self.body) - self.position} bytes are left over "
                "after its fields"
            )


def message(kind, *chunks):
    """Return a message with the type byte `kind` and a body made of `chunks`."""
    body = b"".join(chunks)
    return kind + INT32.pack(len(body) + 4) + body


def cstring(text):
    """Return a zero-terminated string; zero bytes in `text` are removed."""
    return text.encode("utf-8").replace(b"\0", b"") + b"\0"


def value_list(items):
    """Return a 16-bit count and the values, each preceded by its length; None is NULL."""
    if len(items) > 65535:
        raise ProtocolError(f"{len(items)} values; one message carries 65535 at most", "54000")
    out = [struct.pack("!H", len(items))]
    for item in items:
        out.append(b"\xff\xff\xff\xff" if item is None else INT32.pack(len(item)) + item)
    return b"".join(out)


def int16_values(items):
    """Return a 16-bit count and the 16-bit integers."""
    return struct.pack(f"!H{len(items)}h", len(items), *items)
