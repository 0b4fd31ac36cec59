"""Scenarios of injected faults on a virtual clock.

The rules hold over many seeds, and the audit detects planted defects.
"""

import concurrent.futures
import hashlib
import os
import subprocess
import sys

import msgspec
import pytest

from mothnotch.audit.rules import evaluate_rules
from mothnotch.badday import play
from mothnotch.badday import script as scripts
from mothnotch.config import ConfigError

SEED_COUNT = 200


def play_random_scenario(seed):
    record = play.play_virtual(scripts.random_scenario(seed), seed)
    return (
        seed,
        len(record.queries),
        [(v.rule, v.violations[:3]) for v in evaluate_rules(record) if v.violations],
    )


def test_rules_hold_over_many_seeds():
    with concurrent.futures.ProcessPoolExecutor(os.cpu_count()) as pool:
        query_total = 0
        for seed, query_count, violations in pool.map(
            play_random_scenario, range(SEED_COUNT), chunksize=5
        ):
            assert (
                not violations
            ), f"bin/mothnotch badday --drawn --virtual --seed {seed}: {violations}"
            query_total += query_count
    assert query_total > SEED_COUNT * 30


def make_scenario(faults=(), **changes):
    scenario = scripts.Scenario(
        4.0,
        2,
        8,
        scripts.LoadSpec(rate=25.0, transactions=0.5),
        scripts.LeavesSpec(),
        0.1,
        5,
        2.0,
        troubles=list(faults),
    )
    return msgspec.structs.replace(scenario, **changes)


make_fault = scripts.FaultSpec
COLD_LEAVES = scripts.LeavesSpec(
    cores=1, work_ms=8.0, cold_from=0.1, cold_s=20.0, fall_multiple=1.1, fall_s=0.5, fresh=True
)
WRITES_ONLY = scripts.LoadSpec(rate=40.0, mix={"hold-set": 1.0}, transactions=0.5)


@pytest.mark.parametrize(
    "breach, rule, scenario",
    [
        ("late_sends", "1", make_scenario()),
        ("silent", "1", make_scenario([make_fault("hang", 0.3, 3.0, 8)])),
        ("double", "1", make_scenario()),
        (
            "keys_dropped",
            "2",
            make_scenario(
                [make_fault("lost_answers", 0.1, 3.5, 8, share=0.7)],
                load=WRITES_ONLY,
                budget_share=0.3,
                budget_free=20,
            ),
        ),
        ("ignores_drains", "3", make_scenario([make_fault("deploy", 0.5, 3.0, 2)])),
        (
            "no_cold",
            "4",
            make_scenario(
                leaves=COLD_LEAVES,
                load=scripts.LoadSpec(rate=70.0),
                budget_share=0.3,
                budget_free=20,
            ),
        ),
        ("half_as_whole", "5", make_scenario([make_fault("hang", 0.3, 3.0, 5)])),
        ("many_attempts", "6", make_scenario([make_fault("fast_errors", 0.3, 3.0, 6, share=0.9)])),
    ],
)
def test_audit_detects_a_planted_defect_and_no_violations_without_it(breach, rule, scenario):
    sound_verdicts = evaluate_rules(play.play_virtual(scenario, 5))
    assert [v.violations for v in sound_verdicts] == [[]] * 6
    defect_verdicts = evaluate_rules(
        play.play_virtual(msgspec.structs.replace(scenario, breach=breach), 5)
    )
    assert [v for v in defect_verdicts if v.rule.startswith(rule)][0].violations


def transcript_digest(seed):
    return hashlib.sha256(
        "\n".join(play.transcript(play.play_virtual(scripts.random_scenario(seed), seed))).encode()
    ).hexdigest()


def test_same_seed_gives_the_same_transcript_in_another_process():
    code = "from tests.test_badday import transcript_digest; print(transcript_digest(9))"
    env = {**os.environ, "PYTHONHASHSEED": "4711"}
    other_digest = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, env=env, check=True
    ).stdout.strip()
    assert transcript_digest(9) == other_digest
    assert transcript_digest(10) != other_digest


def test_every_kind_of_fault_alone_breaks_no_rule():
    for kind in scripts.FAULT_KINDS:
        record = play.play_virtual(make_scenario([make_fault(kind, 0.5, 1.5, 2)], seconds=2.5), 3)
        assert [v.violations for v in evaluate_rules(record)] == [[]] * 6, kind
        assert sum(a.outcome == "answered" for a in record.queries) > 10, kind


def test_scenario_errors_name_the_invalid_field():
    with pytest.raises(ConfigError) as caught:
        scripts.load(
            '{seconds: 5, troubles: [{kind: "quake", at: 1}, {kind: "hang", at: 9}]}', "day.json5"
        )
    assert len(caught.value.errors) == 2
    assert (
        "day.json5: troubles[0].kind" in caught.value.errors[0]
        and "'quake'" in caught.value.errors[0]
    )
    for invalid in ("{seconds: 'x'}", "{what: 1}", "{"):
        with pytest.raises(ConfigError):
            scripts.load(invalid)
