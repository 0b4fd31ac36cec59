"""Start times of leaves on the root's own clock, and lists that leave a leaf out. Pure."""

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


def starts(now_us=1000 * S):
    return StartTimes(now_us, WALL)


def test_a_start_is_an_age_by_the_wall_clock_of_the_process_start():
    assert starts().started_us("s", WALL - 5, 1000 * S) == 995 * S
    assert starts().started_us("s", WALL + 15, 1020 * S) == 1015 * S
    assert starts().started_us("s", None, 1000 * S) == 0


def test_one_in_the_future_counts_as_now_and_one_before_the_clock_began_as_long_ago():
    assert starts().started_us("s", WALL + 99, 1000 * S) == 1000 * S
    assert starts().started_us("s", WALL - 5000, 1000 * S) == 0


def test_the_same_process_told_again_is_not_moved():
    s = starts()
    first = s.started_us("s", WALL - 5, 1000 * S)
    assert [s.started_us("s", WALL - 5, (1000 + n) * S + n) for n in range(5)] == [first] * 5


def test_a_start_that_would_have_been_told_long_ago_counts_as_now():
    """The wall clock was an hour fast when the process began."""
    s = starts()
    s.record_message(1000 * S)
    assert s.started_us("s", WALL - 3600, 1001 * S) == 1001 * S
    assert s.started_us("t", WALL - 5, 1001 * S) == 995 * S  # within what discovery may be late by
    late = WALL - MAX_DISCOVERY_DELAY_US / S - 2
    assert s.started_us("u", late, 1001 * S) == 1001 * S


def test_after_a_silence_of_discovery_a_start_within_it_is_believed():
    s = starts()
    s.record_message(1000 * S)
    assert s.started_us("s", WALL + 10, 1060 * S) == 1010 * S


def test_the_list_that_a_process_is_given_is_no_word_of_discovery():
    s = starts()
    endpoint_list.watch_event([Leaf("a", "h:1", "z", 0)], 1, 1000 * S, s, i.WatchEventKind.CACHED)
    found = endpoint_list.watch_event([Leaf("a", "h:1", "z", 0, started=WALL - 60)], 2, 1001 * S, s)
    assert found.entries[0].started_us == 940 * S


def test_what_is_remembered_is_bounded():
    s = starts()
    for n in range(10_000):
        s.started_us(f"s{n}", WALL, 1000 * S)
    assert len(s.starts) <= 4096


# ---- lists that leave a leaf out ----


def up(name, started=None):
    return Leaf(name, "h:1", "z", 0, started=started)


def test_what_a_whole_list_leaves_out_is_not_taken_back_by_an_older_one():
    told = EndpointTracker()
    told.apply(50, True, [up("a"), up("b")])
    told.apply(51, True, [up("a")])  # b drains: a whole list leaves it out
    told.on_agent_changed()  # another agent, which has not heard yet
    found = {leaf.name: leaf.state for leaf in told.apply(50, True, [up("a"), up("b")])}
    assert found == {"a": "up", "b": "draining"}
    found = {leaf.name: leaf.state for leaf in told.apply(52, True, [up("a"), up("b")])}
    assert found == {"a": "up", "b": "up"}


def test_a_leaf_left_out_that_was_started_anew_is_taken():
    told = EndpointTracker()
    told.apply(50, True, [up("a"), up("b", 1.0)])
    told.apply(51, True, [up("a")])
    told.on_agent_changed()
    assert {leaf.name: leaf.state for leaf in told.apply(50, True, [up("a"), up("b", 2.0)])} == {
        "a": "up",
        "b": "up",
    }


# ---- the time a leaf is told ----


@pytest.mark.parametrize("cancel", [True, False])
def test_no_attempt_is_given_more_time_than_its_query_has(cancel):
    """Where nothing can be cancelled the limit is the module's patience, which a short time does
    not cover.
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


# ---- what is checked at run time ----


def test_violations_are_counted_and_told():
    told = []
    violations = Violations(lambda text, **fields: told.append((text, fields)))
    violations.check(True, Invariant.FINAL_LATE)
    violations.check(False, Invariant.SECOND_COPY, wire_id="r1.0")
    assert violations.total == 1 and violations.counts == {"SECOND_COPY": 1}
    assert told[0][1]["wire_id"] == "r1.0" and told[0][1]["rule"] == "SECOND_COPY"


def test_a_slow_start_is_held_against_the_budget_of_the_fleet():
    rules = i.Rules(20_000, 0.2, 9 * S, 3.0, 3 * S, None, 0, None)
    check = SlowStartMonitor(rules, lambda: 60_000)
    check.update_endpoints(
        [i.Endpoint("cold", "a", 0, "up", 1.0, 100 * S), i.Endpoint("warm", "a", 0, "up", 1.0, 0)]
    )
    # N = 3 x 0.2 x 3 s / 60 ms = 30 at the start, and 2 x root of 30 + 2 on top.
    held = [check.record_send("cold", 100 * S + n) for n in range(60)]
    assert held.index(False) == 42 and all(check.record_send("warm", 100 * S) for _ in range(100))
    assert check.record_send("cold", 110 * S)  # warm by then
