"""The membership decisions: order, loss and repetition of answers; lives of the catalogue; shrunk
lists; flapping; starts.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mothnotch.decisions import interface as i
from mothnotch.decisions.leaf_membership.catalogue_answers import (
    CachedLeaf,
    CatalogueAnswer,
    Instance,
    LocalEvidence,
)
from mothnotch.decisions.leaf_membership.membership import LeafMembership
from mothnotch.decisions.leaf_membership.settings import MembershipSettings
from mothnotch.decisions.poll_policy import ANSWER_BURST, PollPolicy
from mothnotch.decisions.registration_policy import RegistrationPolicy, StepKind

S = 1_000_000
WALL = 1_800_000_000.0


def leaf(n, cell=None, checks=(), create=1, address=None, **meta):
    return Instance(
        f"node-{n}/leaf",
        address or f"10.0.0.{n}:5432",
        (),
        {"cell": str(n % 8 if cell is None else cell), **meta},
        (1, 1),
        checks,
        create,
    )


def fleet(*ns, **options):
    return tuple(leaf(n, **options) for n in ns)


def answer(index, instances, **options):
    return CatalogueAnswer(0, options.pop("requested_us", 0), index, tuple(instances), **options)


def member(**options):
    return LeafMembership(MembershipSettings(8, 2, **options))


def up(m):
    return sorted(int(e.server[5:].split("/")[0]) for e in m.entries() if e.state == "up")


ALL = fleet(*range(8))
MARKS = {
    "node maintenance": leaf(3, checks=(("_node_maintenance", "critical"),)),
    "service maintenance": leaf(3, checks=(("_service_maintenance:leaf", "critical"),)),
    "meta": leaf(3, state="draining"),
    "tag": Instance("node-3/leaf", "10.0.0.3:5432", ("draining",), {"cell": "3"}),
    "weight": Instance("node-3/leaf", "10.0.0.3:5432", (), {"cell": "3"}, (0, 0)),
}


def but(mark):
    return [mark if x.name == mark.name else x for x in ALL]


@pytest.mark.parametrize("mark", MARKS.values(), ids=MARKS)
def test_every_mark_of_a_drain_acts_at_once_and_only_newer_news_lifts_it(mark):
    m = member()
    m.on_answer(1, WALL, answer(10, ALL))
    m.on_answer(2, WALL, answer(11, but(mark)))
    assert up(m) == [0, 1, 2, 4, 5, 6, 7]
    m.on_answer(3, WALL, answer(10, ALL, last_contact_ms=9000))  # an agent that lags
    m.on_answer(4, WALL, answer(9, ALL))  # one that does not know that it does
    assert up(m) == [0, 1, 2, 4, 5, 6, 7] and m.doubt
    m.on_answer(5, WALL, answer(12, ALL))
    assert up(m) == list(range(8))


def test_marks_can_be_switched_off():
    m = member(drain_tags=frozenset(), drain_meta=(), drain_weight=False, drain_maintenance=False)
    for mark in MARKS.values():
        m.on_answer(1, WALL, answer(1, but(mark)))
        assert 3 in up(m)


def test_single_departure_acts_at_once_and_a_sharp_one_when_consistent_answers_agree():
    m = member()
    m.on_answer(1, WALL, answer(10, ALL))
    m.on_answer(2, WALL, answer(11, fleet(*range(7))))
    assert up(m) == list(range(7)) and not m.doubt
    m.on_answer(3, WALL, answer(12, fleet(0, 1, 2, 3)))
    assert up(m) == list(range(7)) and m.doubt
    assert not m.resolve_doubt(
        4, WALL, 4, [answer(12, fleet(0, 1, 2, 3))]
    )  # not consistent: settles nothing
    assert m.resolve_doubt(5, WALL, 4, [answer(12, fleet(0, 1, 2, 3), consistent=True)])
    assert up(m) == [0, 1, 2, 3] and not m.doubt


def test_departures_one_by_one_in_a_rush_are_doubted_too():
    m = member()
    m.on_answer(1, WALL, answer(10, ALL))
    for n in range(7, 0, -1):
        m.on_answer(20 - n, WALL, answer(20 - n, fleet(*range(n))))
    assert len(up(m)) >= 1 and 0 in up(m)
    m = member()
    m.on_answer(1, WALL, answer(10, ALL))
    m.on_answer(2, WALL, answer(11, fleet(*range(6))))
    m.on_answer(3, WALL, answer(12, fleet(*range(4))))
    assert up(m) == list(range(6)) and m.doubt


@pytest.mark.parametrize(
    "poor",
    [
        answer(11, ()),
        answer(11, fleet(0), filtered=True),
        answer(11, fleet(0), parse_errors=("x",)),
    ],
)
def test_answers_that_say_nothing_of_what_they_lack_take_nobody_away_even_when_confirmed(poor):
    m = member()
    m.on_answer(1, WALL, answer(10, ALL))
    m.on_answer(2, WALL, poor)
    assert up(m) == list(range(8))
    m.resolve_doubt(
        4,
        WALL,
        3,
        [
            CatalogueAnswer(
                0,
                3,
                11,
                poor.instances,
                True,
                filtered=poor.filtered,
                parse_errors=poor.parse_errors,
            )
        ],
    )
    assert up(m) == list(range(8))
    m.on_answer(5, WALL, answer(12, fleet(*range(7))))  # a sound one settles it
    assert up(m) == list(range(7))


def test_new_life_is_settled_by_consistent_answers_asked_for_later_and_holds_what_it_lacks():
    m = member()
    m.on_answer(1, WALL, answer(1000, but(MARKS["meta"])))
    m.on_answer(2, WALL, answer(5, ()))
    assert len(up(m)) == 7 and m.doubt
    assert not m.resolve_doubt(
        3, WALL, 1, [answer(5, (), consistent=True)]
    )  # asked for before: proves nothing
    assert not m.resolve_doubt(
        3, WALL, 3, [answer(5, (), consistent=True)], complete=False
    )  # others may know more
    assert m.resolve_doubt(4, WALL, 3, [answer(5, (), consistent=True)]) and m.incarnation == 1
    assert up(m) == [0, 1, 2, 4, 5, 6, 7]  # held as told last: what drained drains on
    m.on_answer(5, WALL, answer(6, fleet(0, create=6)))
    m.on_answer(6, WALL, answer(7, fleet(0, 1, create=6)))
    m.on_answer(7, WALL, answer(8, fleet(1, create=6)))  # what was named anew and goes is gone
    assert up(m) == [1, 2, 4, 5, 6, 7]
    m.on_answer(8, WALL, answer(999, ALL, known_leader=False))  # an agent still in the old life
    assert up(m) == [1, 2, 4, 5, 6, 7]


def test_an_agent_that_still_has_the_index_keeps_the_life():
    m = member()
    m.on_answer(1, WALL, answer(1000, ALL))
    m.on_answer(2, WALL, answer(5, ()))
    assert m.resolve_doubt(
        4,
        WALL,
        3,
        [answer(5, (), consistent=True), answer(1001, fleet(*range(7)), consistent=True)],
    )
    assert m.incarnation == 0 and up(m) == list(range(7))


def test_drain_named_by_what_may_be_a_new_life_acts_before_that_is_settled():
    m = member()
    m.on_answer(1, WALL, answer(1000, ALL))
    m.on_answer(2, WALL, answer(7, but(MARKS["meta"])))
    assert 3 not in up(m) and len(up(m)) == 7
    m.resolve_doubt(4, WALL, 3, [answer(1000, ALL, consistent=True)])
    assert up(m) == list(range(8))


def test_what_a_new_life_says_while_it_is_in_doubt_outlives_a_round_that_was_asked_before():
    m = member()
    m.on_answer(1, WALL, answer(1000, ALL))
    m.on_answer(2, WALL, answer(5, ()))  # a round is asked for now; one agent keeps it waiting
    m.on_answer(3, WALL, answer(20, but(MARKS["meta"])))
    m.on_answer(4, WALL, answer(21, [x for x in but(MARKS["meta"]) if x.name != "node-6/leaf"]))
    assert up(m) == [0, 1, 2, 4, 5, 7]
    assert m.resolve_doubt(6, WALL, 2, [answer(5, (), consistent=True)]) and m.incarnation == 1
    assert up(m) == [0, 1, 2, 4, 5, 7]
    m.on_answer(7, WALL, answer(22, [x for x in ALL if x.name != "node-6/leaf"]))
    assert up(m) == [0, 1, 2, 3, 4, 5, 7] and "node-6/leaf" not in m.members


def test_held_leaf_goes_when_own_connections_fail_too_or_its_time_is_over():
    m = member(hold_missing_us=100 * S)
    m.on_answer(1, WALL, answer(10, ALL))
    m.on_answer(2, WALL, answer(11, ()))
    own = {
        "node-1/leaf": LocalEvidence(None, 5 * S),
        "node-2/leaf": LocalEvidence(4 * S, 5 * S),
        "node-3/leaf": LocalEvidence(15 * S, 5 * S),
    }
    m.on_tick(8 * S, own)
    assert len(up(m)) == 8
    m.on_tick(15 * S, own)
    assert up(m) == [0, 3, 4, 5, 6, 7]
    m.on_tick(102 * S, own)
    assert up(m) == [3]  # heard of later than the others
    m.on_tick(116 * S, own)
    assert up(m) == []


def test_flapping_leaf_is_off_until_it_is_calm_and_a_single_failure_costs_nothing_after():
    sick = but(leaf(3, checks=(("c", "critical"),)))
    m = member()
    m.on_answer(0, WALL, answer(1, ALL))
    m.on_answer(S, WALL, answer(2, sick))
    assert 3 not in up(m)
    m.on_answer(2 * S, WALL, answer(3, ALL))
    assert 3 in up(m)
    for k in range(20):
        m.on_answer((3 + k) * S, WALL, answer(4 + k, sick if k % 2 == 0 else ALL))
        if k > 3:
            assert 3 not in up(m)
    m.on_tick(25 * S, {})
    assert 3 not in up(m)
    at = m.next_release_us()
    assert 23 * S < at < 90 * S
    m.on_tick(at, {})
    assert 3 in up(m) and m.next_release_us() is None


def test_health_takes_neither_most_of_the_list_nor_the_last_holder_of_a_range():
    m = member()
    m.on_answer(
        0,
        WALL,
        answer(1, [leaf(n, checks=(("c", "critical"),) if n < 5 else ()) for n in range(8)]),
    )
    assert up(m) == list(range(8))
    m.on_answer(
        1,
        WALL,
        answer(
            2, [leaf(n, checks=(("c", "critical"),) if n in (2, 3, 6) else ()) for n in range(8)]
        ),
    )
    assert up(m) == [0, 1, 2, 3, 4, 5, 7]
    m.on_answer(
        2,
        WALL,
        answer(
            3,
            [
                leaf(
                    n,
                    checks=(("c", "critical"),)
                    if n == 2
                    else (("_node_maintenance", "critical"),)
                    if n == 3
                    else (),
                )
                for n in range(8)
            ],
        ),
    )
    assert 3 not in up(m) and 2 in up(m)  # what drains is never brought back for that


def test_warning_uses_its_own_weight():
    warned = Instance(
        "node-3/leaf", "10.0.0.3:5432", (), {"cell": "3"}, (10, 2), (("c", "warning"),)
    )
    m = member()
    m.on_answer(0, WALL, answer(1, but(warned)))
    assert {e.weight for e in m.entries() if e.server == warned.name} == {2.0}


def test_starts_are_told_from_address_stated_start_and_registration_and_never_before_the_root_could_hear():
    def started(m, n):
        return next(e.started_us for e in m.entries() if e.server == f"node-{n}/leaf")

    m = member()
    m.on_answer(
        100 * S,
        WALL,
        answer(1, (leaf(0), leaf(1, started=str(WALL - 10)), leaf(2, started=str(WALL + 500)))),
    )
    assert (started(m, 0), started(m, 1), started(m, 2)) == (0, 92 * S, 100 * S)
    # Its clock an hour behind, a leaf states a start long ago: the root heard of it only now.
    m.on_answer(
        200 * S,
        WALL + 100,
        answer(2, (leaf(0, address="10.9.9.9:1"), leaf(1, started=str(WALL - 3600)), leaf(3))),
    )
    assert (started(m, 0), started(m, 1), started(m, 3)) == (200 * S, 200 * S, 200 * S)
    # The same again, told later by another wall clock, is the same process: nothing moves.
    m.on_answer(
        300 * S,
        WALL + 170,
        answer(3, (leaf(0, address="10.9.9.9:1"), leaf(1, started=str(WALL - 3600)), leaf(3))),
    )
    assert (started(m, 0), started(m, 1), started(m, 3)) == (200 * S, 200 * S, 200 * S)
    again = leaf(0, address="10.9.9.9:1", create=4)
    m.on_answer(301 * S, WALL + 201, answer(4, (again, leaf(1, started=str(WALL - 3600)), leaf(3))))
    assert started(m, 0) == 301 * S
    # After ten blind minutes a stated start within them is taken at its word.
    m.on_agent_failure(302 * S)
    m.on_answer(
        902 * S,
        WALL + 802,
        answer(5, (leaf(0, create=4), leaf(1, started=str(WALL + 502)), leaf(3))),
    )
    assert started(m, 1) == 604 * S


def test_agent_that_failed_before_the_first_list_makes_nobody_cold():
    m = member()
    m.on_agent_failure(1 * S)
    m.on_answer(2 * S, WALL, answer(1, ALL))
    assert {e.started_us for e in m.entries()} == {0}


def test_registration_in_a_new_life_is_not_a_new_process_by_itself():
    m = member()
    m.on_answer(1 * S, WALL, answer(50, ALL))
    m.on_answer(2 * S, WALL, answer(3, ()))
    m.resolve_doubt(4 * S, WALL, 3 * S, [answer(3, (), consistent=True)])
    m.on_answer(5 * S, WALL, answer(6, fleet(*range(8), create=6)))
    assert {e.started_us for e in m.entries()} == {0}


def test_instance_that_cannot_be_placed_is_left_out_and_still_drains():
    m = member()
    m.on_answer(0, WALL, answer(1, [*fleet(0, 1), leaf(2, cell=99), leaf(3, started="noon")]))
    assert up(m) == [0, 1] and len(m.log_events) == 2
    m.on_answer(1, WALL, answer(2, [leaf(0), leaf(1, cell="x", state="draining")]))
    assert up(m) == [0]


def test_list_on_disk_is_cached_until_an_agent_answers():
    m = member()
    held = [
        CachedLeaf("node-1/leaf", "10.0.0.1:5432", "z", 1, "up", 1.0, None),
        CachedLeaf("node-2/leaf", "x:1", "z", 2, "draining", 1.0, None),
    ]
    m.restore(held, 40, 0, WALL)
    assert m.kind is i.WatchEventKind.CACHED and up(m) == [1]
    m.on_answer(1, WALL, answer(30, ALL, known_leader=False))  # an agent behind the list held
    assert m.kind is i.WatchEventKind.CACHED and up(m) == [1]
    m.on_answer(2, WALL, answer(41, ALL))
    assert m.kind is i.WatchEventKind.SNAPSHOT and up(m) == list(range(8))


def test_starts_outlive_the_root_and_what_changed_while_it_was_down_is_cold():
    m = member()
    m.on_answer(100 * S, WALL, answer(1, ALL))
    m.on_answer(
        110 * S, WALL + 10, answer(2, [*ALL[1:], leaf(0, create=2)])
    )  # registered anew, states no start
    held = m.leaves_to_cache(115 * S, WALL + 15)
    again = member()
    again.restore(held, 2, 50 * S, WALL + 17)
    start = {e.server: e.started_us for e in again.entries()}
    assert (
        start["node-0/leaf"] == 45 * S and start["node-1/leaf"] == 0
    )  # 7 s ago, less what clocks may differ
    again.on_answer(51 * S, WALL + 18, answer(3, [*ALL[2:], leaf(0, create=2), leaf(1, create=3)]))
    start = {e.server: e.started_us for e in again.entries()}
    assert (start["node-0/leaf"], start["node-2/leaf"]) == (45 * S, 0) and start[
        "node-1/leaf"
    ] >= 50 * S


def histories(seed):
    """(answers of one life in order, truth): leaves come, drain, flap, go and return."""
    r = random.Random(seed)
    listed, out = {n: leaf(n) for n in range(8)}, []
    for index in range(10, 30):
        n = r.randrange(8)
        how = r.choice(["up", "drain", "go", "critical"])
        if how == "go" and len(listed) > 6:
            listed.pop(n, None)
        else:
            listed[n] = leaf(
                n,
                checks=(("c", "critical"),) if how == "critical" else (),
                create=index,
                **({"state": "draining"} if how == "drain" else {}),
            )
        out.append(answer(index, listed.values()))
    return out, listed


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 10_000), st.randoms(use_true_random=False))
def test_any_order_loss_and_repetition_of_answers_converges_to_the_truth_and_never_marks_up_what_drains(
    seed, r
):
    answers, truth = histories(seed)
    heard = [a for a in answers[:-1] if r.random() < 0.7] * 2
    r.shuffle(heard)
    heard.insert(r.randrange(len(heard) + 1), answers[-1])
    m, newest, now = member(), None, 0
    for a in heard:
        now += S // 10
        m.on_answer(now, WALL + now / S, a)
        if newest is None or a.index > newest.index:
            newest = a
        draining = {x.name for x in newest.instances if x.meta.get("state") == "draining"}
        assert not draining & {e.server for e in m.entries() if e.state == "up"}
        if r.random() < 0.3 and m.doubt:
            m.resolve_doubt(
                now, WALL, now, [CatalogueAnswer(0, now, newest.index, newest.instances, True)]
            )
    if m.doubt:
        m.resolve_doubt(
            now,
            WALL,
            now,
            [CatalogueAnswer(0, now, answers[-1].index, answers[-1].instances, True)],
        )
    m.on_tick(now + 3600 * S, {})
    names = {x.name for x in truth.values()}
    assert {e.server for e in m.entries()} == names
    sick = {x.name for x in truth.values() if x.checks}
    draining = {x.name for x in truth.values() if x.meta.get("state") == "draining"}
    ups = {e.server for e in m.entries() if e.state == "up"}
    assert ups >= names - sick - draining and not ups & draining


def test_polling_starts_anew_when_the_index_goes_back_and_turns_to_the_next_agent_on_failure():
    p = PollPolicy(2, 3, 10, lambda: 0.5)
    q = p.next_poll(0)
    assert (q.agent, q.index, q.timeout_s) == (1, 0, 2.0)
    p.on_answer(0, 7)
    q = p.next_poll(0)
    assert q.index == 7 and 7.5 <= q.wait_s <= 10 and q.timeout_s > q.wait_s * 17 / 16
    p.on_answer(1, 5)
    q = p.next_poll(1)
    assert q.index == 0 and q.delay_s > 0
    p.on_failure(2, retry_after_s=4)
    assert not p.all_agents_failed and p.next_poll(2).agent == 0
    p.on_failure(2)
    assert p.next_poll(2).timeout_s == 4.0  # all have failed: more patience
    assert (
        p.all_agents_failed
        and p.next_poll(2).agent == 1
        and p.next_poll(2).delay_s == pytest.approx(4)
    )
    p.on_answer(7, 0)
    assert p.next_poll(7).index == 0 and not p.all_agents_failed


def test_polling_of_a_catalogue_in_uproar_is_bounded():
    p, now, asked = PollPolicy(1, 0, 10, lambda: 0.5), 0.0, 0
    while now < 10:
        now += p.next_poll(now).delay_s + 0.001
        p.on_answer(now, asked + 1)
        asked += 1
    assert asked <= ANSWER_BURST + 10 * 10 + 2


def test_registration_beats_comes_again_where_it_was_forgotten_and_moves_when_its_agent_fails():
    r = RegistrationPolicy(2, 0, 15, lambda: 0.5)
    step = r.next_step()
    assert (step.kind, step.agent, step.delay_s) == (StepKind.REGISTER, 0, 0)
    r.on_success(step)
    step = r.next_step()
    assert step.kind is StepKind.HEARTBEAT and 3 <= step.delay_s <= 5
    r.on_failure(10, step, lost=True)
    assert (
        r.next_step().kind is StepKind.REGISTER
        and r.next_step().agent == 0
        and r.next_step().delay_s == 0
    )
    r.on_success(r.next_step())
    for now in (20, 30, 36):
        r.on_failure(now, r.next_step())
    step = r.next_step()
    assert (step.kind, step.agent) == (StepKind.REGISTER, 1) and step.delay_s > 0
    r.on_success(step)
    assert [s.agent for s in r.shutdown_steps()] == [0, 1]
