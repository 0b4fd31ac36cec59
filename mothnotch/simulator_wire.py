"""The simulator's line protocol: parse lines into events, and format actions as lines.

A line is a name followed by `name=value` fields, separated by single spaces; the values of
`options` and `msg` extend to the end of the line. Unknown fields are ignored.
"""

from collections.abc import Callable

from mothnotch.decisions.interface import (
    Answer,
    AttemptEnded,
    Cancel,
    ClientDisconnected,
    Disconnect,
    Endpoint,
    Fail,
    HealthCheck,
    HealthCheckEnded,
    Log,
    PartArrived,
    PeerMessageReceived,
    QueryArrived,
    Reject,
    Result,
    Send,
    SetTimer,
    Subscribe,
    TimerFired,
    WatchEvent,
    WatchEventKind,
)

Fields = dict[str, str]
Event = (
    QueryArrived
    | PartArrived
    | AttemptEnded
    | HealthCheckEnded
    | ClientDisconnected
    | TimerFired
    | PeerMessageReceived
    | WatchEvent
)
Action = (
    Send | Cancel | Answer | Reject | Fail | SetTimer | HealthCheck | Disconnect | Subscribe | Log
)

RESULTS = {
    "completed": Result.OK,
    "errored": Result.ERROR,
    "saturated": Result.REJECTED,
    "overdue": Result.TIMEOUT,
    "refused_conn": Result.UNREACHABLE,
    "severed": Result.BROKEN,
    "recalled": Result.CANCELLED,
    "superseded": Result.UNSENT,
}
WATCH_EVENT_KINDS = {
    "cached": WatchEventKind.CACHED,
    "full": WatchEventKind.SNAPSHOT,
    "delta": WatchEventKind.DELTA,
    "failed": WatchEventKind.FAILED,
}
# Flags in `attrs`: sizeHintUs is valid; the client states that this is a retry.
COST_VALID_FLAG = 1
RETRY_FLAG = 2
# Fields whose value extends to the end of the line.
TEXT_FIELDS = ("options", "msg")


class WireError(ValueError):
    """A line that violates the protocol."""


def read_line(line: str) -> tuple[str, Fields]:
    """Return the name and the fields of one line; raise WireError if a field has no value."""
    name, _, rest = line.partition(" ")
    fields = {}
    while rest:
        field, _, after = rest.partition(" ")
        key, equals, value = field.partition("=")
        if not equals:
            raise WireError(f"expected name=value, got {field[:60]!r} in {name[:40]!r}")
        if key in TEXT_FIELDS:
            value = rest[len(key) + 1 :]
            after = ""
        fields[key] = value
        rest = after
    return name, fields


def read_endpoint(line: str) -> Endpoint:
    """Parse one entry of a list; raise WireError, KeyError or ValueError if it is invalid."""
    name, fields = read_line(line)
    if name != "ITEM":
        raise WireError(f"expected ITEM, got {name[:40]!r}")
    return Endpoint(
        fields["leaf"],
        fields.get("site", ""),
        int(fields["position"]),
        fields.get("health", "up"),
        float(fields.get("nominal", 1)),
        int(fields.get("bootTimeUs", 0)),
    )


def _read_report(text):
    """Return a server's load report as values by name; None if it sent none."""
    if not text:
        return None
    pairs = (pair.split(":") for pair in text.split(","))
    return {name: float(value) for name, value in pairs}


def _read_arrival(fields):
    """Return the arrival of a query, or of one of its parts if the line has a range."""
    flags = int(fields.get("attrs", 0))
    cost_us = int(fields.get("sizeHintUs", 0))
    if not flags & COST_VALID_FLAG or cost_us <= 0:
        cost_us = None
    if int(fields["rangeNo"]) >= 0:
        return PartArrived(
            fields["ticket"],
            int(fields["askNo"]),
            int(fields["rangeNo"]),
            float(fields.get("measure", 0)),
            cost_us,
        )
    tenant = fields.get("team")
    return QueryArrived(
        fields["ticket"],
        int(fields["askNo"]),
        fields["grade"],
        None if tenant == "0" else tenant,
        fields.get("targetKey"),
        int(fields["dropDeadUs"]),
        cost_us,
        bool(flags & RETRY_FLAG),
    )


def _read_attempt_ended(fields):
    return AttemptEnded(
        fields["ticket"],
        int(fields["n"]),
        fields["leaf"],
        RESULTS[fields["code"]],
        int(fields.get("latencyUs", 0)),
        _read_report(fields.get("serverStats")),
    )


def _read_health_check_ended(fields):
    return HealthCheckEnded(
        fields["leaf"],
        RESULTS[fields["code"]],
        int(fields.get("latencyUs", 0)),
        _read_report(fields.get("serverStats")),
    )


def _read_peer_message(fields):
    body = b"" if fields["body"] == "-" else bytes.fromhex(fields["body"])
    return PeerMessageReceived(int(fields["by"]), body)


EVENT_READERS: dict[str, Callable[[Fields], Event]] = {
    "ORDER": _read_arrival,
    "RESOLVED": _read_attempt_ended,
    "STATUS_BACK": _read_health_check_ended,
    "CLIENT_LEFT": lambda fields: ClientDisconnected(fields["ticket"]),
    "TIMER": lambda fields: TimerFired(int(fields["label"])),
    "WHISPER": _read_peer_message,
}
# Messages that occur for streamed classes only; parts of queries are never streamed.
SKIPPED_MESSAGES = ("UNDER_WAY",)

_ACTION_WRITERS: dict[type, Callable[[int, Action], str]] = {
    Send: lambda root, send: (
        f"FORWARD root={root} ticket={send.part} leaf={send.server} limitUs={send.timeout_us}"
    ),
    Cancel: lambda root, cancel: f"ABANDON root={root} ticket={cancel.part} n={cancel.attempt}",
    Answer: lambda root, answer: (
        f"MERGE root={root} ticket={answer.query} full={int(answer.complete)}"
    ),
    Reject: lambda root, reject: (
        f"REFUSE root={root} ticket={reject.query} pauseUs={reject.retry_after_us}"
    ),
    Fail: lambda root, fail: f"GIVE_UP root={root} ticket={fail.query}",
    SetTimer: lambda root, timer: (
        f"NOTIFY_ME root={root} label={timer.token} offsetUs={timer.delay_us}"
    ),
    HealthCheck: lambda root, health_check: f"HEALTH_CHECK root={root} leaf={health_check.server}",
    Disconnect: lambda root, disconnect: f"DISCONNECT root={root} leaf={disconnect.server}",
    Subscribe: lambda root, _: f"SUBSCRIBE root={root} full=1",
    Log: lambda root, log: f"DEBUG root={root} msg={log.text}",
}


def action_line(root: int, action: Action) -> str:
    """Format an action of a root as a line."""
    return _ACTION_WRITERS[type(action)](root, action)
