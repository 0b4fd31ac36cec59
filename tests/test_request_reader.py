"""The request reader returns what h11 returns, however the bytes are split, in bounded steps."""

import random
import time

import h11
import pytest

from mothnotch.decisions.client_input import INPUT_PASS_S, INPUT_QUANTUM_BYTES
from mothnotch.node import requests
from mothnotch.node.request_reader import (
    MAX_CHUNK_LINE_BYTES,
    MAX_HEAD_BYTES,
    MAX_HEAD_LINES,
    RequestReader,
)

SEEDS = range(30)
CHUNK_SIZES = (1, 4, 16, 100, 9000, 1 << 16)
HEAD = b"POST /api HTTP/1.1\r\nHost: a\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INVALID = "invalid"


def chunked(body, size, rng=None):
    """Return a body in chunks; with `rng`, with extensions, leading zeros and trailers."""
    pieces = []
    for at in range(0, len(body), size):
        chunk = body[at : at + size]
        line = b"%x" % len(chunk)
        if rng and rng.random() < 0.3:
            line = rng.choice([line.upper(), b"0" + line, line + b";a=b", line + b" "])
        pieces += [line, b"\r\n", chunk, b"\r\n"]
    trailers = rng.choice([b"", b"X-End: 1\r\n", b"A: b\r\nC: d\r\n"]) if rng else b""
    return b"".join(pieces) + b"0\r\n" + trailers + b"\r\n"


def draw_request(rng):
    body = rng.randbytes(rng.choice([0, 1, 30, 700, 20_000, 1 << 16]))
    kind = rng.choice(["length", "chunked", "get"])
    if kind == "get":
        return b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
    if kind == "length":
        return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    return CHUNKED_HEAD + chunked(body, rng.choice(CHUNK_SIZES), rng)


def spoil(data, rng):
    """Return the data with one byte changed, removed or inserted."""
    at = rng.randrange(len(data))
    middle = rng.choice([b"", rng.randbytes(1), data[at : at + 1] + rng.randbytes(1)])
    return data[:at] + middle + data[at + 1 :]


def split(data, rng):
    """Return the data in pieces of drawn sizes."""
    most = rng.choice([3, 50, 5000, 1 << 17])
    pieces = []
    while data:
        size = rng.randint(1, most)
        pieces.append(data[:size])
        data = data[size:]
    return pieces


def complete(http):
    """Answer the current request, so that the next can be read."""
    http.send(h11.Response(status_code=200, headers=[("Content-Length", "0")]))
    http.send(h11.EndOfMessage())
    http.start_next_cycle()


def read_all(http, next_event, receive, pieces):
    """Return (method, target, body) of each complete request, and INVALID last after an error."""
    found = []
    head, body = None, b""
    try:
        for piece in pieces:
            receive(piece)
            while (event := next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Request):
                    head, body = event, b""
                elif isinstance(event, h11.Data):
                    body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    found.append((head.method, head.target, body))
                    complete(http)
    except (requests.BadRequestError, h11.RemoteProtocolError):
        found.append(INVALID)
    return found


def read_by_h11(pieces):
    http = h11.Connection(h11.SERVER)
    return read_all(http, http.next_event, http.receive_data, pieces)


def read_by_reader(pieces):
    reader = RequestReader()
    return read_all(reader.http, reader.next_event, reader.received.extend, pieces)


@pytest.mark.parametrize("seed", SEEDS)
def test_requests_in_pieces_are_read_as_by_h11(seed):
    """Guards against requests that are misread as their chunks are not decoded by h11."""
    rng = random.Random(seed)
    data = b"".join(draw_request(rng) for _ in range(5))
    pieces = split(data, rng)
    found = read_by_reader(pieces)
    assert found == read_by_h11(pieces)
    assert len(found) == 5


@pytest.mark.parametrize("seed", SEEDS)
def test_spoilt_requests_are_read_as_by_h11(seed):
    """Guards against request smuggling: invalid input must not be read as other requests."""
    for number in range(20):
        rng = random.Random(f"{seed}:{number}")
        body = rng.randbytes(rng.choice([1, 30]))
        good = CHUNKED_HEAD + chunked(body, rng.choice((1, 4, 16)), rng)
        pieces = split(spoil(good, rng) + good, rng)
        by_reader, by_h11 = read_by_reader(pieces), read_by_h11(pieces)
        # What was read before an error is the same; an error may show later or earlier.
        complete_only = [found for found in by_reader if found != INVALID]
        expected = [found for found in by_h11 if found != INVALID]
        assert complete_only == expected, (by_reader, by_h11)


def test_every_split_of_a_chunked_request_is_read_alike():
    """Guards against a piece that ends within a chunk's line, its data, its end or the trailers."""
    data = CHUNKED_HEAD + b"1;a=b\r\nx\r\n00F \r\n" + b"y" * 15 + b"\r\n0\r\nX-End: 1\r\n\r\n"
    expected = [(b"POST", b"/api", b"x" + b"y" * 15)]
    for first in range(1, len(data)):
        for second in range(first + 1, len(data)):
            assert read_by_reader([data[:first], data[first:second], data[second:]]) == expected


@pytest.mark.parametrize("size", [1, 4, 16])
def test_one_step_decodes_no_more_than_a_quantum_of_small_chunks(size):
    """Guards against a body in small chunks that holds up other clients, as it is read in one go
    (review/3).
    """
    reader = RequestReader()
    reader.received += CHUNKED_HEAD + chunked(b"x" * (1 << 16), size)
    event, steps = reader.next_event(), 0
    while not isinstance(event, h11.EndOfMessage):
        before_bytes = len(reader.received)
        event = reader.next_event()
        steps += 1
        assert before_bytes - len(reader.received) <= INPUT_QUANTUM_BYTES
    # h11 is called once a step, not once a chunk.
    assert steps <= (1 << 16) // size * (size + 6) // (INPUT_QUANTUM_BYTES - 50) + 2


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\x16\x03\x01", 400),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * MAX_HEAD_BYTES, 431),
        (b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * MAX_HEAD_BYTES + b"\r\n", 431),
        (CHUNKED_HEAD + b"0\r\n" + b"a: b\r\n" * MAX_HEAD_BYTES + b"\r\n", 431),
        (CHUNKED_HEAD + b"1;" + b"x" * MAX_CHUNK_LINE_BYTES, 400),
        (CHUNKED_HEAD + b"1\r\nxy\r\n", 400),
        (CHUNKED_HEAD + b"-1\r\n", 400),
        (CHUNKED_HEAD + b"1\n", 400),
        (CHUNKED_HEAD + chunked(b"x" * ((1 << 16) + 1), 16), 413),
        (CHUNKED_HEAD + chunked(b"x" * ((1 << 16) + 1), 1 << 17), 413),
    ],
)
def test_input_beyond_the_bounds_is_rejected(data, status):
    reader = RequestReader()
    reader.received += data

    def read():
        while reader.next_event() is not h11.NEED_DATA:
            pass

    with pytest.raises(requests.BadRequestError) as raised:
        read()
    assert raised.value.status == status


ENDLESS_LINES = {
    "blanks behind an extension": b"1;" + b" " * 16_000,
    "blanks": b"1" + b" " * 16_000,
    "an extension of line ends": b"1;" + b"\r" * 16_000,
    "digits": b"1" * 16_000,
    "zeros": b"0" * 16_000,
    "the last chunk's extension": b"0;" + b" \t" * 8_000,
}


@pytest.mark.parametrize("line", ENDLESS_LINES.values(), ids=ENDLESS_LINES)
def test_a_chunk_line_without_end_costs_no_more_than_a_pass(line):
    """Guards against a line that is scanned once for each of its bytes, while all other clients
    wait (review/6).
    """
    durations_s = []
    for _ in range(5):
        reader = RequestReader()
        reader.received += CHUNKED_HEAD + line
        assert isinstance(reader.next_event(), h11.Request)
        started_s = time.perf_counter()
        with pytest.raises(requests.BadRequestError):
            reader.next_event()
        durations_s.append(time.perf_counter() - started_s)
    assert min(durations_s) < INPUT_PASS_S


FIELDS = b"a:\r\n" * MAX_HEAD_LINES


@pytest.mark.parametrize(
    "data",
    [HEAD + FIELDS + b"\r\n", CHUNKED_HEAD + b"0\r\n" + FIELDS + b"\r\n"],
    ids=["head", "trailers"],
)
def test_a_head_and_trailers_of_too_many_lines_are_not_parsed(data):
    """Guards against short fields, each of which costs as much time and memory as a long one."""
    reader = RequestReader()
    reader.received += data
    if data.startswith(CHUNKED_HEAD):
        assert isinstance(reader.next_event(), h11.Request)
    with pytest.raises(requests.BadRequestError) as raised:
        reader.next_event()
    assert raised.value.status == 431
