"""The soak's plan and oracle, without processes: each rule that is broken by hand is found, and
nothing else.
"""

import dataclasses
import errno
import random
import sys

import pytest

from mothnotch.soak import judge, plan, run, settings, shim

DEPLOYMENT = settings.Deployment(
    roots=2,
    leaves=8,
    streams=4,
    idle_s=4.0,
    cancel=True,
    stops="none",
    copies=False,
    attempts=2,
    window_s=0.7,
    deadline_s=1.0,
    drain_grace_s=0.25,
)
RID = "r0.c00.1"
PART = f"{RID}.3"


def event(t, kind, **fields):
    return {"t": t, "kind": kind, "who": "test", **fields}


def request(t=10.0, cls="read", timeout_s=1.0, first=True):
    return event(
        t,
        "request",
        rid=RID,
        root=0,
        cls=cls,
        shards=[3],
        timeout_s=timeout_s,
        first=first,
        crossing=False,
    )


def outcome(t=10.2, how=200, **fields):
    told = {"total": True, "in": [3], "right": True} if how == 200 else {}
    return event(t, "outcome", rid=RID, how=how, **(told | fields))


def sent(t, leaf="s1", attempt=0, told_ms=900):
    return event(
        t,
        "root sent",
        root=0,
        life=0,
        wire_id=PART,
        part="q1.0",
        attempt=attempt,
        leaf=leaf,
        told_ms=told_ms,
    )


def ended(t, attempt=0, result="broken"):
    return event(
        t, "root attempt ended", root=0, life=0, part="q1.0", attempt=attempt, result=result
    )


def gone(t, killed_at=None, life=0):
    return event(t, "gone", root=0, life=life, killed_at=killed_at)


def part(t, leaf="s1", link=1):
    return event(t, "part", wire_id=PART, shard=3, link=link) | {"who": leaf}


def rules(*events):
    return sorted(
        {rule for rule, _ in judge.judge(sorted(events, key=lambda e: e["t"]), DEPLOYMENT).broken}
    )


def test_a_request_that_is_answered_breaks_nothing():
    assert rules(request(), sent(10.01), part(10.02), ended(10.1, result="ok"), outcome()) == []


@pytest.mark.parametrize(
    "broken, events",
    [
        ("lost", [request(), outcome(how="closed")]),
        ("lost", [request(), outcome(12.5, how="nothing")]),
        ("late", [request(), outcome(11.6, how=503)]),
        ("wrong value", [request(), outcome(right=False)]),
        ("dishonest", [request(), outcome(**{"in": []})]),
        ("sent for who had left", [request(), event(10.05, "left", rid=RID), sent(10.3)]),
        ("told too long", [request(), sent(10.5, told_ms=800), outcome(10.6)]),
        (
            "an unsafe part again",
            [request(cls="book"), sent(10.01), ended(10.1), sent(10.2, "s2", 1), outcome(10.3)],
        ),
        (
            "a keyed part past its window",
            [
                request(cls="hold"),
                sent(10.0),
                ended(10.7),
                sent(10.85, "s2", 1, 100),
                outcome(10.9),
            ],
        ),
        (
            "too many attempts",
            [request(), sent(10.0), sent(10.1, "s2", 1), sent(10.2, "s3", 2), outcome(10.3)],
        ),
        (
            "second copy",
            [
                request(),
                part(10.0),
                part(10.1, "s2", 7),
                event(10.4, "done", wire_id=PART, link=1, end="good") | {"who": "s1"},
                outcome(10.5),
            ],
        ),
        (
            "drain",
            [
                event(9.0, "told", root=0, rev=41, whole=False, states={"s1": "Terminating"}),
                event(9.0, "change", rev=41, leaf="s1", state="Terminating", boot_ms=0),
                request(),
                sent(10.0),
                outcome(),
            ],
        ),
        (
            "drain, told at the latest",
            [
                event(3.0, "change", rev=41, leaf="s1", state="Terminating", boot_ms=0),
                request(),
                sent(10.0),
                outcome(),
            ],
        ),
        ("halted client", [event(15.0, "halted", root=0, after_s=3.4, how="nothing")]),
        ("crash", [event(15.0, "root ended", root=0, status=1, killed=False)]),
        (
            "log",
            [
                event(
                    0.0,
                    "root log",
                    root=0,
                    line={"event": "invariant violated", "rule": "SECOND_COPY"},
                )
            ],
        ),
    ],
)
def test_each_rule_that_is_broken_is_found(broken, events):
    assert rules(*events) == [broken]


@pytest.mark.parametrize(
    "events",
    [
        [request(), gone(10.15, killed_at=10.1), outcome(how="reset")],
        [request(first=False), outcome(how="closed")],
        [event(9.0, "stopping", root=0), request(), outcome(how="reset")],
        [request(), event(10.0, "held", root=0, s=0.6), outcome(11.8, how=503)],
        [
            request(cls="book"),
            sent(10.01),
            ended(10.1, result="rejected"),
            sent(10.2, "s2", 1),
            outcome(10.3),
        ],
        [
            event(9.0, "told", root=0, rev=41, whole=False, states={"s1": "Terminating"}),
            event(9.5, "told", root=0, rev=42, whole=False, states={"s1": "Ready"}),
            request(),
            sent(10.0),
            outcome(),
        ],
        [
            event(9.0, "leaf trouble", leaf="s1", s=2.0),
            request(),
            part(10.0),
            part(10.1, "s2", 7),
            event(10.4, "done", wire_id=PART, link=1, end="good") | {"who": "s1"},
            outcome(10.5),
        ],
        [event(15.0, "root ended", root=0, status=-9, killed=True)],
    ],
)
def test_what_is_nobodys_fault_is_not_held_against_a_root(events):
    assert rules(*events) == []


# Soak seed 8107: a slow client's request ends 67 ms after the kill of the root it had connected to.
SLOW_CLIENT_OF_A_KILLED_ROOT = [
    gone(10.01, killed_at=9.933),
    request(10.0) | {"connected": 9.5},
    outcome(10.00025, "closed"),
]
# Soak seed 4: a stop by a signal between a write to a leaf and its record.
STOP_BETWEEN_A_WRITE_AND_ITS_RECORD = [
    request(),
    sent(10.6, told_ms=800) | {"noted_after_s": 0.45},
    outcome(10.7),
]


@pytest.mark.parametrize(
    "events", [SLOW_CLIENT_OF_A_KILLED_ROOT, STOP_BETWEEN_A_WRITE_AND_ITS_RECORD]
)
def test_a_record_that_is_late_is_held_against_no_root(events):
    assert rules(*events) == []


@pytest.mark.parametrize(
    ("broken", "events"),
    [
        # The same, but on a connection to the life after the killed one.
        (
            "lost",
            [
                gone(10.01, killed_at=9.933),
                request(10.0) | {"connected": 10.02},
                outcome(10.025, "closed"),
            ],
        ),
        # Closed before the kill.
        (
            "lost",
            [
                gone(10.2, killed_at=10.1),
                request(10.0) | {"connected": 9.5},
                outcome(10.05, "closed"),
            ],
        ),
        # The life it was connected to ended by itself; a later one was killed.
        (
            "lost",
            [
                gone(10.1),
                gone(10.4, killed_at=10.35, life=1),
                request(10.0) | {"connected": 9.5},
                outcome(10.5, "nothing"),
            ],
        ),
        # The record was made at once.
        (
            "told too long",
            [request(), sent(10.6, told_ms=800) | {"noted_after_s": 0.01}, outcome(10.7)],
        ),
    ],
)
def test_a_fault_beside_a_late_record_is_still_found(broken, events):
    assert rules(*events) == [broken]


def kept_connection(ahead_bytes):
    """A request on a connection whose first one was taken, closed with so much left unread."""
    first = request(9.0) | {"rid": "r0.c00.0", "connection": "c00.7", "size": 300}
    second = request(10.0, first=False) | {"connection": "c00.7", "size": 300}
    taken = event(9.1, "root request", root=0, life=0, query="q1", request="r0.c00.0", client=5)
    closed = event(
        10.1, "root client connection closed", root=0, life=0, client=5, ahead_bytes=ahead_bytes
    )
    answered = outcome(9.2) | {"rid": "r0.c00.0"}
    return [first, taken, answered, second, closed, outcome(10.1, "closed")]


def test_a_close_that_crosses_a_request_is_excused_unless_the_request_was_read():
    taken = event(10.05, "root request", root=0, life=0, query="q2", request=RID, client=5)
    assert rules(*kept_connection(0)) == []
    assert rules(*kept_connection(299)) == []
    assert rules(*kept_connection(300)) == ["lost"]
    assert rules(*kept_connection(0), taken) == ["lost"]


def test_in_a_crowd_a_new_connection_may_be_shut_but_not_once_its_request_is_read():
    crowd = dataclasses.replace(DEPLOYMENT, crowd=True)
    shut = [request(), outcome(how="reset")]
    taken = event(10.05, "root request", root=0, life=0, query="q1", request=RID, client=5)
    assert not judge.judge(shut, crowd).broken
    assert judge.judge(shut, DEPLOYMENT).broken
    assert judge.judge([*shut, taken], crowd).broken


@pytest.mark.parametrize(
    ("closed_at", "broken"), [(10.10, []), (10.15, ["second copy"]), (None, ["second copy"])]
)
def test_an_attempt_is_given_up_by_a_close_that_left_before_the_next_one(closed_at, broken):
    """Soak seed 1: a leaf with one place saw the close of its connection only once it was done."""
    history = [
        request(),
        sent(10.0) | {"link": 5},
        part(10.01),
        sent(10.11, "s2", 1) | {"link": 6},
        part(10.12, "s2", 7),
        event(10.2, "done", wire_id=PART, link=1, end="good") | {"who": "s1"},
        outcome(10.3),
    ]
    if closed_at is not None:
        history.append(event(closed_at, "root leaf connection closed", root=0, life=0, link=5))
    assert rules(*history) == broken


def test_an_answer_that_a_root_calls_late_has_to_be_explained_by_a_hold_up():
    line = {"event": "invariant violated", "rule": "FINAL_LATE", "query": "q1", "late_s": 0.4}
    history = [
        request(),
        event(10.01, "root request", root=0, life=0, query="q1", request=RID, client=5),
        outcome(11.4, 503),
        event(0.0, "root log", root=0, life=0, line=line),
    ]
    assert rules(*history) == ["log"]
    assert rules(*history, event(10.9, "held", root=0, s=0.2)) == ["log"]
    assert rules(*history, event(10.9, "held", root=0, s=0.45)) == []


def test_a_slow_start_is_counted_over_all_roots():
    events = [event(10.0, "leaf started", leaf="s1")]
    for n in range(200):
        events.append(
            event(10.1 + n / 1000, "part", wire_id=f"r{n % 2}.c.{n}.3", shard=3, link=1)
            | {"who": "s1"}
        )
    assert rules(*events) == ["slow start"]
    assert rules(*events[:60]) == []


def test_the_same_seed_draws_the_same_faults_within_their_time():
    drawn = [plan.draw(random.Random(7), DEPLOYMENT, 14.0, 16) for _ in range(2)]
    assert drawn[0] == drawn[1] and len(drawn[0]) == 16
    assert all(plan.QUIET_S <= fault.at_s <= 14.0 - plan.LAST_S for fault in drawn[0])
    assert drawn[0] != plan.draw(random.Random(8), DEPLOYMENT, 14.0, 16)


def test_deployments_differ_by_seed_and_are_settings_that_a_root_reads():
    from mothnotch.decisions.settings import parse_settings

    drawn = [settings.draw(random.Random(seed)) for seed in range(30)]
    assert len({dataclasses.astuple(one) for one in drawn}) > 20
    for one in drawn:
        assert set(parse_settings(one.settings(0)).classes) == {"read", "hold", "book"}


def test_the_shim_fails_calls_as_it_is_told(tmp_path):
    control = shim.Control(tmp_path / "control", create=True)
    faults = shim.Faults(control)
    faults.meet("send")
    control.fail("send", errno.ENOBUFS, count=2)
    for _ in range(2):
        with pytest.raises(OSError) as caught:
            faults.meet("send")
        assert caught.value.errno == errno.ENOBUFS
    faults.meet("send")
    assert control.failed("send") == 2
    control.fail_at_random("recv", 1.0)
    with pytest.raises(OSError) as caught:
        faults.meet("recv")
    assert caught.value.errno in shim.ERRORS["recv"]
    control.calm()
    faults.meet("recv")
    control.short_io(1.0)
    assert all(1 <= faults.length(1000) <= 9 for _ in range(50))


def test_the_folder_for_records_is_made(tmp_path, monkeypatch, capsys):
    """Guards against a traceback once a soak begins."""
    monkeypatch.setattr(run, "one", lambda seed, *rest: pytest.fail("played"))
    folder = tmp_path / "not" / "there"
    monkeypatch.setattr(sys, "argv", ["soak", "--seeds", "2-1", "--keep", str(folder)])
    assert run.main() == 0
    assert folder.is_dir()


def test_a_folder_for_records_that_cannot_be_made_is_a_clear_error(tmp_path, monkeypatch, capsys):
    (tmp_path / "file").touch()
    monkeypatch.setattr(sys, "argv", ["soak", "--keep", str(tmp_path / "file" / "folder")])
    with pytest.raises(SystemExit) as caught:
        run.main()
    assert caught.value.code == 2
    assert "Not a directory" in capsys.readouterr().err
