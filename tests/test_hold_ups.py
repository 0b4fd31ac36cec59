"""A root that is held up blames no leaf for it, as its own lag is not the leaf's latency."""

import time

import trio

from mothnotch.standins.platform import request
from tests.support.platform_rig import real, rig
from tests.support.root_process import root_process

ROUNDS = 10
# What the leaf takes for a part, in seconds; its timeout is three times that.
WORK_S = 0.2
HOLD_UP_S = 0.8


async def warm(client, leaf, count):
    """So many answers after WORK_S each, so that the root knows what is usual; the leaf's link."""
    for n in range(count):
        client.now(request(f"w{n}", "read", (0,), timeout_ms=4000))
        if not n:
            link = await leaf.link()
        assert await link.call() == [f"w{n}.0"]
        await link.good(f"w{n}.0", after_s=WORK_S)
        assert (await client.answer())[0] == 200
    return link


@real
async def test_an_answer_that_came_during_a_hold_up_is_read_before_its_timeout_is_looked_at(
    tmp_path,
):
    """Guards against moving a part away from a leaf that has answered it.

    The process is stopped while it waits; when it goes on, the answer lies unread and the review
    of its part is due.
    """
    async with root_process(tmp_path) as root:
        home, client = root.home(0), root.client()
        link = await warm(client, home, 3)
        for n in range(ROUNDS):
            client.now(request(f"r{n}", "read", (0,), timeout_ms=4000))
            # Fails by the letter of the frame if the part of the round before was cancelled.
            assert await link.call() == [f"r{n}.0"]
            async with root.held():
                await link.good(f"r{n}.0", after_s=WORK_S)
                await trio.sleep(HOLD_UP_S)
            assert (await client.answer())[0] == 200


@real
async def test_a_hold_up_between_a_send_and_its_record_takes_nothing_from_the_latency():
    """Guards against a leaf that looks faster than any is, and is then given no time."""
    async with rig() as root:
        sent_s, send_now = [], root.network.send_now

        def send_and_halt(stream, data):
            if data[4:5] != b"m":
                return send_now(stream, data)
            sent_s.append(trio.current_time())
            count = send_now(stream, data)
            time.sleep(0.05)
            return count

        root.network.send_now = send_and_halt
        client = root.client()
        client.now(request("r1", "read", (0,), timeout_ms=4000))
        link = await root.home(0).link()
        assert await link.call() == ["r1.0"]
        (part,) = root.root.core.parts.values()
        assert part.in_flight[0].sent_us / 1e6 <= sent_s[0]
        await link.good("r1.0")
        assert (await client.answer())[0] == 200


@real
async def test_a_hold_up_before_a_send_takes_nothing_from_the_time_that_the_leaf_is_given():
    """Guards against moving a part that its leaf has only just been sent."""
    async with rig() as root:
        client, core = root.client(), root.root.core
        link = await warm(client, root.home(0), 4)
        send_now = root.network.send_now

        def halt_and_send(stream, data):
            if data[4:5] == b"m":
                time.sleep(HOLD_UP_S)
            return send_now(stream, data)

        root.network.send_now = halt_and_send
        client.now(request("r1", "read", (0,), timeout_ms=4000))
        assert await link.call() == ["r1.0"]
        root.network.send_now = send_now
        await link.nothing(WORK_S / 2)
        (part,) = core.parts.values()
        assert part.attempt_count == 1
        await link.good("r1.0")
        assert (await client.answer())[0] == 200
