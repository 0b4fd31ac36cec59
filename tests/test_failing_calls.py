"""Temporary failures of system calls, and unusable input, in a real process of `run`."""

import errno
import pathlib
import signal
import time

import pytest
import trio

from mothnotch.decisions import interface as i
from mothnotch.net import DatagramSocket
from mothnotch.standins.platform import request
from mothnotch.standins.platform_settings import options
from tests.support.platform_rig import (
    address_of,
    listening_socket,
    on_real_sockets,
    rig,
    serve_connection,
    used_connection,
)
from tests.support.root_process import root_process, send_heartbeats, wait_until_ready


async def serve_leaf(root, leaf, after_s=0.0):
    while True:
        root.rig.nursery.start_soon(serve_connection, await leaf.accept_connection(), after_s)


def serve_all(root, after_s=0.0):
    for leaf in root.rig.leaves:
        root.rig.nursery.start_soon(serve_leaf, root, leaf, after_s)


# ---- unusable addresses in the endpoint list ----


@on_real_sockets
@pytest.mark.parametrize("endpoint", ["nonsense", "a..b:80", "10.0.0.1:99999", ""])
async def test_unusable_leaf_address_affects_only_its_parts(tmp_path, endpoint):
    async with root_process(tmp_path) as root:
        home = root.home_leaf(0)
        await root.rig.first_watch.send_listing(
            41, root.rig.target(home, where=endpoint) | {"endpoint": endpoint}
        )
        await trio.sleep(0.2)
        serve_all(root)
        client = root.client()
        client.send_bytes(request("r1", "read", (0,), timeout_ms=4000))
        answer = await client.read_answer()
        assert answer is not None and answer[0] == 200, answer  # from another leaf with the shard
        assert root.is_running()


# ---- log write failures ----


@on_real_sockets
async def test_root_with_an_unwritable_log_starts_serves_and_stops(tmp_path):
    """Standard error is on a full disk: every write fails with ENOSPC."""
    async with root_process(tmp_path, stderr="/dev/full") as root:
        serve_all(root)
        client = root.client()
        client.send_bytes(request("r1", "read", (0,), timeout_ms=4000))
        assert (await client.read_answer())[0] == 200
        root.send_signal(signal.SIGTERM)
        assert await root.wait_for_exit() == 0


@on_real_sockets
@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EPIPE])
async def test_temporary_log_failure_loses_log_lines_but_does_not_stop_the_root(tmp_path, error):
    async with root_process(tmp_path) as root:
        serve_all(root)
        root.control.fail("stderr", error, count=1000)
        root.send_signal(signal.SIGHUP)  # logs a line
        await trio.sleep(0.2)
        client = root.client()
        client.send_bytes(request("r1", "read", (0,), timeout_ms=4000))
        assert (await client.read_answer())[0] == 200
        root.control.clear_failures()
        root.send_signal(signal.SIGTERM)
        assert await root.wait_for_exit() == 0
        assert '"stopped"' in root.read_log()


# ---- temporary failures of system calls ----


@on_real_sockets
@pytest.mark.parametrize("error", [errno.ENFILE, errno.ENOBUFS, errno.EMFILE, errno.ENOMEM])
async def test_failing_accept_during_shutdown_does_not_lose_connections_in_the_backlog(
    tmp_path, error
):
    async with root_process(tmp_path) as root:
        serve_all(root)
        root.send_signal(signal.SIGTERM)
        await trio.sleep(0.35)
        async with root.paused():  # past the time at which it stops accepting
            late = [root.client() for _ in range(3)]
            for n, client in enumerate(late):
                client.send_bytes(request(f"late{n}", "read", (n,), timeout_ms=3000))
            root.control.fail("accept", error, count=10**6)
            await trio.sleep(0.4)
        await trio.sleep(0.1)
        root.control.clear_failures()
        assert [got and got[0] for got in [await client.read_answer() for client in late]] == [
            200
        ] * 3
        assert await root.wait_for_exit() == 0


@on_real_sockets
@pytest.mark.parametrize("error", [errno.ENOBUFS, errno.ENOMEM])
@pytest.mark.parametrize("call", ["send", "recv"])
async def test_send_or_recv_failing_for_lack_of_memory_keeps_the_connection(tmp_path, call, error):
    async with root_process(tmp_path) as root:
        serve_all(root, after_s=0.2)
        client = root.client()
        client.send_bytes(request("r1", "read", (0, 1, 2), timeout_ms=4000))
        await trio.sleep(0.1)
        root.control.fail(call, error, count=5)
        answer = await client.read_answer()
        assert answer is not None and answer[0] == 200, answer
        client.send_bytes(request("r2", "read", (0, 1, 2), timeout_ms=4000))
        assert (await client.read_answer())[0] == 200
        assert root.control.failure_count(call) == 5


@on_real_sockets
@pytest.mark.parametrize(
    "call, error",
    [
        ("connect", errno.EADDRNOTAVAIL),
        ("connect", errno.ENETUNREACH),
        ("connect", errno.EHOSTUNREACH),
        ("socket", errno.ENFILE),
        ("socket", errno.ENOBUFS),
        ("setsockopt", errno.ENOBUFS),
    ],
)
async def test_temporary_connect_failure_stops_neither_the_root_nor_answers(tmp_path, call, error):
    async with root_process(tmp_path) as root:
        serve_all(root)
        root.control.fail(call, error, count=2)
        client = root.client()
        client.send_bytes(request("r1", "read", (0,), timeout_ms=4000))
        answer = await client.read_answer()
        assert answer is not None and answer[0] in (200, 503), answer
        root.control.clear_failures()
        client.send_bytes(request("r2", "read", (0,), timeout_ms=4000))
        assert (await client.read_answer())[0] == 200


@on_real_sockets
@pytest.mark.parametrize("error", [errno.ENFILE, errno.EIO, errno.EMFILE])
async def test_reload_retries_a_temporarily_unreadable_configuration(tmp_path, error):
    async with root_process(tmp_path) as root:
        changed = root.config_path.read_text().replace(
            root.rig.address_of_agent(), root.rig.second_agent()
        )
        root.config_path.write_text(changed)
        root.control.fail("open", error, count=2)
        root.send_signal(signal.SIGHUP)
        with trio.fail_after(2.5):
            await root.rig.other_agent.accept()


@on_real_sockets
async def test_reload_retries_a_half_written_configuration(tmp_path):
    async with root_process(tmp_path) as root:
        changed = root.config_path.read_text().replace(
            root.rig.address_of_agent(), root.rig.second_agent()
        )
        root.config_path.write_text(changed[: len(changed) // 2])
        root.send_signal(signal.SIGHUP)
        await trio.sleep(0.2)
        root.config_path.write_text(changed)
        with trio.fail_after(2.5):
            await root.rig.other_agent.accept()


# ---- stalls and signals at critical moments ----


@on_real_sockets
async def test_root_serves_once_its_address_is_no_longer_in_use(tmp_path):
    """The previous process still holds the listening socket."""
    previous = listening_socket()
    async with root_process(tmp_path, answer_watch=False, address=address_of(previous)) as root:
        watch = await root.rig.accept_watch()
        await watch.send_chunk(b"\n")
        root.rig.nursery.start_soon(send_heartbeats, watch)
        await trio.sleep(0.6)
        assert root.is_running()
        previous.close()
        await wait_until_ready(root)


@on_real_sockets
async def test_sigterm_during_startup_ends_the_process_cleanly(tmp_path):
    """The signal is sent as soon as it is caught, while other modules are not imported yet."""
    async with root_process(tmp_path, answer_watch=False) as root:
        status = pathlib.Path(f"/proc/{root.process.pid}/status")
        while True:
            caught = int(
                next(
                    line for line in status.read_text().splitlines() if line.startswith("SigCgt")
                ).split()[1],
                16,
            )
            if caught >> (signal.SIGTERM - 1) & 1:
                break
            await trio.sleep(0.001)
        root.send_signal(signal.SIGTERM)
        assert await root.wait_for_exit(timeout_s=3) == 0


@on_real_sockets
async def test_root_stalled_at_sigterm_answers_before_it_may_be_killed(tmp_path):
    """The request arrives late on an open connection, and its leaf hangs."""
    async with root_process(tmp_path, lanes=options()["lanes"]) as root:
        client = root.client()
        async with root.paused():
            root.send_signal(signal.SIGTERM)
            signalled_s = trio.current_time()
            await trio.sleep(0.1)  # 0.15 s in all, with the wait in `paused`
        await trio.sleep_until(signalled_s + 1.0)
        client.send_bytes(request("r1", "read", (0,), timeout_ms=1500))
        answer = await client.read_answer()
        assert answer is not None and answer[0] in (503, 504)
        assert trio.current_time() < signalled_s + 1.5 + 0.7 - 0.05


@on_real_sockets
async def test_root_exits_before_it_may_be_killed_although_a_silent_client_stays(tmp_path):
    async with root_process(tmp_path, lanes=options()["lanes"]) as root:
        client = root.client()
        client.send_bytes(request("r1", "read", (0,), timeout_ms=1500)[:60])
        root.send_signal(signal.SIGTERM)
        signalled_s = trio.current_time()
        await trio.sleep(1.0)
        assert await root.wait_for_exit() == 0  # the client has sent only part of its request
        assert trio.current_time() < signalled_s + 1.5 + 0.7 - 0.1


@on_real_sockets
async def test_request_of_a_client_that_disconnects_during_a_stall_in_a_turn_is_not_sent():
    async with rig() as r:
        link = await used_connection(
            r
        )  # an established connection, so that the part could be sent at once
        client, handle = r.client(), r.root.core.balancer.handle

        def handle_then_stall(now, events):
            actions = handle(now, events)
            if any(isinstance(action, i.Send) for action in actions):
                client.sock.close()
                time.sleep(0.15)
            return actions

        r.root.core.balancer.handle = handle_then_stall
        client.send_bytes(request("r1", "read", (0,), timeout_ms=4000))
        await link.expect_no_call()
        await r.expect_no_open_queries()


@on_real_sockets
@pytest.mark.parametrize(
    "error",
    [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT, errno.ENOBUFS],
)
async def test_errors_reported_for_earlier_datagrams_do_not_stop_receiving(error):
    class Socket:
        errors = [OSError(error, "injected") for _ in range(2)]

        async def recvfrom(self, max_bytes):
            await trio.lowlevel.checkpoint()
            if self.errors:
                raise self.errors.pop()
            return b"after", ("127.0.0.1", 7)

    with trio.fail_after(1):
        assert await DatagramSocket(Socket()).receive(100) == (b"after", "127.0.0.1:7")
