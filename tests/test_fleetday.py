"""Fleet days on a virtual clock.

The rules and bounds hold, planted defects are detected, and the same seed gives the same run.
"""

import msgspec
import pytest

from mothnotch.audit import peers as peer_audit
from mothnotch.audit.rules import evaluate_rules
from mothnotch.badday import fleet, script
from mothnotch.config import ConfigError


def play_and_check(scenario, seed):
    record, peers_record = fleet.play_virtual(scenario, seed)
    return (
        [
            v.rule
            for v in evaluate_rules(record) + peer_audit.evaluate_rules(peers_record)
            if v.violations
        ],
        record,
        peers_record,
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_rules_and_bounds_hold_without_planted_defects(seed):
    broken_rules, record, peers_record = play_and_check(script.PEERS, seed)
    assert broken_rules == []
    assert len(record.queries) > 300 and len(peers_record.samples) > 300
    assert all(v.checked > 20 for v in peer_audit.evaluate_rules(peers_record))


@pytest.mark.parametrize(
    "breach, rule",
    [
        ("old_life", "no old life"),
        ("young_facts", "no older than said"),
        ("never_gone", "dead roots are gone"),
        ("hasty", "sound roots are not held"),
    ],
)
def test_planted_defect_is_detected(breach, rule):
    broken_rules, _, _ = play_and_check(msgspec.structs.replace(script.PEERS, breach=breach), 1)
    assert any(rule in name for name in broken_rules)


def test_same_seed_gives_the_same_views():
    short_scenario = msgspec.structs.replace(
        script.PEERS, seconds=8.0, troubles=script.PEERS.troubles[:2]
    )
    assert (
        len(
            {
                str(
                    [
                        (v.root, v.at, msgspec.json.encode(v.view))
                        for v in fleet.play_virtual(short_scenario, 5)[1].samples
                    ]
                )
                for _ in range(2)
            }
        )
        == 1
    )


@pytest.mark.parametrize(
    "text, message",
    [
        ("{peers: {}, troubles: [{kind: 'root_kill', at: 1}]}", "roots: must not be empty"),
        (
            "{peers: {}, roots: 2, troubles: [{kind: 'link_cut', at: 1, roots: [2]}]}",
            "roots: must be from 0 to 1",
        ),
        ("{troubles: [{kind: 'root_kill', at: 1, roots: [0]}]}", "is not one of"),
    ],
)
def test_invalid_scenario_is_reported_with_the_field(text, message):
    with pytest.raises(ConfigError) as error:
        script.load(text)
    assert message in str(error.value.errors)
