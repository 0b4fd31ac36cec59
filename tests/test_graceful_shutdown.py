"""The graceful shutdown of a root: accepted requests are answered, and the root ends in time."""

import pytest
import trio

from mothnotch.standins.platform import request
from mothnotch.standins.platform_settings import options
from tests.support.platform_rig import on_real_sockets, rig, wait_until


@on_real_sockets
async def test_stop_serves_the_backlog_and_unread_requests():
    async with rig() as r:
        home, open_client = r.home_leaf(0), r.client()
        open_client.send_bytes(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        assert (await open_client.read_answer())[0] == 200
        r.nursery.start_soon(r.root.stop)
        await wait_until(lambda: r.root.frontend.context.stopping)
        r.root.frontend.accept_scope.cancel()  # as if the core were too busy to accept
        await trio.sleep(0.05)
        late = r.client()
        late.send_bytes(request("late", "read", (0,), timeout_ms=3000))
        open_client.send_bytes(request("kept", "read", (0,), timeout_ms=3000))
        connection = await home.accept_connection()
        for _ in range(2):
            for wire_id in await connection.read_call():
                await connection.answer_part(wire_id, after_s=0.3)
        for client in (late, open_client):
            got = await client.read_answer()
            assert got[0] == 200 and got[1]["connection"] == "close"


@on_real_sockets
async def test_second_stop_changes_nothing_and_a_hung_leaf_does_not_delay_the_end():
    """Requests on connections that stay open are answered before the process may be killed,
    whatever their timeouts.
    """
    async with rig(
        lanes=[{**lane, "deadlineUs": 600_000, "aimUs": 300_000} for lane in options()["lanes"]]
    ) as r:
        client, began_s = r.client(), trio.current_time()
        r.nursery.start_soon(r.root.stop)
        await wait_until(lambda: r.root.frontend.context.stopping)
        answer_by_s = r.root.frontend.context.answer_by_s
        await r.root.stop()
        assert (
            r.root.frontend.context.answer_by_s
            == answer_by_s
            == pytest.approx(began_s + 0.6 + 0.7 - 0.3, abs=0.05)
        )
        await trio.sleep_until(began_s + 1.0)
        client.send_bytes(request("r1", "read", (0,), timeout_ms=600))
        got = await client.read_answer()
        assert got is not None and trio.current_time() < began_s + 0.6 + 0.7
