"""The schedule, the checks and the shim of the soak, without processes. Each hand-written history
violates exactly the expected rules.
"""

import dataclasses
import errno
import random
import sys

import h11
import pytest

from mothnotch.soak import client, judge, plan, run, settings, shim

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
WIRE_ID = f"{RID}.3"


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
    answer_fields = {"total": True, "in": [3], "right": True} if how == 200 else {}
    return event(t, "outcome", rid=RID, how=how, **(answer_fields | fields))


def sent(t, leaf="s1", attempt=0, told_ms=900):
    return event(
        t,
        "root sent",
        root=0,
        life=0,
        wire_id=WIRE_ID,
        part="q1.0",
        attempt=attempt,
        leaf=leaf,
        told_ms=told_ms,
    )


def ended(t, attempt=0, result="broken"):
    return event(
        t, "root attempt ended", root=0, life=0, part="q1.0", attempt=attempt, result=result
    )


def root_gone(t, killed_at=None, life=0):
    return event(t, "gone", root=0, life=life, killed_at=killed_at)


def part(t, leaf="s1", link=1):
    return event(t, "part", wire_id=WIRE_ID, shard=3, link=link) | {"who": leaf}


def violated_rules(*events):
    return sorted(
        {
            rule
            for rule, _ in judge.check_history(
                sorted(events, key=lambda e: e["t"]), DEPLOYMENT
            ).violations
        }
    )


def test_an_answered_request_violates_no_rule():
    assert (
        violated_rules(request(), sent(10.01), part(10.02), ended(10.1, result="ok"), outcome())
        == []
    )


@pytest.mark.parametrize(
    "expected, events",
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
                event(10.4, "done", wire_id=WIRE_ID, link=1, end="good") | {"who": "s1"},
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
                event(2.9, "silent", root=0),
                event(3.0, "change", rev=41, leaf="s1", state="Terminating", boot_ms=0),
                event(8.5, "reloaded", root=0),
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
def test_each_violated_rule_is_found(expected, events):
    assert violated_rules(*events) == [expected]


def drained(t):
    return event(t, "change", rev=41, leaf="s1", state="Terminating", boot_ms=0)


ROOT_STARTED = event(9.5, "root started", root=0)
SERVED_REQUEST = [request(), sent(10.0), outcome()]
OUTAGE = event(9.0, "told to", do="down", s=0.8) | {"who": "discovery"}


@pytest.mark.parametrize(
    "events",
    [
        [drained(9.0)],
        [drained(9.0), ROOT_STARTED],  # the agent has had it since before the start
        [drained(9.0), ROOT_STARTED, event(9.9, "serving", root=0)],
        # What held up the process before does not hold up its successor.
        [event(8.9, "reloaded", root=0), drained(9.0), ROOT_STARTED],
        [event(8.9, "silent", root=0), drained(9.0), ROOT_STARTED],
        [drained(9.0), event(9.2, "held", root=0, s=0.6)],
        [drained(9.0), event(9.1, "silent", root=0)],
        [event(8.9, "silent", root=0), drained(9.0), event(9.5, "watch served", root=0)],
        [event(5.0, "reloaded", root=0), drained(8.0)],
        [event(9.4, "reloaded", root=0), drained(9.0)],
        [event(8.9, "fault", what="fail calls", whom=0, call="recv", s=0.5), drained(9.0)],
        [event(8.9, "fault", what="fail calls", whom=1, call="recv", s=1.0), drained(9.0)],
        [event(8.9, "fault", what="fail calls", whom=0, call="accept", s=1.0), drained(9.0)],
        [event(7.0, "told to", do="down", s=2.5) | {"who": "discovery"}, drained(9.0)],
    ],
)
def test_a_drain_counts_as_known_once_the_agent_has_it_or_the_process_has_started(events):
    assert violated_rules(*events, *SERVED_REQUEST) == ["drain"]


@pytest.mark.parametrize(
    "events",
    [
        [drained(9.8)],
        [drained(9.0), event(9.8, "root started", root=0)],
        [drained(9.0), event(9.1, "held", root=0, s=0.8)],
        [event(8.9, "silent", root=0), drained(9.0)],
        [event(8.9, "silent", root=0), drained(9.0), event(9.8, "watch served", root=0)],
        [event(8.9, "reloaded", root=0), drained(9.0)],
        [event(8.9, "fault", what="fail calls", whom=0, call="recv", s=1.0), drained(9.0)],
        [OUTAGE, drained(9.1)],
    ],
)
def test_a_drain_that_the_root_cannot_have_learned_is_not_yet_known(events):
    assert violated_rules(*events, *SERVED_REQUEST) == []


@pytest.mark.parametrize(
    "events",
    [
        [request(), root_gone(10.15, killed_at=10.1), outcome(how="reset")],
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
            event(10.4, "done", wire_id=WIRE_ID, link=1, end="good") | {"who": "s1"},
            outcome(10.5),
        ],
        [event(15.0, "root ended", root=0, status=-9, killed=True)],
    ],
)
def test_excused_events_violate_no_rule(events):
    assert violated_rules(*events) == []


# Soak seed 8107: a slow client finishes its request 67 ms after the kill of the root that it had
# connected to.
SLOW_CLIENT_OF_A_KILLED_ROOT = [
    root_gone(10.01, killed_at=9.933),
    request(10.0) | {"connected": 9.5},
    outcome(10.00025, "closed"),
]
# Soak seed 4: SIGSTOP suspends the root between a write to a leaf and its record.
SUSPENDED_BETWEEN_A_SEND_AND_ITS_RECORD = [
    request(),
    sent(10.6, told_ms=800) | {"noted_after_s": 0.45},
    outcome(10.7),
]


@pytest.mark.parametrize(
    "events", [SLOW_CLIENT_OF_A_KILLED_ROOT, SUSPENDED_BETWEEN_A_SEND_AND_ITS_RECORD]
)
def test_events_recorded_late_violate_no_rule(events):
    assert violated_rules(*events) == []


@pytest.mark.parametrize(
    ("expected", "events"),
    [
        # As above, but the client is connected to the successor of the killed process.
        (
            "lost",
            [
                root_gone(10.01, killed_at=9.933),
                request(10.0) | {"connected": 10.02},
                outcome(10.025, "closed"),
            ],
        ),
        # The connection closes before the kill.
        (
            "lost",
            [
                root_gone(10.2, killed_at=10.1),
                request(10.0) | {"connected": 9.5},
                outcome(10.05, "closed"),
            ],
        ),
        # The process that it is connected to ends by itself; a later one is killed.
        (
            "lost",
            [
                root_gone(10.1),
                root_gone(10.4, killed_at=10.35, life=1),
                request(10.0) | {"connected": 9.5},
                outcome(10.5, "nothing"),
            ],
        ),
        # The record was written at once.
        (
            "told too long",
            [request(), sent(10.6, told_ms=800) | {"noted_after_s": 0.01}, outcome(10.7)],
        ),
    ],
)
def test_violations_near_late_records_are_found(expected, events):
    assert violated_rules(*events) == [expected]


def closed_kept_connection(ahead_bytes):
    """Return the history of a connection that the root closes after an answer and before it handles
    the second request, of which it has read `ahead_bytes`.
    """
    first = request(9.0) | {"rid": "r0.c00.0", "connection": "c00.7", "size": 300}
    second = request(10.0, first=False) | {"connection": "c00.7", "size": 300}
    accepted = event(9.1, "root request", root=0, life=0, query="q1", request="r0.c00.0", client=5)
    closed = event(
        10.1, "root client connection closed", root=0, life=0, client=5, ahead_bytes=ahead_bytes
    )
    answered = outcome(9.2) | {"rid": "r0.c00.0"}
    return [first, accepted, answered, second, closed, outcome(10.1, "closed")]


def test_a_close_that_crosses_a_request_is_excused_unless_the_request_was_read():
    accepted = event(10.05, "root request", root=0, life=0, query="q2", request=RID, client=5)
    assert violated_rules(*closed_kept_connection(0)) == []
    assert violated_rules(*closed_kept_connection(299)) == []
    assert violated_rules(*closed_kept_connection(300)) == ["lost"]
    assert violated_rules(*closed_kept_connection(0), accepted) == ["lost"]


def test_with_idle_clients_a_new_connection_may_be_closed_unless_its_request_was_read():
    crowd = dataclasses.replace(DEPLOYMENT, crowd=True)
    closed_unread = [request(), outcome(how="reset")]
    accepted = event(10.05, "root request", root=0, life=0, query="q1", request=RID, client=5)
    assert not judge.check_history(closed_unread, crowd).violations
    assert judge.check_history(closed_unread, DEPLOYMENT).violations
    assert judge.check_history([*closed_unread, accepted], crowd).violations


@pytest.mark.parametrize(
    ("closed_at", "expected"), [(10.10, []), (10.15, ["second copy"]), (None, ["second copy"])]
)
def test_closing_the_connection_before_the_next_attempt_cancels_the_earlier_one(
    closed_at, expected
):
    """Soak seed 1: a leaf with one slot read the close only when its work had ended."""
    history = [
        request(),
        sent(10.0) | {"link": 5},
        part(10.01),
        sent(10.11, "s2", 1) | {"link": 6},
        part(10.12, "s2", 7),
        event(10.2, "done", wire_id=WIRE_ID, link=1, end="good") | {"who": "s1"},
        outcome(10.3),
    ]
    if closed_at is not None:
        history.append(event(closed_at, "root leaf connection closed", root=0, life=0, link=5))
    assert violated_rules(*history) == expected


@pytest.mark.parametrize(("closed_at", "expected"), [(10.1, []), (10.115, ["second copy"])])
def test_an_attempt_held_up_on_its_way_is_still_the_earlier_one(closed_at, expected):
    """Soak seed 201: the first attempt reached its leaf after the second, its connection closed."""
    history = [
        request(),
        sent(10.0) | {"link": 5},
        event(closed_at, "root leaf connection closed", root=0, life=0, link=5),
        sent(10.11, "s2", 1) | {"link": 6},
        part(10.12, "s2", 7),
        part(10.125),
        event(10.2, "done", wire_id=WIRE_ID, link=1, end="good") | {"who": "s1"},
        event(10.2, "done", wire_id=WIRE_ID, link=7, end="good") | {"who": "s2"},
        outcome(10.3),
    ]
    assert violated_rules(*history) == expected


def test_an_answer_that_a_root_logs_as_late_is_excused_only_by_a_suspension():
    line = {"event": "invariant violated", "rule": "FINAL_LATE", "query": "q1", "late_s": 0.4}
    history = [
        request(),
        event(10.01, "root request", root=0, life=0, query="q1", request=RID, client=5),
        outcome(11.4, 503),
        event(0.0, "root log", root=0, life=0, line=line),
    ]
    assert violated_rules(*history) == ["log"]
    assert violated_rules(*history, event(10.9, "held", root=0, s=0.2)) == ["log"]
    assert violated_rules(*history, event(10.9, "held", root=0, s=0.45)) == []


def test_the_slow_start_budget_covers_all_roots():
    events = [event(10.0, "leaf started", leaf="s1")]
    for n in range(200):
        events.append(
            event(10.1 + n / 1000, "part", wire_id=f"r{n % 2}.c.{n}.3", shard=3, link=1)
            | {"who": "s1"}
        )
    assert violated_rules(*events) == ["slow start"]
    assert violated_rules(*events[:60]) == []


def test_the_same_seed_draws_the_same_faults_within_the_allowed_span():
    drawn = [plan.draw_faults(random.Random(7), DEPLOYMENT, 14.0, 16) for _ in range(2)]
    assert drawn[0] == drawn[1] and len(drawn[0]) == 16
    assert all(plan.WARM_UP_S <= fault.at_s <= 14.0 - plan.COOL_DOWN_S for fault in drawn[0])
    assert drawn[0] != plan.draw_faults(random.Random(8), DEPLOYMENT, 14.0, 16)


def test_each_soak_draws_a_stop_while_leaves_hang_and_wrong_lengths():
    """Guards against a soak that cannot show a root which ends, or serves a truncated value, as
    no schedule contains what leads to it.
    """
    for seed in range(20):
        (stop,) = plan.draw_stops_during_hangs(random.Random(seed), DEPLOYMENT, 14.0)
        hang_end_s = stop.at_s + stop.parameters["s"]
        stop_s = stop.at_s + stop.parameters["before_s"]
        assert hang_end_s - stop_s >= plan.kill_delay_s(DEPLOYMENT)
        assert stop.at_s >= plan.WARM_UP_S
        assert hang_end_s <= 14.0 - plan.COOL_DOWN_S
        drawn = plan.draw_wrong_lengths(random.Random(seed), DEPLOYMENT, 14.0)
        assert {outcome for fault in drawn for outcome in fault.parameters["of"]} >= {
            "too short",
            "too long",
        }


def test_each_soak_draws_bodies_in_small_chunks():
    """Guards against a soak that cannot show a root which is held up by the form of some clients'
    bytes, as no client sends bodies in small chunks.
    """
    loads = [
        plan.draw_chunked_load(random.Random(seed), DEPLOYMENT, length_s)
        for seed in range(20)
        for length_s in (10.0, 14.0)
    ]
    assert {load.chunk_bytes for load in loads} == {1, 4, 16}
    assert {load.clients for load in loads} == {12, 24}
    assert all(load.root < DEPLOYMENT.roots for load in loads)
    assert all(load.begin_s >= plan.WARM_UP_S for load in loads)
    assert all(load.end_s <= 14.0 - plan.COOL_DOWN_S for load in loads)


def test_requests_in_chunks_have_the_body_of_the_same_request_and_at_most_64_kib():
    """Guards against a soak whose chunked requests are refused, and so show nothing."""
    request = client.Request("r0.c00.1", "hold", [1, 2], 1.5)
    for chunk_bytes in (1, 4, 16):
        http = h11.Connection(h11.SERVER)
        http.receive_data(request.chunked_data(chunk_bytes))
        head, body = http.next_event(), b""
        while isinstance(event := http.next_event(), h11.Data):
            body += event.data
        assert isinstance(event, h11.EndOfMessage)
        assert (b"x-request-id", b"r0.c00.1") in list(head.headers)
        assert len(body) <= 1 << 16
        assert request.data.endswith(body.rstrip())


def test_deployments_differ_by_seed_and_have_valid_settings():
    from mothnotch.decisions.settings import parse_settings

    deployments = [settings.draw_deployment(random.Random(seed)) for seed in range(30)]
    assert len({dataclasses.astuple(deployment) for deployment in deployments}) > 20
    for deployment in deployments:
        assert set(parse_settings(deployment.settings(0)).classes) == {"read", "hold", "book"}


def test_the_shim_injects_the_requested_failures(tmp_path):
    control = shim.Control(tmp_path / "control", create=True)
    injector = shim.FaultInjector(control)
    injector.raise_if_due("send")
    control.fail("send", errno.ENOBUFS, count=2)
    for _ in range(2):
        with pytest.raises(OSError) as caught:
            injector.raise_if_due("send")
        assert caught.value.errno == errno.ENOBUFS
    injector.raise_if_due("send")
    assert control.failure_count("send") == 2
    control.fail_at_random("recv", 1.0)
    with pytest.raises(OSError) as caught:
        injector.raise_if_due("recv")
    assert caught.value.errno in shim.ERRORS["recv"]
    control.clear_failures()
    injector.raise_if_due("recv")
    control.short_io(1.0)
    assert all(1 <= injector.limit_length(1000) <= 9 for _ in range(50))


def test_the_folder_for_records_is_created(tmp_path, monkeypatch, capsys):
    """A missing folder used to end the first soak with a traceback."""
    monkeypatch.setattr(run, "run_soak", lambda seed, *rest: pytest.fail("a soak ran"))
    folder = tmp_path / "not" / "there"
    monkeypatch.setattr(sys, "argv", ["soak", "--seeds", "2-1", "--keep", str(folder)])
    assert run.main() == 0
    assert folder.is_dir()


def test_an_uncreatable_folder_for_records_is_a_usage_error(tmp_path, monkeypatch, capsys):
    (tmp_path / "file").touch()
    monkeypatch.setattr(sys, "argv", ["soak", "--keep", str(tmp_path / "file" / "folder")])
    with pytest.raises(SystemExit) as caught:
        run.main()
    assert caught.value.code == 2
    assert "Not a directory" in capsys.readouterr().err
