"""Select the script of a bad day, play it, and print the verdicts."""

import json
from pathlib import Path

from mothnotch.audit.rules import DayRecord, evaluate_rules, served_worth
from mothnotch.badday import play
from mothnotch.badday import script as scripts
from mothnotch.cli.application import exit_with_errors
from mothnotch.cli.verdicts import print_verdicts, trouble_kinds
from mothnotch.config import ConfigError

# Limit on the printed breaches of a rule; the first ones suffice to tell what is wrong.
MAX_BREACHES_PRINTED = 5
# Outcomes of queries whose client waited for the end; a query whose client left has no latency.
ENDED_OUTCOMES = ("answered", "refused", "failed")


def choose_day(
    *,
    script: Path | None = None,
    drawn_seed: int | None = None,
    bench_day: Path | None = None,
    seconds: float = 20.0,
) -> scripts.Scenario:
    """Return the day in the bench day file, drawn from the seed, in the script, or the default.

    Exit with status 2 if a file is invalid.
    """
    try:
        if bench_day is not None:
            return _read_bench_day(bench_day, seconds)
        if drawn_seed is not None:
            return scripts.random_scenario(drawn_seed)
        if script is None:
            return scripts.DEFAULT
        return scripts.load(script.read_text(encoding="utf-8"), script)
    except OSError as error:
        exit_with_errors([f"{error.filename}: cannot be read: {error.strerror}"])
    except (KeyError, TypeError, ValueError) as error:
        exit_with_errors([f"{bench_day}: not a bench day: {type(error).__name__}: {error}"])
    except ConfigError as error:
        exit_with_errors(error.errors)


def _read_bench_day(path: Path, seconds: float) -> scripts.Scenario:
    """Return the day in a bench day file, and print which parts of the file are left out."""
    day, notes = scripts.scenario_from_bench_day(
        json.loads(path.read_text(encoding="utf-8")), seconds
    )
    for note in notes:
        print(f"{path}: {note}")
    return day


def play_and_judge(day: scripts.Scenario, seed: int, virtual: bool) -> bool:
    """Play the day, print the verdicts, and return whether all rules held."""
    record = play.play_virtual(day, seed) if virtual else play.play_sockets(day, seed)
    verdicts = evaluate_rules(record)
    print(
        f"seed {seed}, {'virtual' if virtual else 'sockets'}, {day.roots} roots, "
        f"{day.seconds:g} s, troubles: {trouble_kinds(day)}"
    )
    _print_outcomes(record)
    print_verdicts(verdicts, rule_width=32, max_breaches=MAX_BREACHES_PRINTED)
    _print_latencies(record, day.load.timeout_ms)
    shares = ", ".join(
        f"{name} {share:.3f}" for name, share in sorted(served_worth(record).items())
    )
    print(f"service: {shares}")
    return not any(verdict.violations for verdict in verdicts)


def _print_outcomes(record: DayRecord) -> None:
    """Print the number of queries by outcome."""
    counts = {}
    for ask in record.queries:
        outcome = ask.outcome or "none"
        counts[outcome] = counts.get(outcome, 0) + 1
    summary = ", ".join(f"{outcome} {count}" for outcome, count in sorted(counts.items()))
    print(f"asked {len(record.queries)}: {summary}")


def _print_latencies(record: DayRecord, timeout_ms: float) -> None:
    """Print the latency percentiles of each kind of query."""
    for kind in sorted({ask.class_name for ask in record.queries}):
        latencies_s = sorted(
            ask.ended_at - ask.started_at
            for ask in record.queries
            if ask.class_name == kind and ask.outcome in ENDED_OUTCOMES
        )
        if not latencies_s:
            continue
        count = len(latencies_s)
        p50_ms = latencies_s[count // 2] * 1000
        p99_ms = latencies_s[int(count * 0.99)] * 1000
        print(
            f"  {kind:14} {count:5} ended, p50 {p50_ms:6.0f} ms, p99 {p99_ms:6.0f} ms, "
            f"client timeout {timeout_ms:.0f} ms"
        )
