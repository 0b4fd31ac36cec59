"""The PostgreSQL protocol codec: round trips, and robustness against arbitrary input.

Arbitrary input must not raise an unexpected error, cause an endless loop or exceed the limit of
buffered bytes.
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
PROPERTY_SETTINGS = settings(max_examples=300, deadline=None, derandomize=True)


def all_events(connection, limit=10_000):
    out = []
    for _ in range(limit):
        event = connection.next_event()
        if event is None:
            return out
        out.append(event)
    raise AssertionError("events do not end")


def authenticated_connection(**parameters):
    connection = server.ServerConnection(LIMIT)
    connection.receive(client.startup({"user": "a", **parameters}))
    assert type(connection.next_event()) is server.Startup
    connection.on_authenticated()
    return connection


@PROPERTY_SETTINGS
@given(st.lists(st.binary(max_size=300), max_size=8))
def test_any_bytes_at_startup_are_an_event_or_a_protocol_error(chunks):
    connection = server.ServerConnection(LIMIT)
    try:
        for chunk in chunks:
            connection.receive(chunk)
            all_events(connection)
            assert connection.buffered_bytes <= 10_000 + 300
    except ProtocolError as error:
        assert len(error.sqlstate) == 5


@PROPERTY_SETTINGS
@given(
    st.lists(
        st.tuples(st.sampled_from(b"QPBDECHSXpFdcfZ\x00"), st.binary(max_size=60)), max_size=12
    )
)
def test_any_messages_after_startup_are_events_or_a_protocol_error(messages):
    connection = authenticated_connection()
    try:
        for kind, body in messages:
            connection.receive(bytes([kind]) + struct.pack("!i", len(body) + 4) + body)
            all_events(connection)
    except ProtocolError as error:
        assert len(error.sqlstate) == 5


@PROPERTY_SETTINGS
@given(st.lists(st.tuples(st.sampled_from(b"TDCZEN12SKRAtx"), st.binary(max_size=80)), max_size=12))
def test_any_messages_of_a_leaf_are_events_or_an_error_that_the_pool_handles(messages):
    connection = client.ClientConnection(LIMIT)
    try:
        for kind, body in messages:
            connection.receive(bytes([kind]) + struct.pack("!i", len(body) + 4) + body)
            all_events(connection)
    except (ProtocolError, ValueError):
        pass


@PROPERTY_SETTINGS
@given(st.binary(max_size=400), st.data())
def test_events_do_not_depend_on_how_the_stream_is_split(tail, data):
    stream = (
        client.parse("s", "SELECT $1", (23,))
        + client.bind("p", "s", (1,), (b"\0\0\0\1", None), (0, 1))
        + client.execute("p", 7)
        + client.SYNC
        + client.query("SELECT 1")
        + client.TERMINATE
    )
    unsplit, split = authenticated_connection(), authenticated_connection()
    unsplit.receive(stream)
    expected, events, at = all_events(unsplit), [], 0
    while at < len(stream):
        n = data.draw(st.integers(1, 30))
        split.receive(stream[at : at + n])
        events += all_events(split)
        at += n
    assert events == expected and len(events) == 6


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
def test_invalid_startups_are_rejected_before_their_body_is_buffered(raw, sqlstate):
    connection = server.ServerConnection(LIMIT)
    connection.receive(raw)
    with pytest.raises(ProtocolError) as caught:
        connection.next_event()
    assert caught.value.sqlstate == sqlstate


def test_oversized_message_is_rejected_by_its_header():
    connection = authenticated_connection()
    connection.receive(b"Q" + struct.pack("!i", LIMIT + 5))
    with pytest.raises(ProtocolError, match="4096 are accepted") as caught:
        connection.next_event()
    assert caught.value.sqlstate == "54000"


def test_after_an_error_messages_are_skipped_up_to_sync():
    connection = authenticated_connection()
    connection.receive(
        client.parse("", "x")
        + client.bind("", "", (), (), ())
        + client.execute()
        + client.SYNC
        + client.query("SELECT 1")
    )
    assert type(connection.next_event()) is server.Parse
    connection.on_error_sent(True)
    assert [type(e) for e in all_events(connection)] == [server.Sync, server.Query]


def test_newer_minor_version_and_unknown_options_are_negotiated():
    connection = server.ServerConnection(LIMIT)
    body = struct.pack("!I", 196610) + b"user\0a\0_pq_.new\0on\0\0"
    connection.receive(struct.pack("!i", len(body) + 4) + body)
    event = connection.next_event()
    reply = connection.negotiate_version(event.parameters)
    assert reply[:1] == b"v" and b"_pq_.new" in reply
    assert authenticated_connection().negotiate_version({"user": "a"}) == b""


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


@PROPERTY_SETTINGS
@given(st.data())
def test_values_survive_a_round_trip_in_both_formats(data):
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


@PROPERTY_SETTINGS
@given(st.sampled_from(sorted(VALUES)), st.binary(max_size=20))
def test_invalid_values_have_an_sqlstate(oid, raw):
    for parse in (types.from_binary, types.from_text):
        try:
            parse(oid, raw)
        except types.InvalidValueError as error:
            assert error.sqlstate in ("22P02", "22P03", "22003")
        except UnicodeDecodeError:
            pass


def test_rows_and_descriptions_survive_a_round_trip():
    row = [b"a", None, b"", b"x" * 300]
    assert backend.read_data_row(backend.data_row(row)[5:]) == row
    columns = [backend.Column("bin", types.INT4, 4, 1), backend.Column("item", types.TEXT)]
    assert backend.read_row_description(backend.row_description(columns)[5:]) == columns
    fields = backend.ErrorFields("ERROR", "53000", "no", "d", "h")
    assert backend.read_fields(backend.error(fields)[5:]).hint == "h"
    for cut in range(len(backend.data_row(row)) - 6):
        with pytest.raises((ProtocolError, struct.error)):
            backend.read_data_row(backend.data_row(row)[5 : 5 + cut])


def run_scram_exchange(password, stored_password, user="a"):
    """Return whether `password` authenticates against a server that has `stored_password`."""
    exchange, scram_client = (
        auth.ScramServer(user, {"a": auth.make_verifier(stored_password)}.get),
        auth.make_scram_client(user, password),
    )
    reader = client.ClientConnection(LIMIT)

    def password_message(raw):
        return server.Password(raw[5:])

    reply, done = exchange.step(
        password_message(client.sasl_initial(auth.MECHANISM, scram_client.get_client_first()))
    )
    reader.receive(reply)
    scram_client.set_server_first(reader.next_event().rest.decode())
    reply, done = exchange.step(
        password_message(client.sasl_response(scram_client.get_client_final()))
    )
    reader.receive(reply)
    scram_client.set_server_final(reader.next_event().rest.decode())
    return done


def test_scram_accepts_only_the_right_password():
    assert run_scram_exchange("secret", "secret")
    for password, user in (("wrong", "a"), ("secret", "nobody")):
        with pytest.raises(auth.AuthenticationError):
            run_scram_exchange(password, "secret", user)
    with pytest.raises(auth.AuthenticationError):
        auth.ScramServer("a", {}.get).step(server.Password(client.sasl_initial("PLAIN", "x")[5:]))


def test_framer_discards_returned_messages():
    framer = Framer(LIMIT, False)
    for _ in range(1000):
        framer.feed(client.SYNC)
        assert framer.next() == (b"S", b"") and framer.buffered_bytes == 0
    assert len(framer.buffer) <= 10
    with pytest.raises(ProtocolError):
        Reader(b"abc", "x").int32()
