"""Errors of the root's own cost the request or the connection that met them, and no root."""

import gc

import pytest
import trio

from mothnotch.decisions import interface as i
from mothnotch.node import frames
from mothnotch.standins.platform import request
from tests.support.platform_rig import (
    ids,
    real,
    rig,
    until,
)


@real
async def test_an_error_in_the_module_costs_the_query_that_met_it_and_no_other():
    async with rig() as r:
        home, other, client = r.home(0), r.client(), r.client()
        other.now(request("r1", "read", (0,)))
        link = await home.link()
        assert await link.call() == ["r1.0"]
        b = r.root.core.balancer
        b.handlers[i.PartArrived] = lambda event: 1 / 0
        client.now(request("r2", "read", (0,)))
        with trio.fail_after(0.9):  # not by its time, which is a second
            got = await client.answer()
        assert got[0] == 503  # nothing of it was sent
        b.handlers[i.PartArrived] = b.arrivals.on_part_arrived
        await link.good("r1.0", after_s=0.3)
        assert (await other.answer())[0] == 200
        client.now(request("r3", "read", (0,)))
        assert await link.call() == ["r3.0"]
        await link.good("r3.0")
        assert (await client.answer())[0] == 200
        assert "unexpected error in the balancer" in [event for event, _ in r.log.lines]
        await r.empty()


@real
async def test_an_error_on_one_answers_way_out_costs_that_connection_and_no_other(monkeypatch):
    async with rig() as r:
        home, bad, good = r.home(0), r.client(), r.client()
        bad.now(request("r1", "read", (0,)))
        link = await home.link()
        assert await link.call() == ["r1.0"]
        good.now(request("r2", "read", (0,)))
        assert await link.call() == ["r2.0"]
        finish = r.root.frontend.handler.finish

        def broken(client, query, outcome):
            if client.request_id == "r1":
                raise ValueError("planted")
            finish(client, query, outcome)

        monkeypatch.setattr(r.root.frontend.handler, "finish", broken)
        await link.good("r1.0")
        await link.good("r2.0")
        assert (await good.answer())[0] == 200 and (await bad.answer())[0] == 500
        await r.empty()


@real
@pytest.mark.parametrize("where", ["answer", "list", "action", "send"])
async def test_an_error_on_what_leaves_or_the_agent_say_or_in_a_step_of_a_turn_ends_no_root(
    monkeypatch, where
):
    async with rig() as r:
        home, client = r.home(0), r.client()
        client.now(request("r1", "read", (0,)))
        link = await home.link()
        assert await link.call() == ["r1.0"]
        if where == "answer":
            monkeypatch.setattr(frames, "answer", lambda rest: 1 / 0)
            await link.good("r1.0")
            assert await link.frame() is None  # its connection goes
            monkeypatch.undo()
        elif where == "list":
            monkeypatch.setattr(r.root.watch, "publish", lambda found: 1 / 0)
            await r.first.say(41, r.target(home))
            again = await r.watch()  # another watch
            monkeypatch.undo()
            await again.say(41, r.target(home))
            await until(lambda: r.root.watch.endpoints.version == 41)
        elif where == "action":
            r.root.core.handlers[i.Log] = lambda action: 1 / 0
            turn = r.root.core.balancer.turn
            turn.timers.schedule(0, turn.emit, i.Log("planted"))
            r.root.core.post(i.TimerFired(0))
        else:
            monkeypatch.setattr(r.root.pool, "place", lambda leaf, attempts: 1 / 0)
            lost = r.client()
            lost.now(request("r2", "read", (0,)))
            await until(lambda: r.log.lines[-1][0].startswith("unexpected error"))
            monkeypatch.undo()
            lost.leave()
        await until(lambda: any(event.startswith("unexpected error") for event, _ in r.log.lines))

        async def serve(link):
            while (found := await link.frame()) is not None:
                for wire_id in ids(found[1]) if found[0] == "m" else ():
                    await link.good(wire_id)

        async def accept(leaf):
            while True:
                r.nursery.start_soon(serve, await leaf.link())

        for leaf in r.leaves:
            r.nursery.start_soon(accept, leaf)
        if where != "answer":
            await link.good("r1.0", after_s=0.3)
            r.nursery.start_soon(serve, link)
        assert (await client.answer())[0] == 200  # where its connection went, from another leaf
        after = r.client()
        after.now(request("r3", "hold", (0,), key="k3", timeout_ms=6000))
        assert (await after.answer())[0] == 200


@real
async def test_an_error_while_a_request_is_read_is_answered():
    async with rig() as r:
        client = r.client()
        r.root.frontend.handler.submit = lambda *args: 1 / 0
        client.now(request("r1", "read", (0,)))
        assert (await client.answer())[0] == 500


DEEP = b'{"ranges":[],"predicate":"t","x":' + b"[" * 30_000 + b"]" * 30_000 + b"}"


@real
async def test_a_body_nested_too_deep_behind_another_request_costs_its_connection_and_no_root():
    """It is read in the core's turn that answers the first one: an error there was the root's end."""
    async with rig() as r:
        other, client, home = r.client(), r.client(), r.home(0)
        other.now(request("r1", "read", (0,)))
        link = await home.link()
        assert await link.call() == ["r1.0"]
        client.now(request("r2", "read", (0,)))
        assert await link.call() == ["r2.0"]
        client.now(request("r3", "read", (0,), body=DEEP))
        await trio.sleep(0.05)
        await link.good("r2.0")
        assert (await client.answer())[0] == 200 and (await client.answer())[0] == 400
        await link.good("r1.0")
        assert (await other.answer())[0] == 200
        await r.empty()


@real
async def test_a_list_nested_too_deep_breaks_its_watch_and_no_root():
    async with rig() as r:
        await r.first.raw(
            b'{"rev":50,"all":true,"targets":[],"x":' + b"[" * 30_000 + b"]" * 30_000 + b"}\n"
        )
        again = await r.watch()
        await again.say(51, r.target(r.leaves[0], "Terminating"))
        await until(lambda: not r.root.pool.leaves["s0"].takes_new)


def test_a_root_that_owes_an_answer_at_its_end_says_so():
    async def test():
        async with rig() as r:
            client = r.client()
            client.now(request("r1", "read", (0,)))
            await until(lambda: r.root.core.queries)
            r.root.nursery.cancel_scope.cancel()
            await until(lambda: r.log.lines[-1][0] == "stopped")
            return dict(r.log.lines)

    lines = trio.run(test)
    assert lines["taken and not answered"] == {"taken": 1, "ends": 0, "queries": ["q1"]}
    gc.collect()
