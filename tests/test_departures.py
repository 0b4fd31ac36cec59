"""Scenarios with a catalogue on a virtual clock.

They cover departing leaves, faults of the agents, and planted defects that the audit must report.
"""

import concurrent.futures
import os

import msgspec
import pytest

from mothnotch.audit.catalogue_updates import updates_from_catalogue
from mothnotch.audit.rules import departures, evaluate_rules
from mothnotch.badday import play
from mothnotch.badday import script as scripts
from mothnotch.standins.consul import ServiceAnswer

SEED_COUNT = 40
make_fault = scripts.FaultSpec


def run_random_scenario(seed):
    record = play.play_virtual(scripts.random_departures(seed), seed)
    late_departures = [departure for departure in departures(record) if departure[3] > 0.25]
    return (
        seed,
        len(departures(record)),
        late_departures,
        [
            (verdict.rule, verdict.violations[:3])
            for verdict in evaluate_rules(record)
            if verdict.violations
        ],
    )


def test_departing_leaves_get_no_new_parts_over_many_seeds():
    with concurrent.futures.ProcessPoolExecutor(os.cpu_count()) as pool:
        total = 0
        for seed, departure_count, late, broken_rules in pool.map(
            run_random_scenario, [*range(SEED_COUNT), 296], chunksize=4
        ):
            assert (
                not late and not broken_rules
            ), f"bin/mothnotch study departures --seed {seed} --days 1: {late} {broken_rules}"
            total += departure_count
    assert total > 2 * SEED_COUNT


def make_scenario(faults, **changes):
    return msgspec.structs.replace(
        scripts.Scenario(
            4.0, 2, 8, scripts.LoadSpec(rate=30.0), consul=scripts.ConsulSpec(3, 2, 2.0)
        ),
        troubles=list(faults),
        **changes,
    )


def test_auditor_reports_late_updates_and_ignored_drains():
    faults = [make_fault("depart", 1.0, 2.0, 1)]
    sound_record = play.play_virtual(make_scenario(faults), 5)
    assert (
        not any(verdict.violations for verdict in evaluate_rules(sound_record))
        and max(departure[3] for departure in departures(sound_record)) <= 0.25
    )
    for breach in ("late_news", "ignores_drains"):
        planted_record = play.play_virtual(make_scenario(faults, breach=breach), 5)
        assert max(departure[3] for departure in departures(planted_record)) > 0.25, breach
        assert [
            verdict for verdict in evaluate_rules(planted_record) if verdict.rule.startswith("3")
        ][0].violations, breach


@pytest.mark.parametrize("kind", scripts.CONSUL_FAULT_KINDS)
def test_each_catalogue_fault_alone_breaks_no_rule_and_loses_no_answers(kind):
    record = play.play_virtual(make_scenario([make_fault(kind, 0.5, 2.0, 2, 5.0)], seconds=3.0), 3)
    assert [verdict.violations for verdict in evaluate_rules(record)] == [[]] * 6
    ended = [
        query
        for query in record.queries
        if query.outcome in ("answered", "refused", "failed") and query.sqlstate != "57014"
    ]
    assert sum(query.outcome == "answered" for query in ended) >= 0.97 * len(ended) > 30


def make_answer(at_s, index, states, incarnation=0, user_agent="mothnotch/0", **options):
    return ServiceAnswer(
        at_s,
        "a",
        user_agent,
        incarnation,
        index,
        options.get("consistent", False),
        options.get("filtered", False),
        {f"n/{leaf}": state for leaf, state in states.items()},
    )


def test_catalogue_changes_told_to_a_root_are_derived_from_the_record_in_order():
    four_up = dict.fromkeys("abcd", "up")
    changes = updates_from_catalogue(
        [
            make_answer(1, 10, four_up),
            make_answer(2, 12, {**four_up, "a": "draining"}),
            make_answer(3, 11, four_up),  # an older answer is ignored
            make_answer(4, 13, {}),  # an empty answer removes no leaf
            make_answer(5, 14, {"a": "up"}, filtered=True),  # nor does a filtered one
            # A mass departure counts once a consistent answer confirms it.
            make_answer(6, 15, {"a": "up", "b": "up"}),
            make_answer(7, 15, {"a": "up", "b": "up"}, consistent=True),
            make_answer(8, 2, {"a": "up"}, incarnation=1),
            make_answer(9, 99, four_up),
            make_answer(10, 3, {}, incarnation=1, user_agent="somebody"),
        ]
    )
    assert [(at_s, leaf, state) for at_s, leaf, state, _ in changes if at_s > 1] == [
        (2, "a", "draining"),
        (5, "a", "up"),
        (7, "c", "removed"),
        (7, "d", "removed"),
        (8, "a", "up"),
    ]
