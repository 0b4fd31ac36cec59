"""The graceful shutdown of a root for SQL: accepted statements are answered before it ends."""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import psycopg
import pytest
import trio

from mothnotch import demo
from mothnotch.decisions.resource_limits import MAX_SHUTDOWN_DEADLINE_S, SHUTDOWN_SLACK_S
from mothnotch.pgwire import client as wire
from mothnotch.standins.client import ConnectionLostError
from tests.support.virtual_clock import run_in_world

REPOSITORY = Path(__file__).resolve().parent.parent
KILL_AFTER_S = MAX_SHUTDOWN_DEADLINE_S + SHUTDOWN_SLACK_S
READ = "SELECT count(*) FROM stock"
WRITE = "UPDATE stock SET qty = 5 WHERE bin = 7"
# SQLSTATE of a session that ends because the server shuts down.
ADMIN_SHUTDOWN = "57P01"


async def stop(world):
    """Stop the root as the command does at a signal."""
    await world.root.stop()
    world.stopped_s = trio.current_time()
    world.root_scope.cancel()


async def read_end(client):
    """Return the SQLSTATE of the error with which the root ends a session, None without one."""
    try:
        event = await client.next_event()
    except ConnectionLostError:
        return None
    assert type(event) is wire.ErrorResponse
    with pytest.raises(ConnectionLostError):
        await client.next_event()
    return event.fields.sqlstate


def run(test, **options):
    """Run a test with a root that it can stop, as if the process ended: its streams are closed."""

    async def with_scope(world):
        world.root_scope = trio.CancelScope()
        await test(world)

    return run_in_world(with_scope, **options)


@pytest.mark.parametrize("statement", [READ, WRITE], ids=["read", "write"])
def test_statement_in_progress_is_answered_before_its_session_ends(statement):
    """Guards against a root that drops the statements it has accepted when it is told to end."""

    async def test(world):
        client = await world.client()
        await client.send(wire.query(statement))
        await trio.sleep(0.02)
        world.nursery.start_soon(stop, world)
        reply = await client.read_reply()
        assert reply.error is None
        assert reply.tags
        assert await read_end(client) == ADMIN_SHUTDOWN

    run(test, work_ms=100.0)


@pytest.mark.parametrize("statement", [READ, WRITE], ids=["read", "write"])
@pytest.mark.parametrize("deadline_ms", [1000, 5000, 60_000])
def test_statement_whose_leaves_hang_fails_before_the_process_may_be_killed(statement, deadline_ms):
    async def test(world):
        client = await world.client()
        await client.query(READ)
        for leaf in world.fleet.leaves.values():
            leaf.faults.hang = True
        await client.send(wire.query(statement))
        await trio.sleep(0.1)
        began_s = trio.current_time()
        world.nursery.start_soon(stop, world)
        reply = None
        with trio.move_on_at(began_s + KILL_AFTER_S):
            reply = await client.read_reply()
        assert reply is not None
        assert reply.error is not None
        assert await read_end(client) == ADMIN_SHUTDOWN

    classes = {
        name: {**values, "aim_ms": 500, "deadline_ms": deadline_ms}
        for name, values in demo.CONFIG["classes"].items()
    }
    run(test, changes={"classes": classes})


def test_statements_sent_ahead_are_all_answered():
    async def test(world):
        client = await world.client()
        await client.send(b"".join(wire.query(READ) for _ in range(5)))
        await trio.sleep(0.05)
        world.nursery.start_soon(stop, world)
        for _ in range(5):
            assert (await client.read_reply()).error is None
        assert await read_end(client) == ADMIN_SHUTDOWN

    run(test, work_ms=10.0)


@pytest.mark.parametrize("in_transaction", [False, True])
def test_session_without_a_statement_ends_at_once(in_transaction):
    async def test(world):
        client = await world.client()
        await client.query("BEGIN" if in_transaction else READ)
        began_s = trio.current_time()
        world.nursery.start_soon(stop, world)
        assert await read_end(client) == ADMIN_SHUTDOWN
        await trio.sleep(0.2)
        assert world.stopped_s - began_s < 0.1
        with pytest.raises(OSError, match="no listener"):
            await world.network.open(world.root.addresses[0])

    run(test)


def test_served_root_answers_a_statement_after_sigterm(tmp_path):
    """Guards against the command ending with a statement in progress."""
    roster = tmp_path / "roster.json"
    config = tmp_path / "root.json5"
    config.write_text(json.dumps({**demo.CONFIG, "listen": ["127.0.0.1:0"], "roster": str(roster)}))
    command = [sys.executable, "-m", "mothnotch"]
    env = {**os.environ, "PYTHONPATH": str(REPOSITORY)}
    leaves = subprocess.Popen(
        [*command, "leaves", "--roster", str(roster), "--rows", "5", "--work-ms", "150"], env=env
    )
    root = None
    try:
        give_up_s = time.monotonic() + 30
        while not roster.exists():
            assert leaves.poll() is None
            assert time.monotonic() < give_up_s
            time.sleep(0.05)
        root = subprocess.Popen(
            [*command, "serve", "--config", str(config)],
            env=env,
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        address = root.stdout.readline().split()[1].removeprefix("postgresql://")
        host, port = address.split(":")
        connection = psycopg.connect(host=host, port=port, user="a", dbname="stock")
        connection.pgconn.send_query(READ.encode())
        time.sleep(0.05)
        root.send_signal(signal.SIGTERM)
        result = connection.pgconn.get_result()
        connection.close()
        assert result.get_value(0, 0) == b"120"
        assert root.wait(10) == 0
    finally:
        for process in (root, leaves):
            if process is not None:
                process.kill()
                process.wait()


@pytest.mark.parametrize("held_up_s", [0.005, 0.15, 5.0])
def test_statement_that_arrives_as_the_idle_timeout_expires_is_answered(held_up_s):
    """Guards against a session that is ended as idle while its next statement is unread, which
    happens if the process is held up past the timeout.
    """
    unanswered = []

    async def test(world):
        idle_s = world.root.config.front.idle_s
        for early_s in (0.001, 0.01, 0.1):
            client = await world.client()
            await client.query(READ)
            await trio.sleep(idle_s - early_s)
            await client.send(wire.query(READ))
            trio.lowlevel.current_clock().jump(held_up_s)
            try:
                await client.read_reply()
            except ConnectionLostError:
                unanswered.append(early_s)

    front = {"idle_s": 2.0}
    run(test, changes={"front": front})
    assert unanswered == []
