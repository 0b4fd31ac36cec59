"""Stalls of the root: its own delay must not count as latency of a leaf."""

import time

import trio

from mothnotch.standins.platform import request
from tests.support.platform_rig import on_real_sockets, rig
from tests.support.root_process import root_process

ROUNDS = 10
# Time that the leaf takes for a part; the timeout of an attempt becomes three times that.
WORK_S = 0.2
STALL_S = 0.8


async def warm_up(client, leaf, count):
    """Answer `count` parts after WORK_S each, to set the median latency.

    Return the leaf's end of the connection.
    """
    for n in range(count):
        client.send_bytes(request(f"w{n}", "read", (0,), timeout_ms=4000))
        if not n:
            link = await leaf.accept_connection()
        assert await link.read_call() == [f"w{n}.0"]
        await link.answer_part(f"w{n}.0", after_s=WORK_S)
        assert (await client.read_answer())[0] == 200
    return link


@on_real_sockets
async def test_an_answer_received_during_a_stall_is_read_before_its_timeout_is_checked(
    tmp_path,
):
    """Guards against moving a part away from a leaf that has answered it.

    The process is stopped while it waits. When it resumes, the answer is unread in the socket and
    the timeout of the attempt is due.
    """
    async with root_process(tmp_path) as root:
        home, client = root.home_leaf(0), root.client()
        link = await warm_up(client, home, 3)
        for n in range(ROUNDS):
            client.send_bytes(request(f"r{n}", "read", (0,), timeout_ms=4000))
            # Fails on the type of the frame if the previous round's part was cancelled.
            assert await link.read_call() == [f"r{n}.0"]
            async with root.paused():
                await link.answer_part(f"r{n}.0", after_s=WORK_S)
                await trio.sleep(STALL_S)
            assert (await client.read_answer())[0] == 200


@on_real_sockets
async def test_a_stall_between_a_send_and_its_record_does_not_shorten_the_latency():
    """Guards against a latency that is too low, from which later timeouts would be too short."""
    async with rig() as root:
        sent_s, send_now = [], root.network.send_now

        def send_then_stall(stream, data):
            if data[4:5] != b"m":
                return send_now(stream, data)
            sent_s.append(trio.current_time())
            count = send_now(stream, data)
            time.sleep(0.05)
            return count

        root.network.send_now = send_then_stall
        client = root.client()
        client.send_bytes(request("r1", "read", (0,), timeout_ms=4000))
        link = await root.home_leaf(0).accept_connection()
        assert await link.read_call() == ["r1.0"]
        (part,) = root.root.core.parts.values()
        assert part.in_flight[0].sent_us / 1e6 <= sent_s[0]
        await link.answer_part("r1.0")
        assert (await client.read_answer())[0] == 200


@on_real_sockets
async def test_a_stall_before_a_send_does_not_shorten_the_time_given_to_the_leaf():
    """Guards against moving a part that has only just been sent to its leaf."""
    async with rig() as root:
        client, core = root.client(), root.root.core
        link = await warm_up(client, root.home_leaf(0), 4)
        send_now = root.network.send_now

        def stall_then_send(stream, data):
            if data[4:5] == b"m":
                time.sleep(STALL_S)
            return send_now(stream, data)

        root.network.send_now = stall_then_send
        client.send_bytes(request("r1", "read", (0,), timeout_ms=4000))
        assert await link.read_call() == ["r1.0"]
        root.network.send_now = send_now
        await link.expect_no_call(WORK_S / 2)
        (part,) = core.parts.values()
        assert part.attempt_count == 1
        await link.answer_part("r1.0")
        assert (await client.read_answer())[0] == 200
