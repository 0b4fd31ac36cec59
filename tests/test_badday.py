"""Bad days on a virtual clock: the rules hold over many seeds, and the auditor catches what is
broken on purpose.
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

SEEDS = 200


def broken(seed):
    record = play.play_virtual(scripts.random_scenario(seed), seed)
    return (
        seed,
        len(record.queries),
        [(v.rule, v.violations[:3]) for v in evaluate_rules(record) if v.violations],
    )


def test_rules_hold_over_many_seeds():
    with concurrent.futures.ProcessPoolExecutor(os.cpu_count()) as pool:
        asks = 0
        for seed, count, found in pool.map(broken, range(SEEDS), chunksize=5):
            assert not found, f"bin/mothnotch badday --drawn --virtual --seed {seed}: {found}"
            asks += count
    assert asks > SEEDS * 30


def day(troubles=(), **changes):
    base = scripts.Scenario(
        4.0,
        2,
        8,
        scripts.LoadSpec(rate=25.0, transactions=0.5),
        scripts.LeavesSpec(),
        0.1,
        5,
        2.0,
        troubles=list(troubles),
    )
    return msgspec.structs.replace(base, **changes)


T = scripts.FaultSpec
COLD = scripts.LeavesSpec(
    cores=1, work_ms=8.0, cold_from=0.1, cold_s=20.0, fall_multiple=1.1, fall_s=0.5, fresh=True
)
WRITES = scripts.LoadSpec(rate=40.0, mix={"hold-set": 1.0}, transactions=0.5)


@pytest.mark.parametrize(
    "breach, rule, script",
    [
        ("late_sends", "1", day()),
        ("silent", "1", day([T("hang", 0.3, 3.0, 8)])),
        ("double", "1", day()),
        (
            "keys_dropped",
            "2",
            day(
                [T("lost_answers", 0.1, 3.5, 8, share=0.7)],
                load=WRITES,
                budget_share=0.3,
                budget_free=20,
            ),
        ),
        ("ignores_drains", "3", day([T("deploy", 0.5, 3.0, 2)])),
        (
            "no_cold",
            "4",
            day(leaves=COLD, load=scripts.LoadSpec(rate=70.0), budget_share=0.3, budget_free=20),
        ),
        ("half_as_whole", "5", day([T("hang", 0.3, 3.0, 5)])),
        ("many_attempts", "6", day([T("fast_errors", 0.3, 3.0, 6, share=0.9)])),
    ],
)
def test_auditor_catches_a_planted_breach_and_passes_the_sound_program(breach, rule, script):
    sound = evaluate_rules(play.play_virtual(script, 5))
    assert [v.violations for v in sound] == [[]] * 6
    planted = evaluate_rules(play.play_virtual(msgspec.structs.replace(script, breach=breach), 5))
    assert [v for v in planted if v.rule.startswith(rule)][0].violations


def digest(seed):
    return hashlib.sha256(
        "\n".join(play.transcript(play.play_virtual(scripts.random_scenario(seed), seed))).encode()
    ).hexdigest()


def test_same_seed_gives_the_same_transcript_in_another_process():
    code = "from tests.test_badday import digest; print(digest(9))"
    env = {**os.environ, "PYTHONHASHSEED": "4711"}
    other = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, env=env, check=True
    ).stdout.strip()
    assert digest(9) == other
    assert digest(10) != other


def test_every_kind_of_trouble_plays_alone():
    for kind in scripts.FAULT_KINDS:
        record = play.play_virtual(day([T(kind, 0.5, 1.5, 2)], seconds=2.5), 3)
        assert [v.violations for v in evaluate_rules(record)] == [[]] * 6, kind
        assert sum(a.outcome == "answered" for a in record.queries) > 10, kind


def test_script_errors_name_the_place():
    with pytest.raises(ConfigError) as caught:
        scripts.load(
            '{seconds: 5, troubles: [{kind: "quake", at: 1}, {kind: "hang", at: 9}]}', "day.json5"
        )
    assert len(caught.value.errors) == 2
    assert (
        "day.json5: troubles[0].kind" in caught.value.errors[0]
        and "'quake'" in caught.value.errors[0]
    )
    for bad in ("{seconds: 'x'}", "{what: 1}", "{"):
        with pytest.raises(ConfigError):
            scripts.load(bad)
