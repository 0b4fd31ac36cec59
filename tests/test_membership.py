"""Tests of the leaf membership, the poll policy and the registration policy.

They cover reordered, lost and repeated answers, new incarnations of the catalogue, mass departures,
flapping and start times.
"""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from mothnotch.decisions import interface
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

SECOND_US = 1_000_000
WALL_S = 1_800_000_000.0


def make_instance(number, cell=None, checks=(), create=1, address=None, **meta):
    return Instance(
        f"node-{number}/leaf",
        address or f"10.0.0.{number}:5432",
        (),
        {"cell": str(number % 8 if cell is None else cell), **meta},
        (1, 1),
        checks,
        create,
    )


def make_instances(*numbers, **options):
    return tuple(make_instance(number, **options) for number in numbers)


def make_answer(index, instances, **options):
    return CatalogueAnswer(0, options.pop("requested_us", 0), index, tuple(instances), **options)


def make_membership(**options):
    return LeafMembership(MembershipSettings(8, 2, **options))


def up_numbers(membership):
    return sorted(
        int(entry.server[5:].split("/")[0]) for entry in membership.entries() if entry.state == "up"
    )


ALL_INSTANCES = make_instances(*range(8))
DRAIN_MARKS = {
    "node maintenance": make_instance(3, checks=(("_node_maintenance", "critical"),)),
    "service maintenance": make_instance(3, checks=(("_service_maintenance:leaf", "critical"),)),
    "meta": make_instance(3, state="draining"),
    "tag": Instance("node-3/leaf", "10.0.0.3:5432", ("draining",), {"cell": "3"}),
    "weight": Instance("node-3/leaf", "10.0.0.3:5432", (), {"cell": "3"}, (0, 0)),
}


def with_replaced(replacement):
    return [
        replacement if instance.name == replacement.name else instance for instance in ALL_INSTANCES
    ]


@pytest.mark.parametrize("marked_instance", DRAIN_MARKS.values(), ids=DRAIN_MARKS)
def test_drain_mark_applies_at_once_and_only_a_newer_answer_removes_it(marked_instance):
    membership = make_membership()
    membership.on_answer(1, WALL_S, make_answer(10, ALL_INSTANCES))
    membership.on_answer(2, WALL_S, make_answer(11, with_replaced(marked_instance)))
    assert up_numbers(membership) == [0, 1, 2, 4, 5, 6, 7]
    # An agent that lags and reports it, then one that lags without knowing.
    membership.on_answer(3, WALL_S, make_answer(10, ALL_INSTANCES, last_contact_ms=9000))
    membership.on_answer(4, WALL_S, make_answer(9, ALL_INSTANCES))
    assert up_numbers(membership) == [0, 1, 2, 4, 5, 6, 7] and membership.doubt
    membership.on_answer(5, WALL_S, make_answer(12, ALL_INSTANCES))
    assert up_numbers(membership) == list(range(8))


def test_drain_marks_can_be_disabled():
    membership = make_membership(
        drain_tags=frozenset(), drain_meta=(), drain_weight=False, drain_maintenance=False
    )
    for marked_instance in DRAIN_MARKS.values():
        membership.on_answer(1, WALL_S, make_answer(1, with_replaced(marked_instance)))
        assert 3 in up_numbers(membership)


def test_single_departure_applies_at_once_and_a_mass_departure_needs_a_consistent_answer():
    membership = make_membership()
    membership.on_answer(1, WALL_S, make_answer(10, ALL_INSTANCES))
    membership.on_answer(2, WALL_S, make_answer(11, make_instances(*range(7))))
    assert up_numbers(membership) == list(range(7)) and not membership.doubt
    membership.on_answer(3, WALL_S, make_answer(12, make_instances(0, 1, 2, 3)))
    assert up_numbers(membership) == list(range(7)) and membership.doubt
    # An answer that is not consistent does not resolve the doubt.
    assert not membership.resolve_doubt(4, WALL_S, 4, [make_answer(12, make_instances(0, 1, 2, 3))])
    assert membership.resolve_doubt(
        5, WALL_S, 4, [make_answer(12, make_instances(0, 1, 2, 3), consistent=True)]
    )
    assert up_numbers(membership) == [0, 1, 2, 3] and not membership.doubt


def test_rapid_departures_one_by_one_are_doubted():
    membership = make_membership()
    membership.on_answer(1, WALL_S, make_answer(10, ALL_INSTANCES))
    for count in range(7, 0, -1):
        membership.on_answer(
            20 - count, WALL_S, make_answer(20 - count, make_instances(*range(count)))
        )
    assert len(up_numbers(membership)) >= 1 and 0 in up_numbers(membership)
    membership = make_membership()
    membership.on_answer(1, WALL_S, make_answer(10, ALL_INSTANCES))
    membership.on_answer(2, WALL_S, make_answer(11, make_instances(*range(6))))
    membership.on_answer(3, WALL_S, make_answer(12, make_instances(*range(4))))
    assert up_numbers(membership) == list(range(6)) and membership.doubt


@pytest.mark.parametrize(
    "incomplete",
    [
        make_answer(11, ()),
        make_answer(11, make_instances(0), filtered=True),
        make_answer(11, make_instances(0), parse_errors=("x",)),
    ],
)
def test_incomplete_answer_removes_no_leaf_even_if_consistent(incomplete):
    membership = make_membership()
    membership.on_answer(1, WALL_S, make_answer(10, ALL_INSTANCES))
    membership.on_answer(2, WALL_S, incomplete)
    assert up_numbers(membership) == list(range(8))
    membership.resolve_doubt(
        4,
        WALL_S,
        3,
        [
            CatalogueAnswer(
                0,
                3,
                11,
                incomplete.instances,
                True,
                filtered=incomplete.filtered,
                parse_errors=incomplete.parse_errors,
            )
        ],
    )
    assert up_numbers(membership) == list(range(8))
    # A complete answer removes the leaf that it does not list.
    membership.on_answer(5, WALL_S, make_answer(12, make_instances(*range(7))))
    assert up_numbers(membership) == list(range(7))


def test_new_incarnation_needs_consistent_answers_requested_later_and_keeps_missing_leaves():
    membership = make_membership()
    membership.on_answer(1, WALL_S, make_answer(1000, with_replaced(DRAIN_MARKS["meta"])))
    membership.on_answer(2, WALL_S, make_answer(5, ()))
    assert len(up_numbers(membership)) == 7 and membership.doubt
    # An answer requested before the higher index was seen proves nothing.
    assert not membership.resolve_doubt(3, WALL_S, 1, [make_answer(5, (), consistent=True)])
    # Nor does one answer while another agent may still have the higher index.
    assert not membership.resolve_doubt(
        3, WALL_S, 3, [make_answer(5, (), consistent=True)], complete=False
    )
    assert (
        membership.resolve_doubt(4, WALL_S, 3, [make_answer(5, (), consistent=True)])
        and membership.incarnation == 1
    )
    # Missing leaves keep their last state: the draining one is still draining.
    assert up_numbers(membership) == [0, 1, 2, 4, 5, 6, 7]
    membership.on_answer(5, WALL_S, make_answer(6, make_instances(0, create=6)))
    membership.on_answer(6, WALL_S, make_answer(7, make_instances(0, 1, create=6)))
    # A leaf that the new incarnation has listed is removed once it no longer lists it.
    membership.on_answer(7, WALL_S, make_answer(8, make_instances(1, create=6)))
    assert up_numbers(membership) == [1, 2, 4, 5, 6, 7]
    # A stale agent still answers from the old incarnation.
    membership.on_answer(8, WALL_S, make_answer(999, ALL_INSTANCES, known_leader=False))
    assert up_numbers(membership) == [1, 2, 4, 5, 6, 7]


def test_incarnation_is_kept_while_an_agent_still_has_the_index():
    membership = make_membership()
    membership.on_answer(1, WALL_S, make_answer(1000, ALL_INSTANCES))
    membership.on_answer(2, WALL_S, make_answer(5, ()))
    assert membership.resolve_doubt(
        4,
        WALL_S,
        3,
        [
            make_answer(5, (), consistent=True),
            make_answer(1001, make_instances(*range(7)), consistent=True),
        ],
    )
    assert membership.incarnation == 0 and up_numbers(membership) == list(range(7))


def test_drain_in_a_possible_new_incarnation_applies_before_the_doubt_is_resolved():
    membership = make_membership()
    membership.on_answer(1, WALL_S, make_answer(1000, ALL_INSTANCES))
    membership.on_answer(2, WALL_S, make_answer(7, with_replaced(DRAIN_MARKS["meta"])))
    assert 3 not in up_numbers(membership) and len(up_numbers(membership)) == 7
    membership.resolve_doubt(4, WALL_S, 3, [make_answer(1000, ALL_INSTANCES, consistent=True)])
    assert up_numbers(membership) == list(range(8))


def test_drains_and_departures_seen_during_a_doubt_survive_a_round_requested_earlier():
    membership = make_membership()
    membership.on_answer(1, WALL_S, make_answer(1000, ALL_INSTANCES))
    # A round of consistent queries is sent now; one agent delays its end.
    membership.on_answer(2, WALL_S, make_answer(5, ()))
    membership.on_answer(3, WALL_S, make_answer(20, with_replaced(DRAIN_MARKS["meta"])))
    membership.on_answer(
        4,
        WALL_S,
        make_answer(
            21,
            [
                instance
                for instance in with_replaced(DRAIN_MARKS["meta"])
                if instance.name != "node-6/leaf"
            ],
        ),
    )
    assert up_numbers(membership) == [0, 1, 2, 4, 5, 7]
    assert (
        membership.resolve_doubt(6, WALL_S, 2, [make_answer(5, (), consistent=True)])
        and membership.incarnation == 1
    )
    assert up_numbers(membership) == [0, 1, 2, 4, 5, 7]
    membership.on_answer(
        7,
        WALL_S,
        make_answer(22, [instance for instance in ALL_INSTANCES if instance.name != "node-6/leaf"]),
    )
    assert (
        up_numbers(membership) == [0, 1, 2, 3, 4, 5, 7] and "node-6/leaf" not in membership.members
    )


def test_missing_leaf_is_removed_when_its_connections_fail_or_the_hold_time_ends():
    membership = make_membership(hold_missing_us=100 * SECOND_US)
    membership.on_answer(1, WALL_S, make_answer(10, ALL_INSTANCES))
    membership.on_answer(2, WALL_S, make_answer(11, ()))
    evidence = {
        "node-1/leaf": LocalEvidence(None, 5 * SECOND_US),
        "node-2/leaf": LocalEvidence(4 * SECOND_US, 5 * SECOND_US),
        "node-3/leaf": LocalEvidence(15 * SECOND_US, 5 * SECOND_US),
    }
    membership.on_tick(8 * SECOND_US, evidence)
    assert len(up_numbers(membership)) == 8
    membership.on_tick(15 * SECOND_US, evidence)
    assert up_numbers(membership) == [0, 3, 4, 5, 6, 7]
    membership.on_tick(102 * SECOND_US, evidence)
    assert up_numbers(membership) == [3]  # heard from later than the others
    membership.on_tick(116 * SECOND_US, evidence)
    assert up_numbers(membership) == []


def test_flapping_leaf_is_suppressed_until_stable_and_a_single_failure_is_not():
    critical = with_replaced(make_instance(3, checks=(("c", "critical"),)))
    membership = make_membership()
    membership.on_answer(0, WALL_S, make_answer(1, ALL_INSTANCES))
    membership.on_answer(SECOND_US, WALL_S, make_answer(2, critical))
    assert 3 not in up_numbers(membership)
    membership.on_answer(2 * SECOND_US, WALL_S, make_answer(3, ALL_INSTANCES))
    assert 3 in up_numbers(membership)
    for step in range(20):
        membership.on_answer(
            (3 + step) * SECOND_US,
            WALL_S,
            make_answer(4 + step, critical if step % 2 == 0 else ALL_INSTANCES),
        )
        if step > 3:
            assert 3 not in up_numbers(membership)
    membership.on_tick(25 * SECOND_US, {})
    assert 3 not in up_numbers(membership)
    release_us = membership.next_release_us()
    assert 23 * SECOND_US < release_us < 90 * SECOND_US
    membership.on_tick(release_us, {})
    assert 3 in up_numbers(membership) and membership.next_release_us() is None


def test_health_takes_out_neither_most_leaves_nor_the_last_replica_of_a_range():
    membership = make_membership()
    membership.on_answer(
        0,
        WALL_S,
        make_answer(
            1,
            [
                make_instance(number, checks=(("c", "critical"),) if number < 5 else ())
                for number in range(8)
            ],
        ),
    )
    assert up_numbers(membership) == list(range(8))
    membership.on_answer(
        1,
        WALL_S,
        make_answer(
            2,
            [
                make_instance(number, checks=(("c", "critical"),) if number in (2, 3, 6) else ())
                for number in range(8)
            ],
        ),
    )
    assert up_numbers(membership) == [0, 1, 2, 3, 4, 5, 7]
    membership.on_answer(
        2,
        WALL_S,
        make_answer(
            3,
            [
                make_instance(
                    number,
                    checks=(("c", "critical"),)
                    if number == 2
                    else (("_node_maintenance", "critical"),)
                    if number == 3
                    else (),
                )
                for number in range(8)
            ],
        ),
    )
    # A draining leaf is not used even to keep a range served.
    assert 3 not in up_numbers(membership) and 2 in up_numbers(membership)


def test_instance_with_a_warning_uses_its_warning_weight():
    warning_instance = Instance(
        "node-3/leaf", "10.0.0.3:5432", (), {"cell": "3"}, (10, 2), (("c", "warning"),)
    )
    membership = make_membership()
    membership.on_answer(0, WALL_S, make_answer(1, with_replaced(warning_instance)))
    assert {
        entry.weight for entry in membership.entries() if entry.server == warning_instance.name
    } == {2.0}


def test_new_process_is_detected_and_its_start_is_not_before_the_root_could_be_notified():
    def started_us(membership, number):
        return next(
            entry.started_us
            for entry in membership.entries()
            if entry.server == f"node-{number}/leaf"
        )

    membership = make_membership()
    membership.on_answer(
        100 * SECOND_US,
        WALL_S,
        make_answer(
            1,
            (
                make_instance(0),
                make_instance(1, started=str(WALL_S - 10)),
                make_instance(2, started=str(WALL_S + 500)),
            ),
        ),
    )
    assert (started_us(membership, 0), started_us(membership, 1), started_us(membership, 2)) == (
        0,
        92 * SECOND_US,
        100 * SECOND_US,
    )
    # The leaf's clock is an hour behind, so it states an old start; the root was notified only now.
    membership.on_answer(
        200 * SECOND_US,
        WALL_S + 100,
        make_answer(
            2,
            (
                make_instance(0, address="10.9.9.9:1"),
                make_instance(1, started=str(WALL_S - 3600)),
                make_instance(3),
            ),
        ),
    )
    assert (started_us(membership, 0), started_us(membership, 1), started_us(membership, 3)) == (
        200 * SECOND_US,
        200 * SECOND_US,
        200 * SECOND_US,
    )
    # The same instances again are the same processes, though the root's wall clock was adjusted.
    membership.on_answer(
        300 * SECOND_US,
        WALL_S + 170,
        make_answer(
            3,
            (
                make_instance(0, address="10.9.9.9:1"),
                make_instance(1, started=str(WALL_S - 3600)),
                make_instance(3),
            ),
        ),
    )
    assert (started_us(membership, 0), started_us(membership, 1), started_us(membership, 3)) == (
        200 * SECOND_US,
        200 * SECOND_US,
        200 * SECOND_US,
    )
    registered_again = make_instance(0, address="10.9.9.9:1", create=4)
    membership.on_answer(
        301 * SECOND_US,
        WALL_S + 201,
        make_answer(
            4, (registered_again, make_instance(1, started=str(WALL_S - 3600)), make_instance(3))
        ),
    )
    assert started_us(membership, 0) == 301 * SECOND_US
    # The root was not notified for ten minutes, so a stated start within them is accepted.
    membership.on_agent_failure(302 * SECOND_US)
    membership.on_answer(
        902 * SECOND_US,
        WALL_S + 802,
        make_answer(
            5,
            (
                make_instance(0, create=4),
                make_instance(1, started=str(WALL_S + 502)),
                make_instance(3),
            ),
        ),
    )
    assert started_us(membership, 1) == 604 * SECOND_US


def test_agent_failure_before_the_first_list_makes_no_leaf_cold():
    membership = make_membership()
    membership.on_agent_failure(1 * SECOND_US)
    membership.on_answer(2 * SECOND_US, WALL_S, make_answer(1, ALL_INSTANCES))
    assert {entry.started_us for entry in membership.entries()} == {0}


def test_registration_in_a_new_incarnation_is_not_by_itself_a_new_process():
    membership = make_membership()
    membership.on_answer(1 * SECOND_US, WALL_S, make_answer(50, ALL_INSTANCES))
    membership.on_answer(2 * SECOND_US, WALL_S, make_answer(3, ()))
    membership.resolve_doubt(
        4 * SECOND_US, WALL_S, 3 * SECOND_US, [make_answer(3, (), consistent=True)]
    )
    membership.on_answer(5 * SECOND_US, WALL_S, make_answer(6, make_instances(*range(8), create=6)))
    assert {entry.started_us for entry in membership.entries()} == {0}


def test_instance_with_invalid_metadata_is_not_added_but_still_drains():
    membership = make_membership()
    membership.on_answer(
        0,
        WALL_S,
        make_answer(
            1, [*make_instances(0, 1), make_instance(2, cell=99), make_instance(3, started="noon")]
        ),
    )
    assert up_numbers(membership) == [0, 1] and len(membership.log_events) == 2
    membership.on_answer(
        1, WALL_S, make_answer(2, [make_instance(0), make_instance(1, cell="x", state="draining")])
    )
    assert up_numbers(membership) == [0]


def test_restored_list_is_marked_as_cached_until_an_agent_answers():
    membership = make_membership()
    cached_leaves = [
        CachedLeaf("node-1/leaf", "10.0.0.1:5432", "z", 1, "up", 1.0, None),
        CachedLeaf("node-2/leaf", "x:1", "z", 2, "draining", 1.0, None),
    ]
    membership.restore(cached_leaves, 40, 0, WALL_S)
    assert membership.kind is interface.WatchEventKind.CACHED and up_numbers(membership) == [1]
    # An agent that is behind the restored list.
    membership.on_answer(1, WALL_S, make_answer(30, ALL_INSTANCES, known_leader=False))
    assert membership.kind is interface.WatchEventKind.CACHED and up_numbers(membership) == [1]
    membership.on_answer(2, WALL_S, make_answer(41, ALL_INSTANCES))
    assert membership.kind is interface.WatchEventKind.SNAPSHOT and up_numbers(membership) == list(
        range(8)
    )


def test_starts_survive_a_restart_and_processes_that_changed_meanwhile_are_cold():
    membership = make_membership()
    membership.on_answer(100 * SECOND_US, WALL_S, make_answer(1, ALL_INSTANCES))
    # The leaf is registered again and states no start.
    membership.on_answer(
        110 * SECOND_US,
        WALL_S + 10,
        make_answer(2, [*ALL_INSTANCES[1:], make_instance(0, create=2)]),
    )
    cached_leaves = membership.leaves_to_cache(115 * SECOND_US, WALL_S + 15)
    restored = make_membership()
    restored.restore(cached_leaves, 2, 50 * SECOND_US, WALL_S + 17)
    started_us = {entry.server: entry.started_us for entry in restored.entries()}
    # The start was 7 s ago, less the 2 s by which clocks may differ.
    assert started_us["node-0/leaf"] == 45 * SECOND_US and started_us["node-1/leaf"] == 0
    restored.on_answer(
        51 * SECOND_US,
        WALL_S + 18,
        make_answer(
            3, [*ALL_INSTANCES[2:], make_instance(0, create=2), make_instance(1, create=3)]
        ),
    )
    started_us = {entry.server: entry.started_us for entry in restored.entries()}
    assert (started_us["node-0/leaf"], started_us["node-2/leaf"]) == (
        45 * SECOND_US,
        0,
    ) and started_us["node-1/leaf"] >= 50 * SECOND_US


def random_history(seed):
    """Return the answers of one incarnation in order, and the instances listed at its end."""
    rng = random.Random(seed)
    listed, answers = {number: make_instance(number) for number in range(8)}, []
    for index in range(10, 30):
        number = rng.randrange(8)
        change = rng.choice(["up", "drain", "go", "critical"])
        if change == "go" and len(listed) > 6:
            listed.pop(number, None)
        else:
            listed[number] = make_instance(
                number,
                checks=(("c", "critical"),) if change == "critical" else (),
                create=index,
                **({"state": "draining"} if change == "drain" else {}),
            )
        answers.append(make_answer(index, listed.values()))
    return answers, listed


@settings(max_examples=150, deadline=None)
@given(st.integers(0, 10_000), st.randoms(use_true_random=False))
def test_lost_repeated_or_reordered_answers_converge_and_never_undo_a_drain(seed, rng):
    answers, listed = random_history(seed)
    received = [answer for answer in answers[:-1] if rng.random() < 0.7] * 2
    rng.shuffle(received)
    received.insert(rng.randrange(len(received) + 1), answers[-1])
    membership, newest, now = make_membership(), None, 0
    for answer in received:
        now += SECOND_US // 10
        membership.on_answer(now, WALL_S + now / SECOND_US, answer)
        if newest is None or answer.index > newest.index:
            newest = answer
        draining = {
            instance.name
            for instance in newest.instances
            if instance.meta.get("state") == "draining"
        }
        assert not draining & {
            entry.server for entry in membership.entries() if entry.state == "up"
        }
        if rng.random() < 0.3 and membership.doubt:
            membership.resolve_doubt(
                now, WALL_S, now, [CatalogueAnswer(0, now, newest.index, newest.instances, True)]
            )
    if membership.doubt:
        membership.resolve_doubt(
            now,
            WALL_S,
            now,
            [CatalogueAnswer(0, now, answers[-1].index, answers[-1].instances, True)],
        )
    membership.on_tick(now + 3600 * SECOND_US, {})
    names = {instance.name for instance in listed.values()}
    assert {entry.server for entry in membership.entries()} == names
    critical = {instance.name for instance in listed.values() if instance.checks}
    draining = {
        instance.name for instance in listed.values() if instance.meta.get("state") == "draining"
    }
    up_names = {entry.server for entry in membership.entries() if entry.state == "up"}
    assert up_names >= names - critical - draining and not up_names & draining


def test_polling_restarts_at_a_lower_index_and_moves_to_the_next_agent_on_failure():
    policy = PollPolicy(2, 3, 10, lambda: 0.5)
    poll = policy.next_poll(0)
    assert (poll.agent, poll.index, poll.timeout_s) == (1, 0, 2.0)
    policy.on_answer(0, 7)
    poll = policy.next_poll(0)
    assert poll.index == 7 and 7.5 <= poll.wait_s <= 10 and poll.timeout_s > poll.wait_s * 17 / 16
    policy.on_answer(1, 5)
    poll = policy.next_poll(1)
    assert poll.index == 0 and poll.delay_s > 0
    policy.on_failure(2, retry_after_s=4)
    assert not policy.all_agents_failed and policy.next_poll(2).agent == 0
    policy.on_failure(2)
    assert policy.next_poll(2).timeout_s == 4.0  # longer, as every agent has failed
    assert (
        policy.all_agents_failed
        and policy.next_poll(2).agent == 1
        and policy.next_poll(2).delay_s == pytest.approx(4)
    )
    policy.on_answer(7, 0)
    assert policy.next_poll(7).index == 0 and not policy.all_agents_failed


def test_polling_rate_is_bounded_while_the_catalogue_changes_constantly():
    policy, now, poll_count = PollPolicy(1, 0, 10, lambda: 0.5), 0.0, 0
    while now < 10:
        now += policy.next_poll(now).delay_s + 0.001
        policy.on_answer(now, poll_count + 1)
        poll_count += 1
    assert poll_count <= ANSWER_BURST + 10 * 10 + 2


def test_registration_sends_heartbeats_is_repeated_when_lost_and_moves_when_its_agent_fails():
    policy = RegistrationPolicy(2, 0, 15, lambda: 0.5)
    step = policy.next_step()
    assert (step.kind, step.agent, step.delay_s) == (StepKind.REGISTER, 0, 0)
    policy.on_success(step)
    step = policy.next_step()
    assert step.kind is StepKind.HEARTBEAT and 3 <= step.delay_s <= 5
    policy.on_failure(10, step, lost=True)
    assert (
        policy.next_step().kind is StepKind.REGISTER
        and policy.next_step().agent == 0
        and policy.next_step().delay_s == 0
    )
    policy.on_success(policy.next_step())
    for now in (20, 30, 36):
        policy.on_failure(now, policy.next_step())
    step = policy.next_step()
    assert (step.kind, step.agent) == (StepKind.REGISTER, 1) and step.delay_s > 0
    policy.on_success(step)
    assert [shutdown_step.agent for shutdown_step in policy.shutdown_steps()] == [0, 1]
