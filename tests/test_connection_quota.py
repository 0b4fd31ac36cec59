"""The numbers of connections: the quota of those to leaves, and bursts of those from clients."""

import trio

from mothnotch.standins.platform import request
from tests.support.platform_rig import on_real_sockets, rig, wait_until


@on_real_sockets
async def test_at_the_limit_the_longest_idle_connection_is_closed_for_a_new_one():
    """Guards against idle connections to some leaves that block queries to others."""
    async with rig() as r:
        r.root.pool.max_connections = 2
        client, links = r.client(), {}
        homes = [r.home_leaf(shard) for shard in range(8)]
        first, second = 0, next(n for n in range(8) if homes[n] is not homes[0])
        third = next(n for n in range(8) if homes[n] not in (homes[first], homes[second]))
        for n in (first, second, third):
            client.send_bytes(request(f"r{n}", "read", (n,), timeout_ms=6000))
            links[n] = await homes[n].accept_connection()
            assert await links[n].read_call() == [f"r{n}.{n}"]
            await links[n].answer_part(f"r{n}.{n}", after_s=0.3)
            assert (await client.read_answer())[0] == 200
        assert await links[first].read_frame() is None  # the longest idle one was closed
        assert r.root.pool.open_count == 2 and r.root.pool.counts["over_most"] == 0


@on_real_sockets
async def test_at_the_limit_no_connection_in_use_is_closed_for_a_new_one():
    async with rig() as r:
        r.root.pool.max_connections = 2
        homes = [r.home_leaf(shard) for shard in range(8)]
        first, second = 0, next(n for n in range(8) if homes[n] is not homes[0])
        links, clients = {}, {}
        for n in (first, second):
            clients[n] = r.client()
            clients[n].send_bytes(request(f"r{n}", "read", (n,), timeout_ms=6000))
            links[n] = await homes[n].accept_connection()
            assert await links[n].read_call() == [f"r{n}.{n}"]
        third = next(n for n in range(8) if homes[n] not in (homes[first], homes[second]))
        late = r.client()
        late.send_bytes(request("late", "read", (third,), timeout_ms=500))
        await wait_until(lambda: r.root.pool.counts["over_most"])
        for link in links.values():
            await link.expect_no_call(0.1)
        assert (await late.read_answer())[0] == 503
        assert r.root.pool.open_count == 2


@on_real_sockets
async def test_a_burst_of_connections_is_accepted_before_many_passes_are_over():
    """Guards against a usual client that waits behind a burst of connections for one pass of the
    event loop each, as passes are long while input is processed.
    """
    async with rig() as r:
        burst = [r.client() for _ in range(80)]
        passes = 0
        while r.root.frontend.context.counts["connections"] < len(burst):
            await trio.lowlevel.checkpoint()
            passes += 1
        assert passes <= len(burst) // 2
