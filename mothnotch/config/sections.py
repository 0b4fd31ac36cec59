"""The sections of the configuration as structs; their attributes are the keys of the file."""

from typing import Literal

import msgspec

from mothnotch.config.strict import Strict


class TableConfig(Strict):
    """A sharded table: the types of its columns by name, and the column it is sharded by."""

    shard_by: str
    columns: dict[str, str]


class Ranges(Strict):
    """The ranges of the shard column: `bounds`, or `count` equal ranges from `from` to `to`."""

    bounds: list[int] | None = None
    first: int | None = msgspec.field(default=None, name="from")
    to: int | None = None
    count: int | None = None

    def all_bounds(self) -> tuple[int, ...]:
        """Return the lower bounds of all ranges in order, then the end of the last range."""
        if self.bounds is not None:
            return tuple(self.bounds)
        size, remainder = divmod(self.to - self.first, self.count)
        # The first `remainder` ranges are larger by one.
        return tuple(
            self.first + index * size + min(index, remainder) for index in range(self.count + 1)
        )


class ClassConfig(Strict):
    """A class of queries: what its answers are worth, and whether its queries may be repeated.

    An answer within `aim_ms` (extended by `aim_stretch` times the cost of the query) earns all of
    `worth`, one until `deadline_ms` the fraction `late_worth`. An answer needs at least the weight
    `floor` of its parts; below `whole_at` it is partial and earns the fraction `partial_worth`.
    `repeat_window_ms` is the time for which leaves drop repeats of keyed queries.
    """

    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_worth: float = 0.0
    repeat: Literal["safe", "keyed", "unsafe"] = "safe"
    repeat_window_ms: float | None = None
    aim_stretch: float = 0.0
    floor: float = 1.0
    whole_at: float = 1.0
    partial_worth: float = 0.0
    default: bool = False

    @property
    def writes(self) -> bool:
        """Whether the class is for writes: its queries are not idempotent by themselves."""
        return self.repeat != "safe"


class RootConfig(Strict):
    """This root: `roots` is the number of roots that share the leaves, `me` its index, from 0."""

    roots: int = 1
    me: int = 0
    zone: str = ""
    tick_ms: float = 5.0
    most_queries: int = 2000


class LimitsConfig(Strict):
    """What a root may do with its attempts; `second_copies` allows hedged requests."""

    cancel: bool = True
    second_copies: bool = True
    max_retry_after_ms: float = 5000.0
    max_attempts: int | None = 4


class RulesConfig(Strict):
    """The deployment's rules: answers in time, slow start, and the retry budget.

    A leaf that starts has the fraction `cold_from` of its capacity and is warm after `cold_s`;
    `fall_multiple` times its capacity for `fall_s` overloads it. Retries within `budget_window_s`
    are limited to `budget_free` plus the fraction `budget_share` of what was admitted.
    """

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 250.0
    cold_from: float = 1.0
    cold_s: float = 0.0
    fall_multiple: float = 3.0
    fall_s: float = 3.0
    budget_share: float | None = None
    budget_free: int = 0
    budget_window_s: float | None = None


class AuthConfig(Strict):
    """Client authentication; `trust` performs none and is for loopback and unix addresses only."""

    method: Literal["trust", "scram-sha-256"] = "trust"
    users: dict[str, str] = {}
    timeout_s: float = 10.0


class FrontConfig(Strict):
    """Limits on client connections; `message_limit` is in bytes.

    `plans` is the number of cached query plans, `prepared` that of the prepared statements that a
    session may keep.
    """

    most_connections: int = 1000
    message_limit: int = 1 << 20
    write_timeout_s: float = 30.0
    idle_s: float = 3600.0
    plans: int = 512
    prepared: int = 256


class MemoryConfig(Strict):
    """Limits on the rows that all queries together hold in memory and on disk."""

    limit_bytes: int = 256 << 20
    disk_bytes: int = 4 << 30
    # Directory of the sorted runs on disk; None: the system's directory for temporary files.
    directory: str | None = None


class LeavesConfig(Strict):
    """How the root connects to its leaves; `message_limit` is in bytes."""

    user: str = "mothnotch"
    database: str = "stock"
    password: str | None = None
    most_connections: int = 32
    connect_timeout_ms: float = 1000.0
    idle_s: float = 60.0
    message_limit: int = 16 << 20


class LogConfig(Strict):
    """The format of the log and the lowest level that is written."""

    format: Literal["console", "json"] = "json"
    level: Literal["debug", "info", "warning", "error"] = "info"
