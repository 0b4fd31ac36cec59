"""Retries stay within the retry budget of the window in which they are sent.

The window in which they were decided may hold more queries, and so allow more retries.
"""

import pytest
import trio

from mothnotch.decisions import interface as i
from mothnotch.decisions.retry_budget import RetryBudget
from mothnotch.standins.platform import request
from mothnotch.standins.platform_settings import options
from tests.support.platform_rig import on_real_sockets, rig, wait_until, wire_ids

S = 1_000_000


def rules(share=0.1, free=1, window_us=S):
    return i.Rules(20_000, 0.2, 9 * S, 3.0, 3 * S, share, free, window_us)


def test_the_budget_counts_retries_in_the_window_in_which_they_are_sent():
    budget = RetryBudget(rules())
    budget.record_admitted(0, 19)  # a query and 19 parts: 1 + 0.1 * 20 = 3 retries
    for n in range(3):
        assert budget.may_send(n)
        budget.record_sent(n)
    assert not budget.may_send(3)
    assert budget.may_send(S + 5)  # the three retries have left the window, and so has the query
    budget.record_sent(S + 5)
    assert not budget.may_send(S + 6)


def test_without_a_budget_retries_are_unlimited():
    budget = RetryBudget(rules(share=None))
    assert all(budget.may_send(0) for _ in range(100))


@on_real_sockets
@pytest.mark.parametrize("wait_s", [1.3])
async def test_retries_that_waited_for_a_connection_are_not_sent_beyond_the_budget(
    wait_s,
):
    """A reset loses ten parts while a burst of queries is in the window.

    Their retries then wait for a connection until that window is over.
    """
    lanes = [{**lane, "aimUs": 4_000_000, "deadlineUs": 8_000_000} for lane in options()["lanes"]]
    async with rig(
        lanes=lanes,
        rules={"repeatRatio": 0.1, "spareAttempts": 1, "lookBackUs": 1_000_000},
        limits={"dialTimeoutUs": 4_000_000, "openCap": 200},
    ) as r:
        home = r.home_leaf(0)
        other = next(leaf for leaf in r.leaves if leaf is not home and leaf.cell in (0, 1))
        clients = [r.client() for _ in range(10)]
        clients[0].send_bytes(request("r0", "read", (0,), timeout_ms=6000))
        link = await home.accept_connection()
        await link.read_call()
        for n, client in enumerate(clients[1:], 1):
            client.send_bytes(request(f"r{n}", "read", (0,), timeout_ms=6000))
        await wait_until(lambda: r.root.core.counts["sends"] == 10)
        r.network.connect_gate = trio.Event()  # holds all new connections back until it is set
        link.stream.socket.close()
        await trio.sleep(wait_s)
        r.network.connect_gate.set()
        sent = []

        async def read(one):
            while (frame := await one.read_frame()) is not None:
                sent.extend(
                    (trio.current_time(), wire_id)
                    for wire_id in wire_ids(frame[1])
                    if frame[0] == "m"
                )

        async def accept(leaf):
            while True:
                r.nursery.start_soon(read, await leaf.accept_connection())

        r.nursery.start_soon(accept, other)
        r.nursery.start_soon(accept, home)
        await trio.sleep(0.5)
        assert len(sent) <= 1, sent  # the minimum of one; no query arrived in this window
        assert not r.root.core.violations.total
