"""The codec: what it writes it reads, and whatever comes it neither breaks, hangs, nor holds more
than its bounds.
"""

import datetime as dt
import struct
from decimal import Decimal

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mothnotch.pgwire import auth, backend, client, server, types
from mothnotch.pgwire.framing import Framer, ProtocolError, Reader

LIMIT = 4096
FAST = settings(max_examples=300, deadline=None, derandomize=True)


def drain(connection, most=10_000):
    out = []
    for _ in range(most):
        event = connection.next_event()
        if event is None:
            return out
        out.append(event)
    raise AssertionError("does not come to an end")


def started(**parameters):
    connection = server.ServerConnection(LIMIT)
    connection.receive(client.startup({"user": "a", **parameters}))
    assert type(connection.next_event()) is server.Startup
    connection.on_authenticated()
    return connection


@FAST
@given(st.lists(st.binary(max_size=300), max_size=8))
def test_any_bytes_at_startup_are_an_event_or_a_protocol_error(chunks):
    connection = server.ServerConnection(LIMIT)
    try:
        for chunk in chunks:
            connection.receive(chunk)
            drain(connection)
            assert connection.held <= 10_000 + 300
    except ProtocolError as error:
        assert len(error.sqlstate) == 5


@FAST
@given(
    st.lists(
        st.tuples(st.sampled_from(b"QPBDECHSXpFdcfZ\x00"), st.binary(max_size=60)), max_size=12
    )
)
def test_any_messages_after_startup_are_events_or_a_protocol_error(messages):
    connection = started()
    try:
        for kind, body in messages:
            connection.receive(bytes([kind]) + struct.pack("!i", len(body) + 4) + body)
            drain(connection)
    except ProtocolError as error:
        assert len(error.sqlstate) == 5


@FAST
@given(st.lists(st.tuples(st.sampled_from(b"TDCZEN12SKRAtx"), st.binary(max_size=80)), max_size=12))
def test_any_messages_of_a_leaf_are_events_or_an_error_the_pool_knows(messages):
    connection = client.ClientConnection(LIMIT)
    try:
        for kind, body in messages:
            connection.receive(bytes([kind]) + struct.pack("!i", len(body) + 4) + body)
            drain(connection)
    except (ProtocolError, ValueError):
        pass


@FAST
@given(st.binary(max_size=400), st.data())
def test_cutting_the_stream_differently_gives_the_same_events(tail, data):
    whole = (
        client.parse("s", "SELECT $1", (23,))
        + client.bind("p", "s", (1,), (b"\0\0\0\1", None), (0, 1))
        + client.execute("p", 7)
        + client.SYNC
        + client.query("SELECT 1")
        + client.TERMINATE
    )
    one, many = started(), started()
    one.receive(whole)
    expected, got, at = drain(one), [], 0
    while at < len(whole):
        n = data.draw(st.integers(1, 30))
        many.receive(whole[at : at + n])
        got += drain(many)
        at += n
    assert got == expected and len(got) == 6


@pytest.mark.parametrize(
    "raw, sqlstate",
    [
        (struct.pack("!ii", 200_000_000, 196608), "08P01"),
        (struct.pack("!ii", 3, 196608), "08P01"),
        (struct.pack("!iI", 8, 2 << 16), "0A000"),
        (struct.pack("!ii", 9, 196608) + b"\0", "28000"),
        (struct.pack("!iI", 8, server.SSL) + b"smuggled", "08P01"),
    ],
)
def test_bad_startups_are_refused_before_their_body_is_held(raw, sqlstate):
    connection = server.ServerConnection(LIMIT)
    connection.receive(raw)
    with pytest.raises(ProtocolError) as caught:
        connection.next_event()
    assert caught.value.sqlstate == sqlstate


def test_oversized_message_is_refused_by_its_header():
    connection = started()
    connection.receive(b"Q" + struct.pack("!i", LIMIT + 5))
    with pytest.raises(ProtocolError, match="4096 are accepted") as caught:
        connection.next_event()
    assert caught.value.sqlstate == "54000"


def test_after_an_error_all_is_skipped_up_to_sync():
    connection = started()
    connection.receive(
        client.parse("", "x")
        + client.bind("", "", (), (), ())
        + client.execute()
        + client.SYNC
        + client.query("SELECT 1")
    )
    assert type(connection.next_event()) is server.Parse
    connection.on_error_sent(True)
    assert [type(e) for e in drain(connection)] == [server.Sync, server.Query]


def test_newer_minor_version_and_unknown_options_are_negotiated():
    connection = server.ServerConnection(LIMIT)
    body = struct.pack("!I", 196610) + b"user\0a\0_pq_.new\0on\0\0"
    connection.receive(struct.pack("!i", len(body) + 4) + body)
    event = connection.next_event()
    reply = connection.negotiate_version(event.parameters)
    assert reply[:1] == b"v" and b"_pq_.new" in reply
    assert started().negotiate_version({"user": "a"}) == b""


VALUES = {
    types.INT2: st.integers(-(2**15), 2**15 - 1),
    types.INT4: st.integers(-(2**31), 2**31 - 1),
    types.INT8: st.integers(-(2**63), 2**63 - 1),
    types.TEXT: st.text(st.characters(exclude_characters="\0", codec="utf-8")),
    types.BOOL: st.booleans(),
    types.FLOAT8: st.floats(allow_nan=False),
    types.BYTEA: st.binary(max_size=50),
    types.DATE: st.dates(),
    types.UUID: st.uuids(),
    types.TIMESTAMP: st.datetimes(
        min_value=dt.datetime(1900, 1, 1), max_value=dt.datetime(2200, 1, 1)
    ),
    types.NUMERIC: st.decimals(
        allow_nan=False, allow_infinity=False, places=6, min_value=-(10**20), max_value=10**20
    ),
}


@FAST
@given(st.data())
def test_values_come_back_from_both_formats(data):
    oid = data.draw(st.sampled_from(sorted(VALUES)))
    value = data.draw(VALUES[oid])
    assert types.from_text(oid, types.to_text(oid, value)) == value
    assert types.from_binary(oid, types.to_binary(oid, value)) == value


@pytest.mark.parametrize(
    "text",
    [
        "0",
        "1",
        "-1",
        "10000",
        "0.0001",
        "123456789.000100",
        "-99999999999999999999.5",
        "0.10",
        "1E+3",
        "0.00000000000000000001",
    ],
)
def test_numerics_keep_their_scale(text):
    value = Decimal(text)
    assert types.from_binary(types.NUMERIC, types.to_binary(types.NUMERIC, value)) == value


@FAST
@given(st.sampled_from(sorted(VALUES)), st.binary(max_size=20))
def test_bad_values_are_named(oid, raw):
    for read in (types.from_binary, types.from_text):
        try:
            read(oid, raw)
        except types.InvalidValueError as error:
            assert error.sqlstate in ("22P02", "22P03", "22003")
        except UnicodeDecodeError:
            pass


def test_rows_and_descriptions_come_back():
    row = [b"a", None, b"", b"x" * 300]
    assert backend.read_data_row(backend.data_row(row)[5:]) == row
    columns = [backend.Column("bin", types.INT4, 4, 1), backend.Column("item", types.TEXT)]
    assert backend.read_row_description(backend.row_description(columns)[5:]) == columns
    fields = backend.ErrorFields("ERROR", "53000", "no", "d", "h")
    assert backend.read_fields(backend.error(fields)[5:]).hint == "h"
    for cut in range(len(backend.data_row(row)) - 6):
        with pytest.raises((ProtocolError, struct.error)):
            backend.read_data_row(backend.data_row(row)[5 : 5 + cut])


def scram(password, offered, user="a"):
    """Whether an exchange lets a client with that password in, where `offered` is what is stored."""
    exchange, ours = (
        auth.ScramServer(user, {"a": auth.make_verifier(offered)}.get),
        auth.make_scram_client(user, password),
    )
    reader = client.ClientConnection(LIMIT)

    def sent(raw):
        return server.Password(raw[5:])

    reply, done = exchange.step(sent(client.sasl_initial(auth.MECHANISM, ours.get_client_first())))
    reader.receive(reply)
    ours.set_server_first(reader.next_event().rest.decode())
    reply, done = exchange.step(sent(client.sasl_response(ours.get_client_final())))
    reader.receive(reply)
    ours.set_server_final(reader.next_event().rest.decode())
    return done


def test_scram_lets_in_who_knows_the_password_and_nobody_else():
    assert scram("secret", "secret")
    for password, user in (("wrong", "a"), ("secret", "nobody")):
        with pytest.raises(auth.AuthenticationError):
            scram(password, "secret", user)
    with pytest.raises(auth.AuthenticationError):
        auth.ScramServer("a", {}.get).step(server.Password(client.sasl_initial("PLAIN", "x")[5:]))


def test_framer_holds_no_more_than_it_was_fed():
    framer = Framer(LIMIT, False)
    for _ in range(1000):
        framer.feed(client.SYNC)
        assert framer.next() == (b"S", b"") and framer.held == 0
    assert len(framer.buffer) <= 10
    with pytest.raises(ProtocolError):
        Reader(b"abc", "x").int32()
