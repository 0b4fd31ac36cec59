"""The fleet day on the virtual clock: sound days hold, planted defects are caught, the same seed
gives the same day.
"""

import msgspec
import pytest

from mothnotch.audit import peers as beliefs
from mothnotch.audit.rules import evaluate_rules
from mothnotch.badday import fleet, script
from mothnotch.config import ConfigError


def broken(day, seed):
    record, views = fleet.play_virtual(day, seed)
    return (
        [v.rule for v in evaluate_rules(record) + beliefs.evaluate_rules(views) if v.violations],
        record,
        views,
    )


@pytest.mark.parametrize("seed", [1, 2])
def test_a_sound_fleet_keeps_the_rules_and_the_stated_bounds(seed):
    wrong, record, views = broken(script.PEERS, seed)
    assert wrong == []
    assert len(record.queries) > 300 and len(views.samples) > 300
    assert all(v.checked > 20 for v in beliefs.evaluate_rules(views))


@pytest.mark.parametrize(
    "breach, rule",
    [
        ("old_life", "no old life"),
        ("young_facts", "no older than said"),
        ("never_gone", "dead roots are gone"),
        ("hasty", "sound roots are not held"),
    ],
)
def test_a_planted_defect_is_caught(breach, rule):
    wrong, _, _ = broken(msgspec.structs.replace(script.PEERS, breach=breach), 1)
    assert any(rule in name for name in wrong)


def test_the_same_seed_gives_the_same_day():
    short = msgspec.structs.replace(script.PEERS, seconds=8.0, troubles=script.PEERS.troubles[:2])
    assert (
        len(
            {
                str(
                    [
                        (v.root, v.at, msgspec.json.encode(v.view))
                        for v in fleet.play_virtual(short, 5)[1].samples
                    ]
                )
                for _ in range(2)
            }
        )
        == 1
    )


@pytest.mark.parametrize(
    "text, where",
    [
        ("{peers: {}, troubles: [{kind: 'root_kill', at: 1}]}", "roots: names none"),
        (
            "{peers: {}, roots: 2, troubles: [{kind: 'link_cut', at: 1, roots: [2]}]}",
            "there are roots 0 to 1",
        ),
        ("{troubles: [{kind: 'root_kill', at: 1, roots: [0]}]}", "is not one of"),
    ],
)
def test_a_wrong_script_is_told_where(text, where):
    with pytest.raises(ConfigError) as error:
        script.load(text)
    assert where in str(error.value.errors)
