"""What an answer says of its coverage: whole only if all is in, shares rounded down, reasons, and
what was really read.
"""

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
from tests.support.virtual_clock import play


def cover(*weights, missing=()):
    return Coverage(
        tuple(
            RangeCoverage(n, n, w, n not in missing, "" if n not in missing else "x")
            for n, w in enumerate(weights)
        )
    )


def test_share_is_one_only_if_every_piece_is_in():
    assert cover(0.5, 0.5).share == 1.0 and cover(0.5, 0.5).complete
    tiny = cover(1.0, 1e-300, missing=(1,))
    assert not tiny.complete and tiny.share < 1.0 and tiny.percent == 99
    assert cover(0.0, 0.0).complete and Coverage(()).complete


def test_exactly_eighty_percent_and_one_ulp_below():
    assert cover(0.8, 0.2, missing=(1,)).percent == 80
    below = math.nextafter(0.8, 0)
    assert cover(below, 1 - below, missing=(1,)).percent == 79
    assert (
        cover(*[0.2] * 5, missing=(4,)).percent == 80
        and cover(*[1 / 24] * 24, missing=range(5)).percent == 79
    )


def test_every_end_of_an_attempt_has_its_words_and_reasons_are_grouped():
    assert set(MISSING_REASONS) == {None, *Result}
    assert format_reasons(
        [
            RangeCoverage(0, 9, 1, False, "a"),
            RangeCoverage(10, 19, 1, False, "b"),
            RangeCoverage(20, 29, 1, False, "a"),
        ]
    ) == ("a: 0..9, 20..29; b: 10..19")


@pytest.mark.parametrize(
    "trouble, words",
    [
        ("hang", (IN_FLIGHT_REASON, MISSING_REASONS[Result.TIMEOUT])),
        ("stop", (MISSING_REASONS[Result.UNREACHABLE], MISSING_REASONS[Result.BROKEN])),
    ],
)
def test_partial_answer_names_ranges_reasons_and_leaves_as_they_were(trouble, words):
    async def test(world):
        c = await world.client()
        await c.query("SET mothnotch.class = 'stock-search'")
        whole = await c.query("SELECT bin FROM stock")
        assert not whole.notices
        rows = (await c.query("SELECT answered, why, leaf FROM mothnotch_coverage")).rows
        assert len(rows) == 24 and all(row[:2] == [b"t", None] for row in rows)
        for n in (0, 1):  # both holders of ranges 0, 8 and 16
            leaf = world.fleet.leaves[f"leaf-{n}"]
            if trouble == "hang":
                leaf.trouble.hang = True
            else:
                leaf.stop()
        await trio.sleep(0.1)
        at, seen = trio.current_time(), len(world.seen)
        reply = await c.query("SELECT bin FROM stock")
        took = trio.current_time() - at
        (notice,) = reply.notices
        assert "87% of the worth" in notice.text and any(word in notice.detail for word in words)
        rows = (await c.query("SELECT * FROM mothnotch_coverage")).rows
        missing = {int(row[0]) // 100 for row in rows if row[3] == b"f"}
        assert missing == {0, 8, 16} and all(
            row[4].decode() in words for row in rows if row[3] == b"f"
        )
        assert {int(row[0]) // 100 for row in reply.rows} == set(range(24)) - missing
        done = {(s.leaf, s.shard) for s in world.seen[seen:] if s.what == "done"}
        for row in rows:
            if row[3] == b"t":
                assert (row[5].decode(), int(row[0]) // 100) in done and 0 <= float(
                    row[6]
                ) <= 1000 * took
        assert sum(float(row[2]) for row in rows if row[3] == b"t") == pytest.approx(21 / 24)

    play(test)


def test_coverage_takes_columns_alone():
    async def test(world):
        c = await world.client()
        assert (await c.query("SELECT * FROM mothnotch_coverage")).rows == []
        assert (await c.query("SELECT nothing FROM mothnotch_coverage")).error.sqlstate == "42703"
        assert (
            await c.query("SELECT why FROM mothnotch_coverage WHERE answered")
        ).error.sqlstate == "0A000"

    play(test)
