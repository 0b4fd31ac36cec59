"""Clients that disconnect while their request is read, queued, partly sent or answered."""

import pytest
import trio

from mothnotch.decisions import interface as i
from mothnotch.node.client_connection import MAX_PIPELINED_BYTES
from mothnotch.standins.platform import request
from tests.support.platform_rig import ids, links, long, real, rig, send, until


@real
async def test_request_of_a_client_that_disconnects_before_it_is_read_is_not_sent():
    """The request and the end of the stream are in the kernel's buffer before the root reads, while
    the core is busy with turns.
    """
    async with rig() as r:

        async def busy():
            while True:  # one turn of the core per scheduler pass
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
async def test_part_waiting_for_its_connection_is_not_sent_after_its_client_disconnects(cancel):
    async with rig(limits={"cancel": cancel}) as r:
        r.network.gate = trio.Event()  # connections are established when this is set
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
async def test_part_behind_a_full_socket_is_dropped_after_a_disconnect_without_affecting_others(
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
        # The leaf reads again: the partly sent frame and no other.
        assert await link.call() == ["r1.0"]
        await link.good("r1.0")
        assert (await first.answer())[0] == 200
        await link.nothing()
        assert not root_link.dead
        await r.empty()


@real
async def test_partly_sent_frame_is_not_completed_after_a_disconnect_if_cancellation_is_disabled():
    async with rig(small=True, limits={"cancel": False}) as r:
        r.network.small = True
        home, client = r.home(0), r.client()
        client.now(request("r1", "read", (0,), long()))
        link = await home.link()  # which reads nothing
        (root_link,) = await links(r, home.name, lambda k: k.unsent)
        client.leave()
        await until(lambda: r.root.core.counts["gone"])
        assert await link.frame() is None  # the leaf reads again: the frame stays incomplete
        assert root_link.dead
        await r.empty()


@real
@pytest.mark.parametrize("event", ["drain", "leave"])
async def test_wholly_unsent_frame_is_withdrawn_if_its_leaf_drains_or_its_client_disconnects(event):
    async with rig() as r:
        home, other_client, client = r.home(0), r.client(), r.client()
        other_client.now(request("stay", "hold", (0,), key="k1"))
        link = await home.link()
        assert await link.call() == ["stay.0"]
        r.network.full = b"m"
        client.now(request("r1", "read", (0,)))
        (root_link,) = await links(r, home.name, lambda k: k.attempt_count == 2)
        if event == "drain":
            await r.first.say(41, r.target(home, "Terminating"))
            await until(lambda: not r.root.pool.leaves[home.name].takes_new)
        else:
            client.leave()
            await until(lambda: r.root.core.counts["gone"])
        await until(lambda: root_link.attempt_count == 1)  # only the unsent part was withdrawn
        r.network.full = b""
        await link.nothing()
        await link.good("stay.0")
        assert (await other_client.answer())[0] == 200
        if event == "drain":
            (other_leaf,) = [
                leaf
                for leaf in r.leaves
                if leaf is not home and r.root.pool.leaves[leaf.name].connections
            ]
            other_link = await other_leaf.link()
            assert await other_link.call() == ["r1.0"]
            await other_link.good("r1.0")
            assert (await client.answer())[0] == 200
        await r.empty()


@real
async def test_hedge_waiting_for_its_connection_is_not_sent_once_its_part_is_answered():
    """Another part keeps the query open, and cancellation is disabled."""
    async with rig(limits={"cancel": False, "mayDuplicate": True}) as r:
        core, home, client = r.root.core, r.home(0), r.client()
        away = next(shard for shard in range(1, 8) if r.home(shard) is not home)
        client.now(request("r1", "read", (0, away)))
        link, far_link = await home.link(), await r.home(away).link()
        assert await link.call() == ["r1.0"] and await far_link.call() == [f"r1.{away}"]
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
        await far_link.good(f"r1.{away}")
        assert (await client.answer())[0] == 200


@real
async def test_disconnect_is_detected_behind_pipelined_data_past_the_limit():
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
async def test_pipelining_limit_covers_all_requests_of_a_connection():
    """Either batch of pipelined data is within the limit; both together exceed it."""
    async with rig() as r:
        client, home = r.client(), r.home(0)
        client.now(request("r0", "read", (0,)))
        link = await home.link()
        assert await link.call() == ["r0.0"]
        (root_client,) = r.root.frontend.connections.clients
        first_batch = request("r1", "read", (0,), timeout_ms=6000) + request(
            "r2", "read", (0,), long(40_000), timeout_ms=6000
        )
        await client.stream.send_all(first_batch)
        await until(lambda: root_client.ahead_bytes == len(first_batch))
        await link.good("r0.0", after_s=0.3)
        status, headers, _ = await client.answer()
        assert status == 200 and "connection" not in headers
        assert await link.call() == ["r1.0"]
        second_batch = request("r3", "read", (0,), long(40_000))
        await client.stream.send_all(second_batch)
        await until(lambda: root_client.ahead_bytes >= len(second_batch))
        for rid in ("r1", "r2"):  # only completely buffered requests are answered
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
async def test_client_past_the_pipelining_limit_gets_its_answers_then_an_error_and_a_close():
    async with rig() as r:
        client, one_request = r.client(), request("r2", "read", (0,), timeout_ms=9000)
        client.now(request("r1", "read", (0,), timeout_ms=9000))
        link = await r.home(0).link()
        assert await link.call() == ["r1.0"]
        (root_client,) = r.root.frontend.connections.clients
        await client.stream.send_all(one_request * 800)
        await until(lambda: root_client.truncated)

        async def answer_all():
            while (frame := await link.frame()) is not None:
                for wire_id in ids(frame[1]) if frame[0] == "m" else ():
                    await link.good(wire_id)

        await link.good("r1.0")
        r.nursery.start_soon(answer_all)
        answers = []
        while (answer := await client.answer()) is not None:
            answers.append((answer[0], answer[1].get("connection")))
        request_count = r.root.frontend.context.counts["requests"]
        assert answers[-1] == (413, "close") and len(answers) == request_count + 1
        # Late requests may be rejected.
        assert set(answers[:-1]) <= {(200, None), (503, None)} and answers[0] == (200, None)
        assert (
            MAX_PIPELINED_BYTES - len(one_request) * 100
            < request_count * len(one_request)
            <= MAX_PIPELINED_BYTES + len(one_request)
        )


@real
async def test_disconnects_in_the_turn_that_answers_their_parts_leave_no_state():
    async with rig() as r:
        home, clients = r.home(0), [r.client() for _ in range(30)]
        for n, client in enumerate(clients):
            client.now(request(f"r{n}", "read", (0,)))
        link, wire_ids = await home.link(), []
        while len(wire_ids) < 30:
            wire_ids += await link.call()
        # The answers and the disconnects arrive before the root runs.
        link.stream.socket._sock.send(b"".join(link.answer(wire_id) for wire_id in wire_ids))
        for client in clients[::2]:
            client.leave()
        for client in clients[1::2]:
            assert (await client.answer())[0] == 200
        await until(lambda: len(r.root.frontend.connections.clients) == 15)
        await r.empty()
