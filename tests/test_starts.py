"""Start times of leaves on the root's own clock, and endpoint lists that omit a leaf. No I/O."""

import pytest

from mothnotch.decisions import endpoint_list
from mothnotch.decisions import interface as i
from mothnotch.decisions.balancer import Balancer
from mothnotch.decisions.endpoint_list import EndpointTracker, Leaf
from mothnotch.decisions.invariants import Invariant, SlowStartMonitor, Violations
from mothnotch.decisions.settings import parse_settings
from mothnotch.decisions.start_times import MAX_DISCOVERY_DELAY_US, StartTimes
from mothnotch.standins.platform_settings import options

S = 1_000_000
WALL = 1_700_000_000.0


def start_times(now_us=1000 * S):
    return StartTimes(now_us, WALL)


def test_a_start_is_converted_by_the_wall_clock_at_process_start():
    assert start_times().started_us("s", WALL - 5, 1000 * S) == 995 * S
    assert start_times().started_us("s", WALL + 15, 1020 * S) == 1015 * S
    assert start_times().started_us("s", None, 1000 * S) == 0


def test_a_future_start_counts_as_now_and_one_before_the_clocks_zero_as_long_ago():
    assert start_times().started_us("s", WALL + 99, 1000 * S) == 1000 * S
    assert start_times().started_us("s", WALL - 5000, 1000 * S) == 0


def test_a_process_listed_again_keeps_its_start():
    s = start_times()
    first = s.started_us("s", WALL - 5, 1000 * S)
    assert [s.started_us("s", WALL - 5, (1000 + n) * S + n) for n in range(5)] == [first] * 5


def test_a_start_that_would_have_been_listed_long_ago_counts_as_now():
    """Guards against a wall clock that was an hour fast when the root started."""
    s = start_times()
    s.record_message(1000 * S)
    assert s.started_us("s", WALL - 3600, 1001 * S) == 1001 * S
    assert s.started_us("t", WALL - 5, 1001 * S) == 995 * S  # within discovery's maximum delay
    late = WALL - MAX_DISCOVERY_DELAY_US / S - 2
    assert s.started_us("u", late, 1001 * S) == 1001 * S


def test_a_start_during_an_outage_of_discovery_is_accepted():
    s = start_times()
    s.record_message(1000 * S)
    assert s.started_us("s", WALL + 10, 1060 * S) == 1010 * S


def test_a_cached_list_does_not_count_as_a_message_from_discovery():
    s = start_times()
    endpoint_list.watch_event([Leaf("a", "h:1", "z", 0)], 1, 1000 * S, s, i.WatchEventKind.CACHED)
    found = endpoint_list.watch_event([Leaf("a", "h:1", "z", 0, started=WALL - 60)], 2, 1001 * S, s)
    assert found.entries[0].started_us == 940 * S


def test_the_number_of_start_times_kept_is_bounded():
    s = start_times()
    for n in range(10_000):
        s.started_us(f"s{n}", WALL, 1000 * S)
    assert len(s.starts) <= 4096


# ---- endpoint lists that omit a leaf ----


def up(name, started=None):
    return Leaf(name, "h:1", "z", 0, started=started)


def test_a_leaf_omitted_by_a_whole_list_is_not_restored_by_an_older_list():
    tracker = EndpointTracker()
    tracker.apply(50, True, [up("a"), up("b")])
    tracker.apply(51, True, [up("a")])  # b is draining: a whole list omits it
    tracker.on_agent_changed()  # another agent, whose list is older
    found = {leaf.name: leaf.state for leaf in tracker.apply(50, True, [up("a"), up("b")])}
    assert found == {"a": "up", "b": "draining"}
    found = {leaf.name: leaf.state for leaf in tracker.apply(52, True, [up("a"), up("b")])}
    assert found == {"a": "up", "b": "up"}


def test_an_omitted_leaf_that_restarted_is_listed():
    tracker = EndpointTracker()
    tracker.apply(50, True, [up("a"), up("b", 1.0)])
    tracker.apply(51, True, [up("a")])
    tracker.on_agent_changed()
    assert {leaf.name: leaf.state for leaf in tracker.apply(50, True, [up("a"), up("b", 2.0)])} == {
        "a": "up",
        "b": "up",
    }


# ---- the timeout of an attempt ----


@pytest.mark.parametrize("cancel", [True, False])
def test_no_attempt_has_a_timeout_beyond_its_querys_deadline(cancel):
    """Guards against a timeout beyond the query's deadline.

    Without cancellation the timeout is the balancer's own, which may exceed a short deadline.
    """
    b = Balancer(parse_settings(options(limits={"cancel": cancel})), 1)
    b.handle(
        0,
        [
            i.WatchEvent(
                i.WatchEventKind.SNAPSHOT,
                1,
                tuple(i.Endpoint(f"s{n}", "a", n, "up", 1.0, 0) for n in range(4)),
            )
        ],
    )
    actions = b.handle(
        S,
        [
            i.QueryArrived("q", 1, "read", "t", "k", S + 120_000, 50_000, False),
            i.PartArrived("q.0", 1, 0, 1.0, 50_000),
        ],
    )
    sends = [action for action in actions if isinstance(action, i.Send)]
    assert len(sends) == 1 and sends[0].timeout_us <= 120_000


# ---- invariants checked at run time ----


def test_violations_are_counted_and_logged():
    logged = []
    violations = Violations(lambda text, **fields: logged.append((text, fields)))
    violations.check(True, Invariant.FINAL_LATE)
    violations.check(False, Invariant.SECOND_COPY, wire_id="r1.0")
    assert violations.total == 1 and violations.counts == {"SECOND_COPY": 1}
    assert logged[0][1]["wire_id"] == "r1.0" and logged[0][1]["rule"] == "SECOND_COPY"


def test_a_slow_start_is_checked_against_the_budget_of_all_roots():
    rules = i.Rules(20_000, 0.2, 9 * S, 3.0, 3 * S, None, 0, None)
    check = SlowStartMonitor(rules, lambda: 60_000)
    check.update_endpoints(
        [i.Endpoint("cold", "a", 0, "up", 1.0, 100 * S), i.Endpoint("warm", "a", 0, "up", 1.0, 0)]
    )
    # 3 x 0.2 x 3 s / 60 ms = 30 parts at the start, plus a slack of 2 x sqrt(30) + 2.
    allowed = [check.record_send("cold", 100 * S + n) for n in range(60)]
    assert allowed.index(False) == 42 and all(
        check.record_send("warm", 100 * S) for _ in range(100)
    )
    assert check.record_send("cold", 110 * S)  # warm by then
