"""Clients that disconnect while their request is read, queued, partly sent or answered."""

import gc
import weakref

import pytest
import trio

from mothnotch.decisions import interface as i
from mothnotch.node.received_input import READ_BYTES
from mothnotch.standins.platform import request
from tests.support.platform_rig import (
    long_text,
    on_real_sockets,
    rig,
    send_attempt,
    wait_for_connections,
    wait_until,
    wire_ids,
)


@on_real_sockets
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
            client.send_bytes(request(f"r{n}", "read", (0,)))
            client.disconnect()
            await trio.sleep(0.002)
        await wait_until(lambda: not r.root.frontend.connections.clients)
        assert r.root.core.counts["sends"] == 0
        await r.expect_no_open_queries()


@on_real_sockets
@pytest.mark.parametrize("cancel", [True, False])
async def test_part_waiting_for_its_connection_is_not_sent_after_its_client_disconnects(cancel):
    async with rig(limits={"cancel": cancel}) as r:
        r.network.connect_gate = trio.Event()  # connections are established when this is set
        client, home = r.client(), r.home_leaf(0)
        client.send_bytes(request("r1", "read", (0,)))
        await wait_until(lambda: r.network.connect_count >= 2)
        client.disconnect()
        await wait_until(lambda: r.root.core.counts["gone"])
        r.network.connect_gate.set()
        await (await home.accept_connection()).expect_no_call()
        await r.expect_no_open_queries()


@on_real_sockets
@pytest.mark.parametrize("cancel", [True, False])
async def test_part_behind_a_full_socket_is_dropped_after_a_disconnect_without_affecting_others(
    cancel,
):
    async with rig(small=True, limits={"cancel": cancel}) as r:
        r.network.has_small_send_buffers = True
        home, first, second = r.home_leaf(0), r.client(), r.client()
        first.send_bytes(request("r1", "read", (0,), long_text()))
        link = await home.accept_connection()  # which reads nothing
        (root_link,) = await wait_for_connections(r, home.name, lambda k: k.unsent)
        second.send_bytes(request("r2", "read", (0,), "short"))
        await wait_until(lambda: root_link.queued)
        second.disconnect()
        await wait_until(lambda: r.root.core.counts["gone"])
        # The leaf reads again: the partly sent frame and no other.
        assert await link.read_call() == ["r1.0"]
        await link.answer_part("r1.0")
        assert (await first.read_answer())[0] == 200
        await link.expect_no_call()
        assert not root_link.is_closed
        await r.expect_no_open_queries()


@on_real_sockets
async def test_partly_sent_frame_is_not_completed_after_a_disconnect_if_cancellation_is_disabled():
    async with rig(small=True, limits={"cancel": False}) as r:
        r.network.has_small_send_buffers = True
        home, client = r.home_leaf(0), r.client()
        client.send_bytes(request("r1", "read", (0,), long_text()))
        link = await home.accept_connection()  # which reads nothing
        (root_link,) = await wait_for_connections(r, home.name, lambda k: k.unsent)
        client.disconnect()
        await wait_until(lambda: r.root.core.counts["gone"])
        assert await link.read_frame() is None  # the leaf reads again: the frame stays incomplete
        assert root_link.is_closed
        await r.expect_no_open_queries()


@on_real_sockets
@pytest.mark.parametrize("event", ["drain", "leave"])
async def test_wholly_unsent_frame_is_withdrawn_if_its_leaf_drains_or_its_client_disconnects(event):
    async with rig() as r:
        home, other_client, client = r.home_leaf(0), r.client(), r.client()
        other_client.send_bytes(request("stay", "hold", (0,), key="k1"))
        link = await home.accept_connection()
        assert await link.read_call() == ["stay.0"]
        r.network.blocked_frame_type = b"m"
        client.send_bytes(request("r1", "read", (0,)))
        (root_link,) = await wait_for_connections(r, home.name, lambda k: k.attempt_count == 2)
        if event == "drain":
            await r.first_watch.send_listing(41, r.target(home, "Terminating"))
            await wait_until(lambda: not r.root.pool.leaves[home.name].takes_new)
        else:
            client.disconnect()
            await wait_until(lambda: r.root.core.counts["gone"])
        await wait_until(lambda: root_link.attempt_count == 1)  # only the unsent part was withdrawn
        r.network.blocked_frame_type = b""
        await link.expect_no_call()
        await link.answer_part("stay.0")
        assert (await other_client.read_answer())[0] == 200
        if event == "drain":
            (other_leaf,) = [
                leaf
                for leaf in r.leaves
                if leaf is not home and r.root.pool.leaves[leaf.name].connections
            ]
            other_link = await other_leaf.accept_connection()
            assert await other_link.read_call() == ["r1.0"]
            await other_link.answer_part("r1.0")
            assert (await client.read_answer())[0] == 200
        await r.expect_no_open_queries()


@on_real_sockets
async def test_hedge_waiting_for_its_connection_is_not_sent_once_its_part_is_answered():
    """Another part keeps the query open, and cancellation is disabled."""
    async with rig(limits={"cancel": False, "mayDuplicate": True}) as r:
        core, home, client = r.root.core, r.home_leaf(0), r.client()
        away = next(shard for shard in range(1, 8) if r.home_leaf(shard) is not home)
        client.send_bytes(request("r1", "read", (0, away)))
        link, far_link = await home.accept_connection(), await r.home_leaf(away).accept_connection()
        assert await link.read_call() == ["r1.0"] and await far_link.read_call() == [f"r1.{away}"]
        r.network.connect_gate, asked = trio.Event(), r.network.connect_count
        part = next(part for part in core.parts.values() if part.spec.shard == 0)
        other = next(leaf for leaf in r.leaves if not r.root.pool.leaves[leaf.name].connections)
        send_attempt(r, part, other)
        await wait_until(lambda: r.network.connect_count > asked)
        await link.answer_part("r1.0")
        await wait_until(lambda: part.rows is not None)
        r.network.connect_gate.set()
        await (await other.accept_connection()).expect_no_call()
        assert not part.in_flight
        await far_link.answer_part(f"r1.{away}")
        assert (await client.read_answer())[0] == 200


@on_real_sockets
async def test_disconnect_is_detected_behind_pipelined_data_past_the_limit():
    async with rig() as r:
        client = r.client()
        client.send_bytes(request("r1", "read", (0,)))
        link = await r.home_leaf(0).accept_connection()
        assert await link.read_call() == ["r1.0"]
        with trio.fail_after(2):
            await client.stream.send_all(b"x" * 400_000)
        client.disconnect()
        assert await link.read_frame() == ("n", b"r1.0")
        await wait_until(lambda: not r.root.frontend.connections.clients)
        await r.expect_no_open_queries()


@on_real_sockets
async def test_pipelined_requests_of_more_than_one_body_are_all_answered():
    """Guards against sound requests that are dropped, as those behind an open one are together
    larger than one body may be (review/10).
    """
    async with rig() as r:
        client, home = r.client(), r.home_leaf(0)
        client.send_bytes(request("r0", "read", (0,)))
        link = await home.accept_connection()
        assert await link.read_call() == ["r0.0"]
        (root_client,) = r.root.frontend.connections.clients
        first_batch = request("r1", "read", (0,), timeout_ms=6000) + request(
            "r2", "read", (0,), long_text(40_000), timeout_ms=6000
        )
        await client.stream.send_all(first_batch)
        await wait_until(lambda: root_client.pipelined_bytes == len(first_batch))
        await link.answer_part("r0.0", after_s=0.3)
        status, headers, _ = await client.read_answer()
        assert status == 200 and "connection" not in headers
        assert await link.read_call() == ["r1.0"]
        second_batch = request("r3", "read", (0,), long_text(40_000))
        await client.stream.send_all(second_batch)
        await wait_until(lambda: root_client.pipelined_bytes >= len(second_batch))
        for rid, following in (("r1", "r2"), ("r2", "r3"), ("r3", None)):
            await link.answer_part(f"{rid}.0")
            status, headers, _ = await client.read_answer()
            assert status == 200 and "connection" not in headers
            if following:
                assert await link.read_call() == [f"{following}.0"]
        assert r.root.frontend.context.counts["requests"] == 4
        await r.expect_no_open_queries()


async def answer_all(link):
    while (frame := await link.read_frame()) is not None:
        for wire_id in wire_ids(frame[1]) if frame[0] == "m" else ():
            await link.answer_part(wire_id)


@on_real_sockets
async def test_client_too_far_ahead_gets_an_answer_to_each_request_in_bounded_memory():
    """Guards against a client that sends more ahead than may be buffered, and fills the memory or
    gets no answer. While it cannot be seen whether it has left, nothing is begun for it.
    """
    async with rig() as r:
        client, one_request = r.client(), request("r2", "read", (0,), long_text(8000), 9000)
        budget = r.root.frontend.connections.input_budget
        client.send_bytes(request("r1", "read", (0,), timeout_ms=60_000))
        link = await r.home_leaf(0).accept_connection()
        assert await link.read_call() == ["r1.0"]
        (root_client,) = r.root.frontend.connections.clients
        count = 4 * budget.max_client_bytes // len(one_request)
        r.nursery.start_soon(client.stream.send_all, one_request * count)
        await wait_until(lambda: not root_client.reading.is_allowed)
        await trio.sleep(0.1)
        assert budget.total_bytes <= budget.max_client_bytes + READ_BYTES + len(one_request)
        await link.answer_part("r1.0")
        r.nursery.start_soon(answer_all, link)
        answers = []
        for _ in range(count + 1):
            answer = await client.read_answer()
            assert answer is not None, answers
            answers.append((answer[0], answer[1].get("connection")))
        assert answers[0] == (200, None)
        assert set(answers) == {(200, None), (503, None)}
        assert budget.most_bytes <= budget.max_client_bytes + READ_BYTES + len(one_request)
        # Once all is read, its requests are served again.
        assert answers[-1] == (200, None)
        await r.expect_no_open_queries()


@on_real_sockets
async def test_no_attempt_begins_for_a_client_whose_leaving_cannot_be_seen():
    """Guards against attempts that begin after their client has closed its connection, as the end
    of its stream is behind more bytes than may be buffered.
    """
    async with rig() as r:
        client, one_request = r.client(), request("r2", "read", (0,), timeout_ms=9000)
        client.send_bytes(request("r1", "read", (0,), timeout_ms=9000))
        home = r.home_leaf(0)
        link = await home.accept_connection()
        assert await link.read_call() == ["r1.0"]
        (root_client,) = r.root.frontend.connections.clients
        budget = r.root.frontend.connections.input_budget
        count = 4 * budget.max_client_bytes // len(one_request)
        r.nursery.start_soon(client.stream.send_all, one_request * count)
        await wait_until(lambda: not root_client.reading.is_allowed)
        link.stream.socket.close()  # the first attempt has failed: another would begin
        answer = await client.read_answer()
        assert answer[0] in (503, 504)
        for leaf in r.leaves:
            if leaf is not home:
                await leaf.expect_no_connection(0.1)


@on_real_sockets
async def test_disconnects_in_the_turn_that_answers_their_parts_leave_no_state():
    async with rig() as r:
        home, clients = r.home_leaf(0), [r.client() for _ in range(30)]
        for n, client in enumerate(clients):
            client.send_bytes(request(f"r{n}", "read", (0,)))
        link, wire_ids = await home.accept_connection(), []
        while len(wire_ids) < 30:
            wire_ids += await link.read_call()
        # The answers and the disconnects arrive before the root runs.
        link.stream.socket._sock.send(b"".join(link.encode_answer(wire_id) for wire_id in wire_ids))
        for client in clients[::2]:
            client.disconnect()
        for client in clients[1::2]:
            assert (await client.read_answer())[0] == 200
        await wait_until(lambda: len(r.root.frontend.connections.clients) == 15)
        await r.expect_no_open_queries()


@on_real_sockets
async def test_a_closed_connection_is_freed_without_the_garbage_collector():
    """Guards against memory that many short connections fill until the collector runs."""
    async with rig() as r:
        connections = r.root.frontend.connections
        gc.collect()
        gc.disable()
        try:
            references = []
            for number in range(20):
                client = r.client()
                client.send_bytes(b"GET /%d HTTP/1.1\r\nHost: a\r\n\r\n" % number)
                assert (await client.read_answer())[0] == 404
                references.append(weakref.ref(next(iter(connections.clients))))
                client.disconnect()
                await wait_until(lambda: not connections.clients)
            await trio.sleep(0.05)
            alive = sum(reference() is not None for reference in references)
        finally:
            gc.enable()
        assert alive <= 1
