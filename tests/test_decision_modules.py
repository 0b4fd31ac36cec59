"""Unit tests of the decision modules outside the balancer.

They cover outcomes, request classes, transactions, endpoint lists and benchmark-day conversion.
"""

import pytest

from mothnotch.badday.script import FAULT_KINDS, scenario_from_bench_day
from mothnotch.decisions import endpoint_list, outcomes, request_classes, transactions
from mothnotch.decisions import interface as i
from mothnotch.decisions.endpoint_list import Leaf
from mothnotch.decisions.outcomes import Fault, LeafError
from mothnotch.decisions.request_classes import ClassKind
from mothnotch.decisions.start_times import StartTimes
from mothnotch.decisions.transactions import BufferedWrite


@pytest.mark.parametrize(
    "sqlstate, fault, result",
    [
        ("53300", Fault.SERVER, i.Result.REJECTED),
        ("57P03", Fault.SERVER, i.Result.REJECTED),
        ("25006", Fault.SERVER, i.Result.REJECTED),
        ("MN001", Fault.SERVER, i.Result.REJECTED),
        ("53100", Fault.SERVER, i.Result.ERROR),
        ("XX000", Fault.SERVER, i.Result.ERROR),
        ("40P01", Fault.SERVER, i.Result.ERROR),
        ("57014", Fault.SERVER, i.Result.ERROR),
        ("22012", Fault.QUERY, i.Result.OK),
        ("42703", Fault.QUERY, i.Result.OK),
        ("23505", Fault.QUERY, i.Result.OK),
    ],
)
def test_errors_are_attributed_to_the_server_or_the_query(sqlstate, fault, result):
    assert outcomes.classify_error(sqlstate) == LeafError(fault, result)


def test_before_commit_every_result_means_that_nothing_ran():
    assert all(outcomes.result_before_commit(result) in i.NEVER_RAN for result in i.Result)
    assert outcomes.result_before_commit(i.Result.REJECTED) is i.Result.REJECTED


def test_errors_sent_to_clients_state_when_to_retry_and_whether_a_write_may_have_run():
    error = outcomes.rejection(300_001)
    assert (error.sqlstate, error.detail) == ("53000", "retry_after_ms=301")
    assert "301 ms" in error.hint
    assert outcomes.rejection(0).hint == ""
    assert (
        outcomes.failure(True, True).sqlstate == "08007"
        and outcomes.failure(True, False).sqlstate == "40003"
    )
    assert (
        outcomes.failure(True, True, may_have_run=False).sqlstate
        == "57014"
        == outcomes.failure(False, False).sqlstate
    )


CLASSES = {
    "search": ClassKind(False, False),
    "lookup": ClassKind(False, True),
    "hold": ClassKind(True, True),
}


def test_writes_never_use_a_class_for_reads_nor_reads_one_for_writes():
    assert request_classes.class_of(CLASSES, None, False) == "lookup"
    assert request_classes.class_of(CLASSES, "search", False) == "search"
    assert request_classes.class_of(CLASSES, "search", True) == "hold"
    assert request_classes.class_of(CLASSES, "hold", False) == "lookup"
    with pytest.raises(request_classes.UnknownClassError):
        request_classes.class_of(CLASSES, "nope", False)
    with pytest.raises(request_classes.UnknownClassError):
        request_classes.class_of({"hold": ClassKind(True, True)}, None, False)


def test_request_timeouts_and_part_weights():
    assert (
        request_classes.request_timeout_us(1000, 0) == 1000
        and request_classes.request_timeout_us(1000, 400) == 400
        and request_classes.request_timeout_us(1000, 4000) == 1000
    )
    assert request_classes.part_weights([1, 2, 3, 4]) == [0.25] * 4
    assert request_classes.part_weights([1, 2], {1: 3, 2: 1}.get) == [0.75, 0.25]
    assert sum(request_classes.part_weights(range(3), lambda s: 0)) == pytest.approx(1)


def test_cost_estimates_stay_near_the_lowest_latency_and_bounded():
    costs = request_classes.CostEstimator(max_estimates=6)
    assert costs.estimate_us("a", "k") is None
    costs.record("a", "k", 1000)
    for _ in range(20):
        costs.record("a", "k", 50_000)  # queueing does not count as work
    assert 1000 <= costs.estimate_us("a", "k") < 15_000
    for _ in range(8):
        costs.record("a", "k", 1000)
    assert costs.estimate_us("a", "k") < 1100
    assert costs.estimate_us("new", "k") == costs.estimate_us("a", "k")
    for n in range(50):
        costs.record(n, "k", 10)
    assert len(costs.estimates_us) == 6 and "k" in costs.estimates_us


def test_transactions_write_to_a_single_range():
    transaction = transactions.Transaction(max_entries=3)
    with pytest.raises(transactions.RequestRejectedError):
        transaction.add_savepoint("a")
    transaction.begin()
    transaction.check_write(4, False)
    transaction.buffer_write(BufferedWrite("w1", 1, None), 4, "holds")
    for shard, returning in ((5, False), (4, True)):
        with pytest.raises(transactions.RequestRejectedError):
            transaction.check_write(shard, returning)
    with pytest.raises(transactions.RequestRejectedError, match="holds"):
        transaction.check_read(["stock", "holds"])
    transaction.check_read(["stock"])
    transaction.add_savepoint("a")
    transaction.buffer_write(BufferedWrite("w2", 1, None), 4, "stock")
    transaction.mark_failed()
    with pytest.raises(transactions.RequestRejectedError):
        transaction.check_not_failed()
    transaction.rollback_to_savepoint("a")
    assert (
        transaction.status is transactions.Status.OPEN
        and len(transaction.writes) == 1
        and transaction.tables == {"holds"}
    )
    transaction.release_savepoint("a")
    with pytest.raises(transactions.RequestRejectedError, match="does not exist"):
        transaction.rollback_to_savepoint("a")
    transaction.buffer_write(BufferedWrite("w3", 1, None), 4, "stock")
    transaction.buffer_write(BufferedWrite("w4", 1, None), 4, "stock")
    with pytest.raises(transactions.RequestRejectedError, match="3 writes at most"):
        transaction.check_write(4, False)
    transaction.reset()
    assert (
        transaction.status is transactions.Status.IDLE
        and not transaction.writes
        and transaction.shard is None
    )
    transaction.begin(read_only=True)
    with pytest.raises(transactions.RequestRejectedError) as caught:
        transaction.check_write(4, False)
    assert caught.value.sqlstate == "25006"


def test_row_counts_must_equal_those_reported():
    assert transactions.counts_agree([1, None], [1, 7]) and not transactions.counts_agree(
        [1, 2], [1, 3]
    )


def test_roster_errors_name_the_leaf():
    good = [Leaf("a", "h:1", "z", 0), Leaf("b", "h:2", "z", 1, "draining")]
    assert endpoint_list.find_errors(good, 2) == []
    errors = endpoint_list.find_errors([*good, Leaf("a", "h:3", "z", 9, "odd", 0)], 2)
    assert len(errors) == 4 and all("'a'" in e for e in errors)


def test_an_empty_roster_does_not_remove_all_leaves():
    up = [Leaf("a", "h:1", "z", 0)]
    assert endpoint_list.removes_whole_fleet(up, []) and endpoint_list.removes_whole_fleet(
        up, [Leaf("a", "h:1", "z", 0, "removed")]
    )
    assert not endpoint_list.removes_whole_fleet(
        up, [Leaf("a", "h:1", "z", 0, "draining")]
    ) and not endpoint_list.removes_whole_fleet([], [])


def test_start_times_are_converted_to_the_roots_clock():
    leaves = [
        Leaf("old", "h:1", "z", 0, started=None),
        Leaf("new", "h:2", "z", 0, started=990.0),
        Leaf("future", "h:3", "z", 0, started=1010.0),
        Leaf("before", "h:4", "z", 0, started=1.0),
    ]
    found = {
        e.server: e.started_us
        for e in endpoint_list.watch_event(
            leaves, 1, 60_000_000, StartTimes(60_000_000, 1000.0)
        ).entries
    }
    assert found == {"old": 0, "new": 50_000_000, "future": 60_000_000, "before": 0}


def test_bench_day_is_converted_to_a_script():
    day = {
        "length": 40_000_000,
        "balancers": [0] * 9,
        "troubles": [
            {"kind": "slow", "at": 10_000_000, "len": 8_000_000, "size": 0.25, "extra": 6.0},
            {"kind": "burst", "at": 20_000_000, "len": 2_000_000, "size": 1.6, "extra": 0.4},
            {"kind": "answer_lost", "at": 30_000_000, "len": 90_000_000, "size": 0.5, "extra": 0.3},
            {"kind": "report_late", "at": 1, "len": 1},
            {"kind": "hang", "at": 50_000_000, "len": 1, "size": 0.1},
        ],
    }
    script, notes = scenario_from_bench_day(day, 20.0)
    assert [(t.kind, t.at, t.lasts) for t in script.troubles] == [
        ("slow", 5.0, 4.0),
        ("burst", 10.0, 1.0),
        ("lost_answers", 15.0, 5.0),
    ]
    assert (script.troubles[0].leaves, script.troubles[0].factor, script.troubles[1].factor) == (
        2,
        6.0,
        1.6,
    )
    assert script.troubles[2].share == 0.3 and script.roots == 3 and len(notes) == 2
    assert all(t.kind in FAULT_KINDS for t in script.troubles)
