"""The simulator adapter: lines become events for the balancers, and actions become lines."""

import io
import json
import subprocess
import sys

import pytest

from mothnotch import simulator_adapter
from mothnotch.decisions import interface

OPTIONS = {
    "balancers": 2,
    "me": 1,
    "zone": "a",
    "stepUs": 5000,
    "weightSource": "nominal",
    "discovery": "automatic",
    "familyInfo": {
        "positions": 2,
        "reach": 2,
        "perCall": 16,
        "perCallWorkUs": 37000,
        "wholeAt": [1.0],
        "floorByClass": [0.8],
        "classPartial": [0.8],
        "secondStep": [0],
        "unheardOf": 3,
    },
    "lanes": [
        {
            "name": "read",
            "aimUs": 1000000,
            "deadlineUs": 3000000,
            "worth": 5.0,
            "lateWorth": 0.3,
            "semantics": "pure",
            "streamed": False,
        }
    ],
    "limits": {
        "cancel": True,
        "mayDuplicate": False,
        "maxAttempts": 3,
        "retryAfter": True,
        "maxRetryAfterUs": 2000000,
        "dialTimeoutUs": 250000,
    },
    "rules": {
        "answerSlackUs": 20000,
        "coldFrom": 0.2,
        "rampTimeUs": 9000000,
        "fallMultiple": 3.0,
        "fallUs": 3000000,
    },
    "tenants": [{"name": "t", "allowancePerS": 10.0, "fraction": 1.0}],
    "overShareWorth": 0.05,
    "new key": [1],
}
START_LINES = [
    f"OPEN_INSTANCE root=3 randomSeed=7 options={json.dumps(OPTIONS)}",
    "DIRECTORY table=0 membersList=2",
    "ITEM leaf=10.0.0.1:80 site=a familyType=k position=0 health=up nominal=1",
    "ITEM leaf=10.0.0.2:80 site=a familyType=k position=1 health=up nominal=1 later=field",
    "MEMBERSHIP root=3 how=cached gen=1 table=0",
]
QUERY_LINES = [
    "ORDER root=3 ticket=q grade=read team=t targetKey=00aa dropDeadUs=4000000 sizeHintUs=50000 askNo=1 "
    "rangeNo=-1 measure=1 attrs=1",
    "ORDER root=3 ticket=p grade=read team=t targetKey=00ab dropDeadUs=4000000 sizeHintUs=50000 askNo=1 "
    "rangeNo=0 measure=1.0 attrs=1",
]


def run_adapter(*batches):
    text = "".join(
        "\n".join([f"MARK nowUs={1_000_000 + n * 5000}", *lines, "OVER_TO_YOU", ""])
        for n, lines in enumerate(batches)
    )
    output = io.StringIO()
    exit_code = simulator_adapter.main(io.StringIO(text), output)
    return exit_code, [
        reply.strip("\n").split("\n") for reply in output.getvalue().split("DONE\n")[:-1]
    ]


def test_empty_batch_gets_an_empty_reply():
    assert run_adapter([]) == (0, [[""]])


def test_query_is_sent_and_answered():
    reply = run_adapter(START_LINES, QUERY_LINES)[1][1]
    forward = next(line for line in reply if line.startswith("FORWARD"))
    fields = dict(field.split("=") for field in forward.split()[1:])
    assert fields["root"] == "3" and fields["ticket"] == "p" and int(fields["limitUs"]) > 0
    attempt_ended = [
        f"RESOLVED root=3 ticket=p n=0 leaf={fields['leaf']} code=completed latencyUs=900 doneFlag=1 "
        "serverStats=outstanding:2,recent_ms:3.5"
    ]
    exit_code, replies = run_adapter(START_LINES, QUERY_LINES, attempt_ended)
    assert exit_code == 0 and "MERGE root=3 ticket=q full=1" in replies[2]


def test_settings_are_parsed_and_unknown_keys_are_ignored():
    settings = simulator_adapter.parse_settings(OPTIONS)
    read_class = settings.classes["read"]
    assert (
        read_class.min_answer_weight,
        read_class.complete_weight,
        read_class.idempotency,
        read_class.objective_cost_factor,
    ) == (
        0.8,
        1.0,
        interface.Idempotency.IDEMPOTENT,
        0.0,
    )
    assert (
        settings.limits.max_attempts == 3
        and not settings.limits.health_checks
        and settings.rules.retry_budget_ratio is None
    )
    assert settings.tenant_quotas_qps == {"t": 10.0} and settings.call_overhead_us == 37000


def test_endpoint_tables_are_resolved_in_event_order():
    reused_tables = [
        "DIRECTORY table=0 membersList=1",
        "ITEM leaf=10.0.0.1:80 site=a familyType=k position=0 health=removed nominal=1",
        "MEMBERSHIP root=3 how=delta gen=2 table=0",
        "DIRECTORY table=0 membersList=1",
        "ITEM leaf=10.0.0.9:80 site=a familyType=k position=0 health=draining nominal=1",
        "MEMBERSHIP root=3 how=delta gen=3 table=0",
    ]
    reply = run_adapter(START_LINES, reused_tables, QUERY_LINES)[1][2]
    assert any("leaf=10.0.0.2:80" in line for line in reply if line.startswith("FORWARD"))


def test_instance_restarted_within_a_batch_keeps_no_state():
    late_result = (
        "RESOLVED root=3 ticket=p n=0 leaf=10.0.0.1:80 code=completed latencyUs=9 doneFlag=1"
    )
    exit_code, replies = run_adapter(
        START_LINES, QUERY_LINES, ["DOWN root=3", *START_LINES], [late_result]
    )
    assert exit_code == 0 and not any("MERGE" in line for line in replies[3])


@pytest.mark.parametrize(
    "line",
    [
        "NONSENSE root=3",
        "ORDER root=3 ticket",
        "RESOLVED root=3",
        "TIMER root=x label=1",
        "DIRECTORY table=0 membersList=2",
    ],
)
def test_invalid_line_ends_the_adapter_with_one_message_and_no_reply(line, capsys):
    exit_code, replies = run_adapter(START_LINES, [line])
    assert exit_code == 2 and len(replies) == 1
    assert len(capsys.readouterr().err.strip().split("\n")) == 1


def run_module(module):
    return subprocess.run(
        [sys.executable, "-m", module],
        input="MARK nowUs=1\nOVER_TO_YOU\n",
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_adapter_starts_as_a_module_without_output_on_standard_error():
    process = run_module("mothnotch.simulator_adapter")
    assert (process.returncode, process.stdout, process.stderr) == (0, "DONE\n", "")


def test_deprecated_module_name_starts_the_adapter_with_one_warning_line():
    process = run_module("mothnotch.drill")
    assert (process.returncode, process.stdout) == (0, "DONE\n")
    assert process.stderr.count("\n") == 1
    assert "mothnotch.simulator_adapter" in process.stderr
