"""What the end of an attempt says of its server: how long its bytes were out, not how long the root
took.
"""

from mothnotch.decisions import interface as i
from tests.support.balancer_driver import MS, Root, S, of_type


def used_root():
    """A root that has seen answers within 10 ms, and the server that a new part is out at."""
    root = Root()
    for _ in range(60):
        _, actions = root.send_query(cost=10 * MS)
        for send in of_type(i.Send, actions):
            root.now += 10 * MS
            root.end_attempt(send.part, latency=10 * MS)
    (send,) = of_type(i.Send, root.send_query(cost=10 * MS)[1])
    return root, send.part, root.balancer.servers[send.server]


def test_a_hold_up_before_the_bytes_were_sent_is_no_mark_against_a_server():
    """Guards against blaming a leaf for the time that passed in the root before it asked."""
    root, part, server = used_root()
    root.now += 900 * MS
    root.end_attempt(part, i.Result.CANCELLED, latency=1 * MS)
    assert not any(server.failure_rates.values())


def test_a_hold_up_after_the_cancel_is_no_mark_against_a_server():
    """Guards against counting the time between an attempt's end and the turn that hears of it."""
    root, part, server = used_root()
    root.now += 900 * MS
    root.end_attempt(part, i.Result.CANCELLED, latency=11 * MS)
    assert not any(server.failure_rates.values())


def test_a_server_that_was_silent_after_the_bytes_were_sent_is_marked():
    root, part, server = used_root()
    root.now += 900 * MS
    root.end_attempt(part, i.Result.CANCELLED, latency=900 * MS)
    assert any(server.failure_rates.values())


def test_a_server_that_answered_others_meanwhile_is_not_marked():
    root, part, server = used_root()
    root.now += 900 * MS
    server.last_heard_us = root.now - 5 * MS
    root.end_attempt(part, i.Result.CANCELLED, latency=900 * MS)
    assert not any(server.failure_rates.values())


def test_a_server_that_was_overtaken_for_as_long_as_the_timeout_is_marked():
    """An answer to what was sent later says that this one is lost, not queued."""
    root, part, server = used_root()
    sent_us = root.now
    root.now += 2 * S
    server.last_heard_us = root.now
    server.last_answered_send_us = sent_us + 1
    root.end_attempt(part, i.Result.CANCELLED, latency=2 * S)
    assert any(server.failure_rates.values())


def test_a_hold_up_before_the_bytes_were_sent_loses_no_idle_connection():
    """Guards against closing idle connections as lost for what the root did."""
    root, part, server = used_root()
    root.end_attempt(part)
    root.now += 3 * S
    while True:
        (send,) = of_type(i.Send, root.send_query(cost=10 * MS)[1])
        if send.server == server.id:
            break
        root.end_attempt(send.part)
    idle = root.balancer.sender._idle_losses
    before = idle.share
    root.now += 900 * MS
    root.end_attempt(send.part, i.Result.CANCELLED, latency=1 * MS)
    assert idle.share <= before
