"""An unexpected error fails only the request or connection that triggers it, never the root."""

import gc

import pytest
import trio

from mothnotch.decisions import interface
from mothnotch.node import frames
from mothnotch.standins.platform import request
from tests.support.platform_rig import (
    on_real_sockets,
    rig,
    wait_until,
    wire_ids,
)


@on_real_sockets
async def test_error_in_the_balancer_fails_only_the_query_that_triggers_it():
    async with rig() as r:
        home, other, client = r.home_leaf(0), r.client(), r.client()
        other.send_bytes(request("r1", "read", (0,)))
        link = await home.accept_connection()
        assert await link.read_call() == ["r1.0"]
        balancer = r.root.core.balancer
        balancer.handlers[interface.PartArrived] = lambda event: 1 / 0
        client.send_bytes(request("r2", "read", (0,)))
        with trio.fail_after(0.9):  # fails at once, not at its timeout of one second
            got = await client.read_answer()
        assert got[0] == 503  # no part of it was sent
        balancer.handlers[interface.PartArrived] = balancer.arrivals.on_part_arrived
        await link.answer_part("r1.0", after_s=0.3)
        assert (await other.read_answer())[0] == 200
        client.send_bytes(request("r3", "read", (0,)))
        assert await link.read_call() == ["r3.0"]
        await link.answer_part("r3.0")
        assert (await client.read_answer())[0] == 200
        assert "unexpected error in the balancer" in [event for event, _ in r.log.lines]
        await r.expect_no_open_queries()


@on_real_sockets
async def test_error_while_an_answer_is_written_fails_only_that_connection(monkeypatch):
    async with rig() as r:
        home, failing, good = r.home_leaf(0), r.client(), r.client()
        failing.send_bytes(request("r1", "read", (0,)))
        link = await home.accept_connection()
        assert await link.read_call() == ["r1.0"]
        good.send_bytes(request("r2", "read", (0,)))
        assert await link.read_call() == ["r2.0"]
        finish = r.root.frontend.handler.finish

        def failing_finish(client, query, outcome):
            if client.request_id == "r1":
                raise ValueError("injected")
            finish(client, query, outcome)

        monkeypatch.setattr(r.root.frontend.handler, "finish", failing_finish)
        await link.answer_part("r1.0")
        await link.answer_part("r2.0")
        assert (await good.read_answer())[0] == 200 and (await failing.read_answer())[0] == 500
        await r.expect_no_open_queries()


@on_real_sockets
@pytest.mark.parametrize("failure_point", ["answer", "list", "action", "send"])
async def test_error_in_processing_input_or_in_a_step_of_a_turn_does_not_stop_the_root(
    monkeypatch, failure_point
):
    async with rig() as r:
        home, client = r.home_leaf(0), r.client()
        client.send_bytes(request("r1", "read", (0,)))
        link = await home.accept_connection()
        assert await link.read_call() == ["r1.0"]
        if failure_point == "answer":
            monkeypatch.setattr(frames, "decode_answer", lambda rest: 1 / 0)
            await link.answer_part("r1.0")
            assert await link.read_frame() is None  # the root closes the connection
            monkeypatch.undo()
        elif failure_point == "list":
            monkeypatch.setattr(r.root.watch, "publish", lambda found: 1 / 0)
            await r.first_watch.send_listing(41, r.target(home))
            again = await r.accept_watch()  # the root opens a new watch
            monkeypatch.undo()
            await again.send_listing(41, r.target(home))
            await wait_until(lambda: r.root.watch.endpoints.version == 41)
        elif failure_point == "action":
            r.root.core.handlers[interface.Log] = lambda action: 1 / 0
            turn = r.root.core.balancer.turn
            turn.timers.schedule(0, turn.emit, interface.Log("injected"))
            r.root.core.post(interface.TimerFired(0))
        else:
            monkeypatch.setattr(r.root.pool, "enqueue", lambda leaf, attempts: 1 / 0)
            unserved = r.client()
            unserved.send_bytes(request("r2", "read", (0,)))
            await wait_until(lambda: r.log.lines[-1][0].startswith("unexpected error"))
            monkeypatch.undo()
            unserved.disconnect()
        await wait_until(
            lambda: any(event.startswith("unexpected error") for event, _ in r.log.lines)
        )

        async def serve(link):
            while (found := await link.read_frame()) is not None:
                for wire_id in wire_ids(found[1]) if found[0] == "m" else ():
                    await link.answer_part(wire_id)

        async def accept(leaf):
            while True:
                r.nursery.start_soon(serve, await leaf.accept_connection())

        for leaf in r.leaves:
            r.nursery.start_soon(accept, leaf)
        if failure_point != "answer":
            await link.answer_part("r1.0", after_s=0.3)
            r.nursery.start_soon(serve, link)
        assert (await client.read_answer())[
            0
        ] == 200  # from another leaf if its connection was closed
        later_client = r.client()
        later_client.send_bytes(request("r3", "hold", (0,), key="k3", timeout_ms=6000))
        assert (await later_client.read_answer())[0] == 200


@on_real_sockets
async def test_error_while_a_request_is_read_is_answered_with_500():
    async with rig() as r:
        client = r.client()
        r.root.frontend.handler.submit = lambda *args: 1 / 0
        client.send_bytes(request("r1", "read", (0,)))
        assert (await client.read_answer())[0] == 500


DEEPLY_NESTED_BODY = b'{"ranges":[],"predicate":"t","x":' + b"[" * 30_000 + b"]" * 30_000 + b"}"


@on_real_sockets
async def test_too_deeply_nested_body_of_a_pipelined_request_does_not_stop_the_root():
    """The second request is parsed in the turn that answers the first: an error in it used to stop
    the root.
    """
    async with rig() as r:
        other, client, home = r.client(), r.client(), r.home_leaf(0)
        other.send_bytes(request("r1", "read", (0,)))
        link = await home.accept_connection()
        assert await link.read_call() == ["r1.0"]
        client.send_bytes(request("r2", "read", (0,)))
        assert await link.read_call() == ["r2.0"]
        client.send_bytes(request("r3", "read", (0,), body=DEEPLY_NESTED_BODY))
        await trio.sleep(0.05)
        await link.answer_part("r2.0")
        assert (await client.read_answer())[0] == 200 and (await client.read_answer())[0] == 400
        await link.answer_part("r1.0")
        assert (await other.read_answer())[0] == 200
        await r.expect_no_open_queries()


@on_real_sockets
async def test_too_deeply_nested_endpoint_list_breaks_only_its_watch():
    async with rig() as r:
        await r.first_watch.send_chunk(
            b'{"rev":50,"all":true,"targets":[],"x":' + b"[" * 30_000 + b"]" * 30_000 + b"}\n"
        )
        again = await r.accept_watch()
        await again.send_listing(51, r.target(r.leaves[0], "Terminating"))
        await wait_until(lambda: not r.root.pool.leaves["s0"].takes_new)


def test_root_that_stops_with_an_unanswered_query_logs_it():
    async def test():
        async with rig() as r:
            client = r.client()
            client.send_bytes(request("r1", "read", (0,)))
            await wait_until(lambda: r.root.core.queries)
            r.root.nursery.cancel_scope.cancel()
            await wait_until(lambda: r.log.lines[-1][0] == "stopped")
            return dict(r.log.lines)

    lines = trio.run(test)
    (left_s,) = lines["accepted queries not answered"].pop("left_s")
    assert 0 < left_s <= 1
    assert lines["accepted queries not answered"] == {"taken": 1, "ends": 0, "queries": ["q1"]}
    gc.collect()
