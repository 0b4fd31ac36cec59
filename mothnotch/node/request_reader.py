"""Split a client's bytes into HTTP requests, in steps of bounded work. No I/O.

h11 validates heads and follows the states of the connection. It returns each chunk of a chunked
body as an event of its own, which costs some microseconds however small the chunk is. Chunks are
therefore decoded here, and h11 receives what one step decoded as a single chunk. h11 never holds
bytes of a later request.
"""

import re

import h11

from mothnotch.decisions.client_input import INPUT_QUANTUM_BYTES
from mothnotch.node.requests import MAX_BODY_BYTES, BadRequestError

# Maximum size of a head, and of the trailers of a chunked body; each is parsed in one step.
MAX_HEAD_BYTES = 1 << 14
# Maximum number of lines of a head, and of the trailers of a chunked body: parsing a line and
# keeping its field cost the same however short it is.
MAX_HEAD_LINES = 128
# Maximum length of the line that precedes a chunk: size and extensions.
MAX_CHUNK_LINE_BYTES = 1 << 12
# The least byte that may begin a request; TLS and other protocols begin with a smaller one.
MIN_FIRST_BYTE = 0x21
BLANK_LINE = re.compile(rb"\n\r?\n")
# No two parts of it match the same byte, so that a line without end is scanned once.
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,20})(?:;[^\n]*\r\n|[ \t]*\r\n)")
LINE_END = b"\r\n"


class RequestReader:
    """The received bytes of a connection, and the request that is being read from them.

    `received`: bytes that are not processed yet. `has_head`: the current request's head was read,
    but not its end. `method`: that of the last head.
    """

    __slots__ = (
        "http",
        "received",
        "has_head",
        "method",
        "_bytes_left",
        "_is_chunked",
        "_expects_line_end",
        "_searched_bytes",
        "_body_bytes",
    )

    def __init__(self):
        """Start without input."""
        self.http = h11.Connection(h11.SERVER)
        self.received = bytearray()
        self.has_head = False
        self.method = None
        # Bytes of the body, or of the current chunk, that are still to come.
        self._bytes_left = 0
        self._is_chunked = False
        # The line end behind a chunk is still to come.
        self._expects_line_end = False
        # Start of what has not been searched for the end of the head or of the trailers yet.
        self._searched_bytes = 0
        self._body_bytes = 0

    @property
    def phase(self) -> str:
        """Return what is read next: "head", "chunks" or "body"."""
        if not self.has_head:
            return "head"
        return "chunks" if self._is_chunked else "body"

    def next_event(self):
        """Return the next event: Request, Data or EndOfMessage of h11, or NEED_DATA.

        Raise BadRequestError or h11.RemoteProtocolError if the input is not valid. The work of a
        call is bounded: it parses a head or trailers of MAX_HEAD_LINES, copies what was received of
        a body with a length, or decodes INPUT_QUANTUM_BYTES of chunks.
        """
        if not self.has_head:
            return self._read_head()
        if self._is_chunked:
            return self._read_chunks()
        return self._read_body()

    def _read_head(self):
        received = self.received
        if not received:
            return h11.NEED_DATA
        if received[0] < MIN_FIRST_BYTE:
            raise BadRequestError(400, "illegal request line")
        end = self._find_blank_line(0)
        if end is None:
            return h11.NEED_DATA
        self.http.receive_data(self._take(end))
        event = self.http.next_event()
        if isinstance(event, h11.Request):
            self.has_head = True
            self.method = event.method
            self._begin_body(event)
        return event

    def _begin_body(self, head):
        """Determine how the body ends; reject it by its head before any of it is buffered."""
        length = None
        self._body_bytes = 0
        self._is_chunked = False
        self._expects_line_end = False
        for name, value in head.headers:
            if name == b"content-length":
                length = int(value)
            elif name == b"transfer-encoding":
                self._is_chunked = True
        self._bytes_left = length or 0
        if self._bytes_left > MAX_BODY_BYTES:
            raise BadRequestError(413, f"a body of more than {MAX_BODY_BYTES} bytes")
        if self._is_chunked and length is not None:
            # Request smuggling: parsers that trust different headers see different requests.
            raise BadRequestError(400, "both Content-Length and Transfer-Encoding")

    def _read_body(self):
        if not self._bytes_left:
            return self._end_message()
        if not self.received:
            return h11.NEED_DATA
        data = self._take(self._bytes_left)
        self._bytes_left -= len(data)
        self.http.receive_data(data)
        return self.http.next_event()

    def _read_chunks(self):
        # The rest of a large chunk is copied as it is.
        size_bytes = max(INPUT_QUANTUM_BYTES, self._bytes_left + len(LINE_END))
        chunks, end = self._decode_chunks(bytes(self.received[:size_bytes]))
        if end:
            self._take(end)
        if chunks:
            payload = b"".join(chunks)
            self._add_body_bytes(len(payload))
            self.http.receive_data(b"%x\r\n%b\r\n" % (len(payload), payload))
            return self.http.next_event()
        if self._bytes_left or self._expects_line_end:
            return h11.NEED_DATA
        return self._read_last_chunk()

    def _read_last_chunk(self):
        """Read the last chunk: its line, trailers and a blank line."""
        line = CHUNK_LINE.match(self.received)
        if line is None:
            return h11.NEED_DATA
        end = self._find_blank_line(line.end() - 1)
        if end is None:
            return h11.NEED_DATA
        self.http.receive_data(self._take(end))
        return self._end_message()

    def _decode_chunks(self, data: bytes) -> tuple[list[bytes], int]:
        """Return the chunks' payload in `data`, and up to where `data` is decoded. The last chunk
        is left.
        """
        chunks = []
        position = self._resume_chunk(data, chunks, 0)
        if self._bytes_left or self._expects_line_end:
            return chunks, position
        size = 0
        while line := CHUNK_LINE.match(data, position):
            size = int(line[1], 16)
            start = line.end()
            end = start + size
            if not size or data[end : end + 2] != LINE_END:
                break
            chunks.append(data[start:end])
            position = end + 2
        if line is None:
            self._check_incomplete_line(data, position)
        elif size:
            self._bytes_left = size
            self._expects_line_end = True
            position = self._resume_chunk(data, chunks, start)
        return chunks, position

    def _resume_chunk(self, data, chunks, position):
        """Take the rest of a chunk whose line was read, as far as it was received; return where
        it ends.
        """
        if self._bytes_left:
            payload = data[position : position + self._bytes_left]
            if payload:
                chunks.append(payload)
            self._bytes_left -= len(payload)
            position += len(payload)
        if self._expects_line_end and not self._bytes_left:
            line_end = data[position : position + 2]
            if not LINE_END.startswith(line_end):
                raise BadRequestError(400, f"malformed end of a chunk: {line_end!r}")
            if line_end == LINE_END:
                self._expects_line_end = False
                position += 2
        return position

    def _add_body_bytes(self, size):
        self._body_bytes += size
        if self._body_bytes > MAX_BODY_BYTES:
            raise BadRequestError(413, f"a body of more than {MAX_BODY_BYTES} bytes")

    def _check_incomplete_line(self, data, position):
        """Raise BadRequestError if no chunk's line can begin at `position`."""
        line = data[position : position + MAX_CHUNK_LINE_BYTES]
        if b"\n" in line or len(line) == MAX_CHUNK_LINE_BYTES:
            raise BadRequestError(400, f"illegal chunk header: {line[:40]!r}")

    def _end_message(self):
        event = self.http.next_event()
        if isinstance(event, h11.EndOfMessage):
            self.has_head = False
        return event

    def _find_blank_line(self, start):
        """Return the end of the first blank line from `start` on, None if it was not received."""
        match = BLANK_LINE.search(self.received, max(start, self._searched_bytes))
        end = len(self.received) if match is None else match.end()
        if end - start > MAX_HEAD_BYTES:
            raise BadRequestError(431, f"a head of more than {MAX_HEAD_BYTES} bytes")
        if self.received.count(b"\n", start, end) > MAX_HEAD_LINES:
            raise BadRequestError(431, f"a head of more than {MAX_HEAD_LINES} lines")
        if match is None:
            # The blank line may have begun with the last two bytes.
            self._searched_bytes = max(0, end - 2)
            return None
        return end

    def _take(self, size_bytes):
        """Remove and return the first bytes."""
        data = bytes(self.received[:size_bytes])
        del self.received[:size_bytes]
        self._searched_bytes = 0
        return data
