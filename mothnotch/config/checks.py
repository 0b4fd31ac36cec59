"""Validate each section of the configuration beyond its types: value ranges and dependencies."""

from itertools import pairwise
from pathlib import Path

from mothnotch import net
from mothnotch.config.discovery_checks import ErrorReporter, check_consul, check_peers
from mothnotch.config.root_config import Config
from mothnotch.config.sections import ClassConfig, MemoryConfig, Ranges, RulesConfig, TableConfig
from mothnotch.sql.schema import TYPE_NAMES

# The PostgreSQL type OIDs of int8, int2 and int4: range bounds are integers.
INTEGER_TYPE_OIDS = (20, 21, 23)
# With less memory, the merge of an answer could hold too few rows at a time.
MIN_MEMORY_BYTES = 1 << 16


def check(config: Config, path="configuration") -> list[str]:
    """Return every error that type conversion does not find, one line each, prefixed by `path`."""
    errors = []

    def report(where: str, problem: str) -> None:
        errors.append(f"{path}: {where}: {problem}")

    _check_listen(config, report)
    if (config.roster is None) == (config.consul is None):
        report("roster", "set either roster (a file) or consul")
    _check_memory(config.memory, report)
    _check_discovery(config, report)
    if config.auth.method != "trust" and not config.auth.users:
        report("auth.users", "must list the users and their passwords")
    for name, table in config.tables.items():
        _check_table(f"tables.{name}", table, report)
    _check_ranges(config.ranges, report)
    _check_cells(config, report)
    for name, query_class in config.classes.items():
        _check_class(f"classes.{name}", query_class, report)
    _check_default_classes(config.classes, report)
    if not 0 <= config.root.me < config.root.roots:
        report("root.me", f"must be between 0 and roots - 1 ({config.root.roots - 1})")
    _check_rules(config.rules, report)
    return errors


def _check_listen(config: Config, report: ErrorReporter) -> None:
    for index, address in enumerate(config.listen):
        try:
            parsed = net.parse_address(address)
        except net.AddressError as error:
            report(f"listen[{index}]", str(error))
            continue
        if config.auth.method == "trust" and not _is_local(parsed):
            report(
                "auth.method",
                f"trust would accept any client at {address} without a password; "
                "use scram-sha-256 or listen on loopback",
            )
    if not config.listen:
        report("listen", "must contain at least one address")


def _is_local(parsed: tuple) -> bool:
    """Return whether a parsed address can be reached only from this machine."""
    kind, host, *_ = parsed
    return kind != "tcp" or host.startswith("127.") or host in ("localhost", "::1")


def _check_memory(memory: MemoryConfig, report: ErrorReporter) -> None:
    if memory.limit_bytes < MIN_MEMORY_BYTES or memory.disk_bytes < 0:
        report("memory", "limit_bytes must be at least 65536, disk_bytes at least 0")
    if memory.directory is not None and not Path(memory.directory).is_dir():
        report("memory.directory", f"{memory.directory!r} is not a directory")


def _check_discovery(config: Config, report: ErrorReporter) -> None:
    if config.consul is not None:
        check_consul(config.consul, report)
    if config.peers is None:
        return
    check_peers(config.peers, report)
    is_registered = config.consul is not None and config.consul.register is not None
    listens_on_all_interfaces = config.peers.listen.startswith("0.0.0.0:")
    if is_registered and listens_on_all_interfaces and config.peers.address is None:
        report(
            "peers.address",
            "must be set: the other roots cannot reach the registered address 0.0.0.0",
        )


def _check_table(where: str, table: TableConfig, report: ErrorReporter) -> None:
    if table.shard_by not in table.columns:
        report(f"{where}.shard_by", f"{table.shard_by!r} is not one of the columns of the table")
    elif TYPE_NAMES.get(table.columns[table.shard_by].lower()) not in INTEGER_TYPE_OIDS:
        report(f"{where}.shard_by", f"{table.shard_by!r} must be of an integer type")
    for column, kind in table.columns.items():
        if kind.lower() not in TYPE_NAMES:
            known = ", ".join(TYPE_NAMES)
            report(f"{where}.columns.{column}", f"unknown type {kind!r}; known types: {known}")
        if column != column.lower():
            report(f"{where}.columns.{column}", "column names must be lower case")


def _check_ranges(ranges: Ranges, report: ErrorReporter) -> None:
    if ranges.bounds is not None:
        is_ascending = all(lower < upper for lower, upper in pairwise(ranges.bounds))
        if len(ranges.bounds) < 2 or not is_ascending:
            report("ranges.bounds", "must contain at least two values, in strictly ascending order")
    elif None in (ranges.first, ranges.to, ranges.count):
        report("ranges", "set either bounds, or all of from, to and count")
    elif ranges.count < 1 or ranges.to - ranges.first < ranges.count:
        report(
            "ranges.count",
            f"{ranges.count} ranges do not fit between {ranges.first} and {ranges.to}",
        )


def _check_cells(config: Config, report: ErrorReporter) -> None:
    if config.cells < 1:
        report("cells", "must be at least 1")
    if not 1 <= config.reach <= max(1, config.cells):
        report("reach", f"must be between 1 and cells ({config.cells})")


def _check_class(where: str, query_class: ClassConfig, report: ErrorReporter) -> None:
    floor = query_class.floor
    whole_at = query_class.whole_at
    deadline_ms = query_class.deadline_ms
    if not 0 < query_class.aim_ms <= deadline_ms:
        report(f"{where}.aim_ms", f"must be above 0 and at most deadline_ms ({deadline_ms:g})")
    if query_class.repeat == "keyed" and not query_class.repeat_window_ms:
        report(
            f"{where}.repeat_window_ms",
            "must be set for a keyed class: the time for which leaves drop repeats",
        )
    if not 0 < floor <= 1 or not 0 < whole_at <= 1:
        report(f"{where}.floor", "floor and whole_at must be above 0 and at most 1")
    if query_class.writes and (floor < 1 or whole_at < 1):
        report(
            f"{where}.floor",
            "floor and whole_at must be 1 for a class for writes, which needs all parts",
        )
    if query_class.default and floor < 1:
        report(
            f"{where}.default",
            "a class with a floor below 1 must not be a default: a client that has not selected "
            "the class by name would take a partial answer for a complete one",
        )


def _check_default_classes(classes: dict[str, ClassConfig], report: ErrorReporter) -> None:
    default_classes = [query_class for query_class in classes.values() if query_class.default]
    write_count = sum(query_class.writes for query_class in default_classes)
    if len(default_classes) - write_count != 1:
        report("classes", "exactly one class for reads (repeat: safe) must have default: true")
    if write_count != 1:
        report(
            "classes",
            "exactly one class for writes (repeat: keyed or unsafe) must have default: true",
        )


def _check_rules(rules: RulesConfig, report: ErrorReporter) -> None:
    if (rules.budget_share is None) != (rules.budget_window_s is None):
        report("rules.budget_window_s", "budget_share and budget_window_s must be set together")
    if not 0 < rules.cold_from <= 1:
        report("rules.cold_from", "must be above 0 and at most 1")
