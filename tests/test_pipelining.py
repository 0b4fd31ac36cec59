"""Requests that a client sends ahead: each has its own time, and each that was read gets its answer."""
import json

import pytest
import trio

from mothnotch.standins.platform import request
from tests.platform_day import options
from tests.test_ends import frames_of, real, rig
from tests.test_failing_calls import serve

COMMANDS = 12


@real
async def test_a_request_sent_ahead_counts_from_its_own_last_byte_not_from_what_came_behind_it():
    """r2 lies behind r1 for half a second; only then does r3 come. r2's client has half a second less."""
    async with rig() as r:
        home, client = r.home(0), r.client()
        client.now(request("r1", "read", (0,), timeout_ms=4000))
        link = await home.link()
        assert await link.call() == ["r1.0"]
        client.now(request("r2", "read", (0,), timeout_ms=4000))
        sent = trio.current_time()
        await trio.sleep(0.6)
        client.now(request("r3", "read", (0,), timeout_ms=4000))
        await trio.sleep(0.1)
        await link.good("r1.0")
        letter, rest = await link.frame()
        assert letter == "m" and frames_of(rest)[0][0] == "r2.0"
        assert frames_of(rest)[0][2] <= 4000 - (trio.current_time() - sent) * 1000 + 50
        await link.good("r2.0")
        assert await link.call() == ["r3.0"]
        await link.good("r3.0")
        assert [(await client.answer())[0] for _ in range(3)] == [200] * 3
        await r.empty()


@real
async def test_a_request_sent_ahead_whose_time_is_over_is_refused_when_its_turn_comes():
    async with rig() as r:
        home, client = r.home(0), r.client()
        client.now(request("r1", "read", (0,), timeout_ms=4000))
        link = await home.link()
        assert await link.call() == ["r1.0"]
        client.now(request("r2", "read", (0,), timeout_ms=300))
        await trio.sleep(0.6)
        client.now(request("r3", "read", (1,), timeout_ms=4000)[:40])
        await trio.sleep(0.1)
        await link.good("r1.0")
        assert (await client.answer())[0] == 200 and (await client.answer())[0] == 503
        await link.nothing()


async def serve_links(r, leaf):
    while True:
        r.nursery.start_soon(serve, await leaf.link(), 0.02)


assert options and json
