"""At the limit of connections to leaves, idle connections are closed in favour of new ones."""

from mothnotch.standins.platform import request
from tests.support.platform_rig import real, rig, until


@real
async def test_at_the_limit_the_longest_idle_connection_is_closed_for_a_new_one():
    """Guards against idle connections to some leaves that block queries to others."""
    async with rig() as r:
        r.root.pool.max_connections = 2
        client, links = r.client(), {}
        homes = [r.home(shard) for shard in range(8)]
        first, second = 0, next(n for n in range(8) if homes[n] is not homes[0])
        third = next(n for n in range(8) if homes[n] not in (homes[first], homes[second]))
        for n in (first, second, third):
            client.now(request(f"r{n}", "read", (n,), timeout_ms=6000))
            links[n] = await homes[n].link()
            assert await links[n].call() == [f"r{n}.{n}"]
            await links[n].good(f"r{n}.{n}", after_s=0.3)
            assert (await client.answer())[0] == 200
        assert await links[first].frame() is None  # the longest idle one was closed
        assert r.root.pool.open_count == 2 and r.root.pool.counts["over_most"] == 0


@real
async def test_at_the_limit_no_connection_in_use_is_closed_for_a_new_one():
    async with rig() as r:
        r.root.pool.max_connections = 2
        homes = [r.home(shard) for shard in range(8)]
        first, second = 0, next(n for n in range(8) if homes[n] is not homes[0])
        links, clients = {}, {}
        for n in (first, second):
            clients[n] = r.client()
            clients[n].now(request(f"r{n}", "read", (n,), timeout_ms=6000))
            links[n] = await homes[n].link()
            assert await links[n].call() == [f"r{n}.{n}"]
        third = next(n for n in range(8) if homes[n] not in (homes[first], homes[second]))
        late = r.client()
        late.now(request("late", "read", (third,), timeout_ms=500))
        await until(lambda: r.root.pool.counts["over_most"])
        for link in links.values():
            await link.nothing(0.1)
        assert (await late.answer())[0] == 503
        assert r.root.pool.open_count == 2
