"""Coverage of answers: completeness, rounding of shares, reasons and the ranges actually read."""

import math

import pytest
import trio

from mothnotch.decisions.coverage import (
    IN_FLIGHT_REASON,
    MISSING_REASONS,
    Coverage,
    RangeCoverage,
    format_reasons,
)
from mothnotch.decisions.interface import Result
from tests.support.virtual_clock import run_in_world


def coverage_of(*weights, missing=()):
    return Coverage(
        tuple(
            RangeCoverage(n, n, weight, n not in missing, "" if n not in missing else "x")
            for n, weight in enumerate(weights)
        )
    )


def test_share_is_one_only_if_every_range_is_answered():
    assert coverage_of(0.5, 0.5).share == 1.0 and coverage_of(0.5, 0.5).complete
    tiny = coverage_of(1.0, 1e-300, missing=(1,))
    assert not tiny.complete and tiny.share < 1.0 and tiny.percent == 99
    assert coverage_of(0.0, 0.0).complete and Coverage(()).complete


def test_percent_is_80_at_exactly_80_and_79_one_ulp_below():
    assert coverage_of(0.8, 0.2, missing=(1,)).percent == 80
    below = math.nextafter(0.8, 0)
    assert coverage_of(below, 1 - below, missing=(1,)).percent == 79
    assert (
        coverage_of(*[0.2] * 5, missing=(4,)).percent == 80
        and coverage_of(*[1 / 24] * 24, missing=range(5)).percent == 79
    )


def test_every_attempt_result_has_a_reason_and_reasons_are_grouped():
    assert set(MISSING_REASONS) == {None, *Result}
    assert format_reasons(
        [
            RangeCoverage(0, 9, 1, False, "a"),
            RangeCoverage(10, 19, 1, False, "b"),
            RangeCoverage(20, 29, 1, False, "a"),
        ]
    ) == ("a: 0..9, 20..29; b: 10..19")


@pytest.mark.parametrize(
    "trouble, expected_reasons",
    [
        ("hang", (IN_FLIGHT_REASON, MISSING_REASONS[Result.TIMEOUT])),
        ("stop", (MISSING_REASONS[Result.UNREACHABLE], MISSING_REASONS[Result.BROKEN])),
    ],
)
def test_partial_answer_reports_actual_ranges_reasons_and_leaves(trouble, expected_reasons):
    async def test(world):
        client = await world.client()
        await client.query("SET mothnotch.class = 'stock-search'")
        complete = await client.query("SELECT bin FROM stock")
        assert not complete.notices
        rows = (await client.query("SELECT answered, why, leaf FROM mothnotch_coverage")).rows
        assert len(rows) == 24 and all(row[:2] == [b"t", None] for row in rows)
        for n in (0, 1):  # all holders of ranges 0, 8 and 16
            leaf = world.fleet.leaves[f"leaf-{n}"]
            if trouble == "hang":
                leaf.faults.hang = True
            else:
                leaf.stop()
        await trio.sleep(0.1)
        started_s, seen_count = trio.current_time(), len(world.leaf_events)
        reply = await client.query("SELECT bin FROM stock")
        elapsed_s = trio.current_time() - started_s
        (notice,) = reply.notices
        assert "87% of the worth" in notice.text and any(
            reason in notice.detail for reason in expected_reasons
        )
        rows = (await client.query("SELECT * FROM mothnotch_coverage")).rows
        missing = {int(row[0]) // 100 for row in rows if row[3] == b"f"}
        assert missing == {0, 8, 16} and all(
            row[4].decode() in expected_reasons for row in rows if row[3] == b"f"
        )
        assert {int(row[0]) // 100 for row in reply.rows} == set(range(24)) - missing
        done = {
            (event.leaf, event.shard)
            for event in world.leaf_events[seen_count:]
            if event.what == "done"
        }
        for row in rows:
            if row[3] == b"t":
                assert (row[5].decode(), int(row[0]) // 100) in done and 0 <= float(
                    row[6]
                ) <= 1000 * elapsed_s
        assert sum(float(row[2]) for row in rows if row[3] == b"t") == pytest.approx(21 / 24)

    run_in_world(test)


def test_coverage_table_supports_only_plain_columns():
    async def test(world):
        client = await world.client()
        assert (await client.query("SELECT * FROM mothnotch_coverage")).rows == []
        assert (
            await client.query("SELECT nothing FROM mothnotch_coverage")
        ).error.sqlstate == "42703"
        assert (
            await client.query("SELECT why FROM mothnotch_coverage WHERE answered")
        ).error.sqlstate == "0A000"

    run_in_world(test)
