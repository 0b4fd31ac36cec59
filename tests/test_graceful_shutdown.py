"""The graceful shutdown of a root: what was accepted is answered, and it ends in time."""

import pytest
import trio

from mothnotch.standins.platform import request
from mothnotch.standins.platform_settings import options
from tests.support.platform_rig import on_real_sockets, rig, wait_until


@on_real_sockets
async def test_a_stop_takes_what_waits_in_the_backlog_and_what_has_come_unread():
    async with rig() as r:
        home, kept = r.home_leaf(0), r.client()
        kept.send_bytes(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await kept.read_answer())[0] == 200
        r.nursery.start_soon(r.root.stop)
        await wait_until(lambda: r.root.frontend.context.stopping)
        r.root.frontend.accept_scope.cancel()  # as on a core too busy to accept
        await trio.sleep(0.05)
        late = r.client()
        late.send_bytes(request("late", "read", (0,), timeout_ms=3000))
        kept.send_bytes(request("kept", "read", (0,), timeout_ms=3000))
        link = await home.accept_connection()
        for _ in range(2):
            for wire_id in await link.read_call():
                await link.answer_part(wire_id, after_s=0.3)
        for client in (late, kept):
            got = await client.read_answer()
            assert got[0] == 200 and got[1]["connection"] == "close"


@on_real_sockets
async def test_a_second_word_to_stop_changes_nothing_and_a_hung_leaf_holds_nobody_past_the_end():
    """What comes on a connection that stays open is answered before the process may be killed,
    whatever time it has.
    """
    async with rig(
        lanes=[{**lane, "deadlineUs": 600_000, "aimUs": 300_000} for lane in options()["lanes"]]
    ) as r:
        new, began = r.client(), trio.current_time()
        r.nursery.start_soon(r.root.stop)
        await wait_until(lambda: r.root.frontend.context.stopping)
        ends = r.root.frontend.context.answer_by_s
        await r.root.stop()
        assert (
            r.root.frontend.context.answer_by_s
            == ends
            == pytest.approx(began + 0.6 + 0.7 - 0.3, abs=0.05)
        )
        await trio.sleep_until(began + 1.0)
        new.send_bytes(request("r1", "read", (0,), timeout_ms=600))
        got = await new.read_answer()
        assert got is not None and trio.current_time() < began + 0.6 + 0.7
