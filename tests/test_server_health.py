"""The end of an attempt counts against its server only for the time after its bytes were sent.

Time that the root itself spent before or after is not the server's.
"""

from mothnotch.decisions import interface as i
from tests.support.balancer_driver import MS, Root, S, of_type


def root_with_part_in_flight():
    """Return a root that has seen answers within 10 ms, a part in flight, and its server."""
    root = Root()
    for _ in range(60):
        _, actions = root.send_query(cost=10 * MS)
        for send in of_type(i.Send, actions):
            root.now += 10 * MS
            root.end_attempt(send.part, latency=10 * MS)
    (send,) = of_type(i.Send, root.send_query(cost=10 * MS)[1])
    return root, send.part, root.balancer.servers[send.server]


def test_a_delay_before_the_bytes_were_sent_is_no_failure_of_the_server():
    """Guards against counting the time that an attempt waited in the root before it was sent."""
    root, part, server = root_with_part_in_flight()
    root.now += 900 * MS
    root.end_attempt(part, i.Result.CANCELLED, latency=1 * MS)
    assert not any(server.failure_rates.values())


def test_a_delay_after_the_cancellation_is_no_failure_of_the_server():
    """Guards against counting the time from an attempt's end to the turn that handles it."""
    root, part, server = root_with_part_in_flight()
    root.now += 900 * MS
    root.end_attempt(part, i.Result.CANCELLED, latency=11 * MS)
    assert not any(server.failure_rates.values())


def test_a_server_that_was_silent_after_the_bytes_were_sent_has_failed():
    root, part, server = root_with_part_in_flight()
    root.now += 900 * MS
    root.end_attempt(part, i.Result.CANCELLED, latency=900 * MS)
    assert any(server.failure_rates.values())


def test_a_server_that_answered_others_meanwhile_has_not_failed():
    root, part, server = root_with_part_in_flight()
    root.now += 900 * MS
    server.last_heard_us = root.now - 5 * MS
    root.end_attempt(part, i.Result.CANCELLED, latency=900 * MS)
    assert not any(server.failure_rates.values())


def test_an_attempt_overtaken_for_as_long_as_its_timeout_is_a_failure():
    """If an attempt sent later has been answered, this one is lost, not queued."""
    root, part, server = root_with_part_in_flight()
    sent_us = root.now
    root.now += 2 * S
    server.last_heard_us = root.now
    server.last_answered_send_us = sent_us + 1
    root.end_attempt(part, i.Result.CANCELLED, latency=2 * S)
    assert any(server.failure_rates.values())


def test_a_delay_before_the_bytes_were_sent_is_no_loss_of_an_idle_connection():
    """Guards against closing idle connections as lost because of a delay in the root."""
    root, part, server = root_with_part_in_flight()
    root.end_attempt(part)
    root.now += 3 * S
    while True:
        (send,) = of_type(i.Send, root.send_query(cost=10 * MS)[1])
        if send.server == server.id:
            break
        root.end_attempt(send.part)
    idle_losses = root.balancer.sender._idle_losses
    before = idle_losses.share
    root.now += 900 * MS
    root.end_attempt(send.part, i.Result.CANCELLED, latency=1 * MS)
    assert idle_losses.share <= before
