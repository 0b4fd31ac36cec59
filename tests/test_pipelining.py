"""Pipelined requests: each has its own timeout, and each that was read is answered."""

import time

import pytest
import trio

from mothnotch.net import sockets
from mothnotch.net.sockets import ACCEPTS_PER_PASS
from mothnotch.standins.platform import request
from mothnotch.standins.platform_settings import options
from tests.support.platform_environment import run_on_virtual_clock
from tests.support.platform_rig import on_real_sockets, parts_of_call, rig, serve_connection
from tests.support.root_process import open_warm_connection, root_process

REQUESTS = 12
LANES = [{**lane, "deadlineUs": 4_000_000} for lane in options()["lanes"]]


@on_real_sockets
async def test_timeout_of_a_pipelined_request_runs_from_its_own_last_byte():
    """r2 is queued behind r1 for 0.6 s when r3 arrives; that time counts against r2's timeout."""
    async with rig() as r:
        home, client = r.home_leaf(0), r.client()
        client.send_bytes(request("r1", "read", (0,), timeout_ms=4000))
        link = await home.accept_connection()
        assert await link.read_call() == ["r1.0"]
        client.send_bytes(request("r2", "read", (0,), timeout_ms=4000))
        sent = trio.current_time()
        await trio.sleep(0.6)
        client.send_bytes(request("r3", "read", (0,), timeout_ms=4000))
        await trio.sleep(0.1)
        await link.answer_part("r1.0")
        frame_type, body = await link.read_frame()
        assert frame_type == "m" and parts_of_call(body)[0][0] == "r2.0"
        assert parts_of_call(body)[0][2] <= 4000 - (trio.current_time() - sent) * 1000 + 50
        await link.answer_part("r2.0")
        assert await link.read_call() == ["r3.0"]
        await link.answer_part("r3.0")
        assert [(await client.read_answer())[0] for _ in range(3)] == [200] * 3
        await r.expect_no_open_queries()


@on_real_sockets
async def test_pipelined_request_past_its_timeout_is_rejected_when_its_turn_comes():
    async with rig() as r:
        home, client = r.home_leaf(0), r.client()
        client.send_bytes(request("r1", "read", (0,), timeout_ms=4000))
        link = await home.accept_connection()
        assert await link.read_call() == ["r1.0"]
        client.send_bytes(request("r2", "read", (0,), timeout_ms=600))
        await trio.sleep(0.6)
        client.send_bytes(request("r3", "read", (1,), timeout_ms=4000)[:40])
        await trio.sleep(0.1)
        await link.answer_part("r1.0")
        assert (await client.read_answer())[0] == 200 and (await client.read_answer())[0] == 503
        await link.expect_no_call()


@on_real_sockets
@pytest.mark.parametrize("last_incomplete", [False, True])
async def test_requests_pipelined_before_a_shutdown_are_all_answered(last_incomplete):
    """The shutdown begins before the first of the requests is answered."""
    async with rig() as r:
        for leaf in r.leaves:
            r.nursery.start_soon(serve_leaf, r, leaf)
        client = r.client()
        data = b"".join(
            request(f"r{n}", "read", (n % 4,), timeout_ms=4000) for n in range(REQUESTS)
        )
        client.send_bytes(data[:-30] if last_incomplete else data)
        await trio.sleep(0.03)
        r.nursery.start_soon(r.root.stop)
        answers = [await client.read_answer() for _ in range(REQUESTS - last_incomplete)]
        assert [got and got[0] for got in answers] == [200] * (REQUESTS - last_incomplete)
        assert all("connection" not in headers for _, headers, _ in answers[:-1])
        if last_incomplete:
            client.send_bytes(data[-30:])
            got = await client.read_answer()
            assert got[0] == 200 and got[1]["connection"] == "close"
        else:
            assert answers[-1][1]["connection"] == "close"
        assert await client.read_answer() is None


@on_real_sockets
async def test_many_large_requests_at_once_are_all_answered():
    """Guards against sound requests that get no answer, of many sent at once (review/10)."""
    async with rig(limits={"openCap": 400}) as r:
        for leaf in r.leaves:
            r.nursery.start_soon(serve_leaf, r, leaf)
        client, text = r.client(), "x" * 6000
        requests = [
            request(f"r{n}", "read", (n % 4,), text=text, timeout_ms=8000) for n in range(30)
        ]
        r.nursery.start_soon(client.stream.send_all, b"".join(requests))
        with trio.fail_after(10):
            answers = [await client.read_answer() for _ in requests]
        assert [answer and answer[0] for answer in answers] == [200] * len(requests)


async def serve_leaf(r, leaf):
    while True:
        r.nursery.start_soon(serve_connection, await leaf.accept_connection(), 0.02)


@on_real_sockets
async def test_timeouts_of_requests_read_together_after_a_stall_run_from_the_first(tmp_path):
    """The kernel's timestamp of a read is that of its last byte; r1 arrived 0.5 s before it."""
    async with root_process(tmp_path) as root:
        client, link = root.client(), await open_warm_connection(root, root.home_leaf(0))
        async with root.paused():
            client.send_bytes(request("r1", "read", (0,), timeout_ms=4000))
            sent = trio.current_time()
            await trio.sleep(0.5)
            client.send_bytes(request("r2", "read", (0,), timeout_ms=4000))
            await trio.sleep(0.1)
        frame_type, body = await link.read_frame()
        ((wire_id, _, told_ms),) = parts_of_call(body)
        left_ms = 4000 - (trio.current_time() - sent) * 1000
        assert wire_id == "r1.0" and told_ms <= left_ms + 150, (told_ms, left_ms)


@on_real_sockets
async def test_short_timeout_of_a_pipelined_request_shortens_the_open_request_before_it():
    """Answers are sent in the order of requests: unless r1 is abandoned, the answers to the others
    are seconds late.
    """
    async with rig() as r:
        client = r.client()
        client.send_bytes(request("r1", "read", (0,), timeout_ms=6000))
        link = await r.home_leaf(0).accept_connection()
        assert await link.read_call() == ["r1.0"]
        sent = trio.current_time()
        client.send_bytes(
            request("r2", "read", (0,), timeout_ms=500)
            + request("r3", "read", (0,), timeout_ms=300)
        )
        assert [(await client.read_answer())[0] for _ in range(3)] == [504, 503, 503]
        assert trio.current_time() < sent + 0.3 + 0.5
        await r.expect_no_open_queries()


@on_real_sockets
async def test_timeout_on_a_connection_accepted_late_runs_from_its_earliest_possible_arrival(
    monkeypatch,
):
    """Guards against passing a leaf a deadline that is too late.

    In a burst of connections the last ones wait to be accepted, and the kernel's timestamp of what
    is then read is that of its last byte.
    """
    monkeypatch.setattr(sockets, "ACCEPT_PASS_S", 0.0)
    async with rig() as r:

        async def delay_scheduler():
            while True:
                time.sleep(0.02)
                await trio.lowlevel.checkpoint()

        # With passes of 20 ms, r1's connection is accepted after 0.5 s.
        burst = [r.client() for _ in range(25 * ACCEPTS_PER_PASS)]
        client = r.client()
        client.send_bytes(request("r1", "read", (0,), timeout_ms=4000))
        sent_s = trio.current_time()
        r.nursery.start_soon(delay_scheduler)
        await trio.sleep(0.3)
        client.send_bytes(request("r2", "read", (0,), timeout_ms=4000))
        link = await r.home_leaf(0).accept_connection()
        frame_type, body = await link.read_frame()
        ((wire_id, _, told_ms),) = parts_of_call(body)
        left_ms = 4000 - (trio.current_time() - sent_s) * 1000
        assert (frame_type, wire_id) == ("m", "r1.0")
        assert told_ms <= left_ms + 150
        for other in burst:
            other.disconnect()


@on_real_sockets
async def test_a_burst_of_connections_is_accepted_in_few_passes():
    """Guards against requests that wait for seconds to be accepted, as hundreds of clients connect
    at once while passes of the event loop take long (a soak's find).
    """
    async with rig(sockets=1024) as r:

        async def delay_scheduler():
            while True:
                time.sleep(0.02)
                await trio.lowlevel.checkpoint()

        burst = [r.client() for _ in range(300)]
        client = r.client()
        client.send_bytes(b"GET /-/healthy HTTP/1.1\r\nHost: a\r\n\r\n")
        sent_s = trio.current_time()
        r.nursery.start_soon(delay_scheduler)
        assert (await client.read_answer())[0] == 200
        assert trio.current_time() - sent_s < 0.5
        for other in burst:
            other.disconnect()


def split_in_two(data, line_end=b"\r\n"):
    """Return a request cut into two pieces at each position of its head."""
    data = data.replace(b"\r\n", line_end)
    head_bytes = data.index(2 * line_end) + 2 * len(line_end)
    return [(data[:cut], data[cut:]) for cut in range(1, head_bytes)]


@pytest.mark.parametrize("line_end", [b"\r\n", b"\n"], ids=["crlf", "lf"])
def test_timeout_header_in_two_pieces_shortens_the_open_request_before_it(line_end):
    """Guards against an answer that is seconds late, as the header with its timeout was split."""
    late = []

    def send(pieces):
        async def test(env):
            for leaf in env.leaves:
                leaf.reply_kind = lambda _request_id, _shard: "silent"
            client = await env.client()
            await client.send(request("r1", "read", (0,), timeout_ms=4000))
            await trio.sleep(0.05)
            began_s = trio.current_time()
            for piece in pieces:
                await client.send(piece)
                await trio.sleep(0.02)
            answers = [await client.read_answer() for _ in range(2)]
            took_s = trio.current_time() - began_s
            if None in answers or took_s > 0.6 + 0.5:
                late.append((pieces[0][-20:], took_s))

        run_on_virtual_clock(test, lanes=LANES)

    for pieces in split_in_two(request("r2", "read", (0,), timeout_ms=600), line_end):
        send(pieces)
    assert late == []


def test_timeout_number_that_is_cut_off_does_not_shorten_the_open_request():
    """Guards against a request that is given up early, as the number behind it was read in part."""
    given_up = []

    def send(pieces):
        async def test(env):
            for leaf in env.leaves:
                leaf.work_s = 0.7
            client = await env.client()
            await client.send(request("r1", "read", (0,), timeout_ms=4000))
            await trio.sleep(0.05)
            await client.send(pieces[0])
            await trio.sleep(0.6)
            await client.send(pieces[1])
            answers = [await client.read_answer() for _ in range(2)]
            if [answer and answer[0] for answer in answers] != [200, 200]:
                given_up.append(pieces[0][-20:])

        run_on_virtual_clock(test, lanes=LANES)

    for pieces in split_in_two(request("r2", "read", (1,), timeout_ms=4000)):
        send(pieces)
    assert given_up == []
