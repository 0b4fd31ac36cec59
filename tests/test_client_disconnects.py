"""Clients that disconnect while a request of theirs is read, queued, partly sent or answered."""

import pytest
import trio

from mothnotch.decisions import interface as i
from mothnotch.node.client_connection import MAX_PIPELINED_BYTES
from mothnotch.standins.platform import request
from tests.support.platform_rig import ids, links, long, real, rig, send, until


@real
async def test_who_left_behind_a_request_that_was_not_read_yet_is_not_worked_for():
    """The request and its end lie in the kernel before the root reads; the core is in the middle of
    its turns.
    """
    async with rig() as r:

        async def busy():
            while True:  # each pass of the scheduler is one of the core's turns
                r.root.core.post(i.TimerFired(0))
                await trio.lowlevel.checkpoint()

        r.nursery.start_soon(busy)
        for n in range(40):
            client = r.client()
            client.now(request(f"r{n}", "read", (0,)))
            client.leave()
            await trio.sleep(0.002)
        await until(lambda: not r.root.frontend.connections.clients)
        assert r.root.core.counts["sends"] == 0
        await r.empty()


@real
@pytest.mark.parametrize("cancel", [True, False])
async def test_a_part_that_waits_for_its_connection_does_not_go_out_for_who_has_left(cancel):
    async with rig(limits={"cancel": cancel}) as r:
        r.network.gate = trio.Event()  # connections come up when the test says so
        client, home = r.client(), r.home(0)
        client.now(request("r1", "read", (0,)))
        await until(lambda: r.network.asked >= 2)
        client.leave()
        await until(lambda: r.root.core.counts["gone"])
        r.network.gate.set()
        await (await home.link()).nothing()
        await r.empty()


@real
@pytest.mark.parametrize("cancel", [True, False])
async def test_a_part_behind_a_full_socket_does_not_go_out_for_who_has_left_and_harms_no_other(
    cancel,
):
    async with rig(small=True, limits={"cancel": cancel}) as r:
        r.network.small = True
        home, first, second = r.home(0), r.client(), r.client()
        first.now(request("r1", "read", (0,), long()))
        link = await home.link()  # which reads nothing
        (root_link,) = await links(r, home.name, lambda k: k.unsent)
        second.now(request("r2", "read", (0,), "short"))
        await until(lambda: root_link.queued)
        second.leave()
        await until(lambda: r.root.core.counts["gone"])
        assert await link.call() == [
            "r1.0"
        ]  # reads on: the frame that was partly out, and no other
        await link.good("r1.0")
        assert (await first.answer())[0] == 200
        await link.nothing()
        assert not root_link.dead
        await r.empty()


@real
async def test_a_part_whose_frame_is_partly_out_is_not_finished_for_who_has_left_where_calls_off_are_not_allowed():
    async with rig(small=True, limits={"cancel": False}) as r:
        r.network.small = True
        home, client = r.home(0), r.client()
        client.now(request("r1", "read", (0,), long()))
        link = await home.link()  # which reads nothing
        (root_link,) = await links(r, home.name, lambda k: k.unsent)
        client.leave()
        await until(lambda: r.root.core.counts["gone"])
        assert await link.frame() is None  # reads on: the frame does not come whole
        assert root_link.dead
        await r.empty()


@real
@pytest.mark.parametrize("end", ["drain", "leave"])
async def test_a_part_that_met_a_full_socket_whole_is_not_sent_to_a_leaf_that_drains_nor_for_who_has_left(
    end,
):
    async with rig() as r:
        home, stay, client = r.home(0), r.client(), r.client()
        stay.now(request("stay", "hold", (0,), key="k1"))
        link = await home.link()
        assert await link.call() == ["stay.0"]
        r.network.full = b"m"
        client.now(request("r1", "read", (0,)))
        (root_link,) = await links(r, home.name, lambda k: k.attempt_count == 2)
        if end == "drain":
            await r.first.say(41, r.target(home, "Terminating"))
            await until(lambda: not r.root.pool.leaves[home.name].takes_new)
        else:
            client.leave()
            await until(lambda: r.root.core.counts["gone"])
        await until(lambda: root_link.attempt_count == 1)  # it went back, the other part did not
        r.network.full = b""
        await link.nothing()
        await link.good("stay.0")
        assert (await stay.answer())[0] == 200
        if end == "drain":
            (other,) = [
                leaf
                for leaf in r.leaves
                if leaf is not home and r.root.pool.leaves[leaf.name].connections
            ]
            again = await other.link()
            assert await again.call() == ["r1.0"]
            await again.good("r1.0")
            assert (await client.answer())[0] == 200
        await r.empty()


@real
async def test_a_second_copy_that_waits_is_not_sent_once_its_part_is_in():
    """The query goes on, as another part of it is out; nothing may be called off."""
    async with rig(limits={"cancel": False, "mayDuplicate": True}) as r:
        core, home, client = r.root.core, r.home(0), r.client()
        away = next(shard for shard in range(1, 8) if r.home(shard) is not home)
        client.now(request("r1", "read", (0, away)))
        link, far = await home.link(), await r.home(away).link()
        assert await link.call() == ["r1.0"] and await far.call() == [f"r1.{away}"]
        r.network.gate, asked = trio.Event(), r.network.asked
        part = next(part for part in core.parts.values() if part.spec.shard == 0)
        other = next(leaf for leaf in r.leaves if not r.root.pool.leaves[leaf.name].connections)
        send(r, part, other)
        await until(lambda: r.network.asked > asked)
        await link.good("r1.0")
        await until(lambda: part.rows is not None)
        r.network.gate.set()
        await (await other.link()).nothing()
        assert not part.in_flight
        await far.good(f"r1.{away}")
        assert (await client.answer())[0] == 200


@real
async def test_a_client_that_has_sent_far_ahead_is_seen_to_leave():
    async with rig() as r:
        client = r.client()
        client.now(request("r1", "read", (0,)))
        link = await r.home(0).link()
        assert await link.call() == ["r1.0"]
        with trio.fail_after(2):
            await client.stream.send_all(b"x" * 400_000)
        client.leave()
        assert await link.frame() == ("n", b"r1.0")
        await until(lambda: not r.root.frontend.connections.clients)
        await r.empty()


@real
async def test_what_is_kept_ahead_is_bounded_over_the_requests_of_a_connection():
    """So much ahead of each of two is allowed; together it is too much."""
    async with rig() as r:
        client, home = r.client(), r.home(0)
        client.now(request("r0", "read", (0,)))
        link = await home.link()
        assert await link.call() == ["r0.0"]
        (served,) = r.root.frontend.connections.clients
        ahead = request("r1", "read", (0,), timeout_ms=6000) + request(
            "r2", "read", (0,), long(40_000), timeout_ms=6000
        )
        await client.stream.send_all(ahead)
        await until(lambda: served.ahead_bytes == len(ahead))
        await link.good("r0.0", after_s=0.3)
        status, headers, _ = await client.answer()
        assert status == 200 and "connection" not in headers
        assert await link.call() == ["r1.0"]
        more = request("r3", "read", (0,), long(40_000))
        await client.stream.send_all(more)
        await until(lambda: served.ahead_bytes >= len(more))
        for rid in ("r1", "r2"):  # what was kept whole is answered, and no more
            await link.good(f"{rid}.0")
            status, headers, _ = await client.answer()
            assert status == 200 and "connection" not in headers
            if rid == "r1":
                assert await link.call() == ["r2.0"]
        status, headers, _ = await client.answer()
        assert status == 413 and headers["connection"] == "close" and await client.ended()
        assert r.root.frontend.context.counts["requests"] == 3
        await r.empty()


@real
async def test_a_client_that_has_sent_far_ahead_gets_its_answers_and_then_an_error_and_a_close():
    async with rig() as r:
        client, one = r.client(), request("r2", "read", (0,), timeout_ms=9000)
        client.now(request("r1", "read", (0,), timeout_ms=9000))
        link = await r.home(0).link()
        assert await link.call() == ["r1.0"]
        (served,) = r.root.frontend.connections.clients
        await client.stream.send_all(one * 800)
        await until(lambda: served.truncated)

        async def answer_all():
            while (found := await link.frame()) is not None:
                for wire_id in ids(found[1]) if found[0] == "m" else ():
                    await link.good(wire_id)

        await link.good("r1.0")
        r.nursery.start_soon(answer_all)
        found = []
        while (got := await client.answer()) is not None:
            found.append((got[0], got[1].get("connection")))
        kept = r.root.frontend.context.counts["requests"]
        assert found[-1] == (413, "close") and len(found) == kept + 1
        assert set(found[:-1]) <= {(200, None), (503, None)} and found[0] == (
            200,
            None,
        )  # late ones may be refused
        assert (
            MAX_PIPELINED_BYTES - len(one) * 100 < kept * len(one) <= MAX_PIPELINED_BYTES + len(one)
        )


@real
async def test_many_that_leave_in_the_turn_in_which_their_parts_are_answered_leave_nothing_behind():
    async with rig() as r:
        home, clients = r.home(0), [r.client() for _ in range(30)]
        for n, client in enumerate(clients):
            client.now(request(f"r{n}", "read", (0,)))
        link, sent = await home.link(), []
        while len(sent) < 30:
            sent += await link.call()
        link.stream.socket._sock.send(
            b"".join(link.answer(x) for x in sent)
        )  # and, before the root runs:
        for client in clients[::2]:
            client.leave()
        for client in clients[1::2]:
            assert (await client.answer())[0] == 200
        await until(lambda: len(r.root.frontend.connections.clients) == 15)
        await r.empty()
