"""Bad input from clients: a clear error, bounded memory, no effect on other clients."""

import random
import struct
import threading

import psycopg
import pytest
import trio

from mothnotch import demo
from mothnotch.pgwire import client as wire
from tests.support.postgres_cluster import running_root
from tests.support.virtual_clock import run_in_world


async def send_raw(world, raw, timeout_s=30):
    """Send raw bytes; return the received bytes and whether the root closed the connection."""
    stream = await world.network.open(world.root.addresses[0])
    await stream.send_all(raw)
    received = b""
    with trio.move_on_after(timeout_s):
        while True:
            data = await stream.receive_some(1 << 16)
            if not data:
                return received, True
            received += data
    return received, False


STARTUP = wire.startup({"user": "a", "database": "stock"})


def test_malformed_bytes_close_only_their_connection_with_an_error():
    async def test(world):
        other = await world.client()
        generator = random.Random(4)
        for raw in (
            b"GET / HTTP/1.1\r\n\r\n",
            struct.pack("!ii", 100_000_000, 196608),
            STARTUP + b"Q" + struct.pack("!i", 50_000_000),
            STARTUP + b"Z\0\0\0\4",
            STARTUP + b"B\0\0\0\5\0",
            STARTUP + b"Q\0\0\0\6\xff\0",
            STARTUP + generator.randbytes(500),
        ):
            received, closed = await send_raw(world, raw)
            assert closed and b"E" in received and b"FATAL" in received, (raw[:20], received)
            assert (await other.query("SELECT count(*) FROM stock")).error is None
        assert len(world.root.front.clients) == 1

    run_in_world(test)


def test_client_that_sends_its_startup_too_slowly_is_disconnected():
    async def test(world):
        stream = await world.network.open(world.root.addresses[0])
        start_s = trio.current_time()
        with pytest.raises((trio.BrokenResourceError, trio.ClosedResourceError)):
            for byte in STARTUP * 10:
                await stream.send_all(bytes([byte]))
                await trio.sleep(1)
        assert trio.current_time() - start_s < 12

    run_in_world(test)


def test_connections_beyond_the_limit_are_rejected_with_an_error():
    async def test(world):
        clients = [await world.client() for _ in range(5)]
        received, closed = await send_raw(world, STARTUP)
        assert closed and b"53300" in received
        clients[0].close()
        await trio.sleep(0.1)
        assert (await (await world.client()).query("SELECT 1")).error is None

    run_in_world(test, {"front": {"most_connections": 5}})


def test_client_that_does_not_read_is_disconnected_and_delays_no_other_client():
    async def test(world):
        stream = await world.network.open(world.root.addresses[0])
        await stream.send_all(STARTUP)
        with trio.move_on_after(1):
            await stream.send_all(
                wire.query("SELECT * FROM stock, orders WHERE stock.bin = orders.bin") * 300
            )
        other = await world.client()
        for _ in range(20):
            assert (await other.query("SELECT count(*) FROM stock")).error is None
        await trio.sleep(40)
        assert len(world.root.front.clients) == 1

    run_in_world(test, {"front": {"write_timeout_s": 5.0}}, rows=60)


def test_prepared_statements_portals_and_statement_lengths_are_bounded():
    async def test(world):
        client = await world.client()
        for n in range(20):
            await client.send(wire.parse(f"s{n}", "SELECT 1") + wire.SYNC)
            reply = await client.read_reply()
            assert (reply.error is None) == (n < 16)
        assert reply.error.sqlstate == "53000"
        reply = await client.query("SELECT '" + "x" * 70_000 + "'")
        assert reply.error.sqlstate == "54000" and "65536 at most" in reply.error.text
        for n in range(700):
            await client.query(f"SELECT {n}")
        assert len(world.root.service.planner.cache) <= 512

    run_in_world(test, {"front": {"prepared": 16, "message_limit": 2 << 20}})


def test_garbage_statements_fail_with_an_error_code():
    async def test(world):
        client, generator = await world.client(), random.Random(11)
        words = [
            "SELECT",
            "FROM",
            "stock",
            "WHERE",
            "bin",
            "=",
            "(",
            ")",
            ",",
            "1",
            "'a'",
            "$1",
            "GROUP",
            "BY",
            "count(*)",
            "--",
            "/*",
            "*/",
            ";",
            "JOIN",
            "ON",
            "NULL",
            "::",
            "int",
            "[",
            "]",
            "CASE",
            "END",
            '"',
            "'",
            "UPDATE",
            "SET",
        ]
        for _ in range(600):
            reply = await client.query(
                " ".join(generator.choices(words, k=generator.randint(1, 12)))
            )
            assert (
                reply.error is None
                or len(reply.error.sqlstate) == 5
                and reply.error.sqlstate != "XX000"
            ), reply
        assert (await client.query("SELECT 1")).rows == [[b"1"]]

    run_in_world(test)


def test_unexpected_error_in_a_statement_fails_only_that_statement():
    async def test(world):
        client = await world.client()

        def fail(text):
            raise KeyError("a defect")

        world.root.service.planner.plan_text = fail
        reply = await client.query("SELECT 1")
        assert reply.error.sqlstate == "XX000" and reply.status == "I"
        del world.root.service.planner.plan_text
        assert (await client.query("SELECT 1")).rows == [[b"1"]]

    run_in_world(test)


def test_long_statements_are_parsed_outside_the_event_loop():
    """A statement that takes a second to parse must not delay others."""
    with running_root() as root:
        with (
            psycopg.connect(root.url(), autocommit=True) as slow_client,
            psycopg.connect(root.url(), autocommit=True) as fast_client,
        ):
            fast_client.execute("SELECT count(*) FROM stock")
            text = f"SELECT nope FROM stock WHERE qty IN ({','.join(map(str, range(11_000)))})"
            errors = []

            def execute():
                try:
                    slow_client.execute(text)
                except psycopg.errors.UndefinedColumn as error:
                    errors.append(error)

            worker = threading.Thread(target=execute)
            worker.start()
            answers = 0
            while worker.is_alive():
                fast_client.execute("SELECT count(*) FROM stock WHERE bin < 100")
                answers += 1
            worker.join()
            assert answers >= 5 and errors


def test_misuse_of_the_extended_protocol_returns_its_error_code():
    async def test(world):
        client = await world.client()
        for raw, sqlstate in (
            (wire.execute("nope"), "34000"),
            (wire.bind("", "nope", (), (), ()), "26000"),
            (wire.parse("", "SELECT 1; SELECT 2"), "42601"),
            (wire.parse("", "SELECT $1::int") + wire.bind("", "", (), (), ()), "08P01"),
            (wire.parse("", "SELECT $1::int") + wire.bind("", "", (), (b"x",), ()), "22P02"),
            (wire.parse("", "SELECT $1::int") + wire.bind("", "", (1,), (b"x",), ()), "22P03"),
            (wire.parse("a", "SELECT 1") + wire.parse("a", "SELECT 1"), "42P05"),
            (wire.message(b"F", b"\0\0"), "0A000"),
        ):
            await client.send(raw + (b"" if raw[:1] == b"F" else wire.SYNC))
            reply = await client.read_reply()
            assert reply.error.sqlstate == sqlstate, (raw, reply)
        assert (await client.query("SELECT 1")).rows == [[b"1"]]

    run_in_world(test)


def test_scram_over_sockets_and_trust_authentication_only_on_loopback():
    changes = {"auth": {"method": "scram-sha-256", "users": {"me": "right"}}}
    with running_root(changes) as root:
        with psycopg.connect(root.url(), password="right") as client:
            assert client.execute("SELECT current_user").fetchone() == ("me",)
        for user, password in (("me", "wrong"), ("nobody", "right")):
            with pytest.raises(psycopg.OperationalError, match="password authentication failed"):
                psycopg.connect(root.url(user), password=password)
    with pytest.raises(ValueError, match="auth.method"):
        demo.config(listen=["0.0.0.0:5432"])


def test_messages_that_do_not_come_whole_are_bounded_in_sum():
    """Guards against clients that stop half way through large messages and together fill the memory
    (operators' picture (a), on the SQL root).
    """

    async def test(world):
        usual = await world.client()
        budget = world.root.front.input_budget
        half_message = b"Q" + struct.pack("!i", 1 << 20) + b"x" * 600_000
        streams = []
        for _ in range(20):
            stream = await world.network.open(world.root.addresses[0])
            await stream.send_all(STARTUP + half_message)
            streams.append(stream)
            await trio.sleep(0.01)
            assert budget.total_bytes <= budget.max_bytes
            assert (await usual.query("SELECT 1")).error is None
        assert budget.most_bytes <= budget.max_bytes + (1 << 16)
        await trio.sleep(1)
        assert len(world.root.front.clients) < 15

    run_in_world(test, {"memory": {"limit_bytes": 16 << 20}})


def test_prepared_statements_are_bounded_in_sum():
    """Guards against large statements under ever new names in all sessions together."""

    async def test(world):
        clients = [await world.client() for _ in range(4)]
        sqlstates = set()
        for number in range(40):
            for client in clients:
                text = "SELECT '" + "x" * 60_000 + f"{number}'"
                await client.send(wire.parse(f"s{number}", text) + wire.SYNC)
                reply = await client.read_reply()
                sqlstates.add(reply.error.sqlstate if reply.error else None)
        budget = world.root.front.statement_budget
        assert sqlstates == {None, "53200"}
        assert budget.most_bytes <= budget.max_bytes
        clients[0].close()
        await trio.sleep(0.1)
        await clients[1].send(wire.parse("again", "SELECT 1") + wire.SYNC)
        assert (await clients[1].read_reply()).error is None

    run_in_world(test, {"memory": {"limit_bytes": 16 << 20}})
