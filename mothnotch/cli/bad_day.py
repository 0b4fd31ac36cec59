"""Choose the scenario of a bad day, run it, and print the verdicts."""

import json
from pathlib import Path

from mothnotch.audit.rules import DayRecord, evaluate_rules, served_worth
from mothnotch.badday import play
from mothnotch.badday import script as scenarios
from mothnotch.cli.application import exit_with_errors
from mothnotch.cli.verdicts import fault_kinds, print_verdicts
from mothnotch.config import ConfigError

# Limit on the printed violations of a rule; the first ones suffice to tell what is wrong.
MAX_VIOLATIONS_PRINTED = 5
# Outcomes of queries whose client waited for the end; a query whose client left has no latency.
ENDED_OUTCOMES = ("answered", "refused", "failed")


def choose_scenario(
    *,
    script_path: Path | None = None,
    drawn_seed: int | None = None,
    bench_day_path: Path | None = None,
    seconds: float = 20.0,
) -> scenarios.Scenario:
    """Return the scenario of the bench day file, of the drawn seed, of the script, or the default.

    Exit with status 2 if a file is invalid.
    """
    try:
        if bench_day_path is not None:
            return _read_bench_day(bench_day_path, seconds)
        if drawn_seed is not None:
            return scenarios.random_scenario(drawn_seed)
        if script_path is None:
            return scenarios.DEFAULT
        return scenarios.load(script_path.read_text(encoding="utf-8"), script_path)
    except OSError as error:
        exit_with_errors([f"{error.filename}: cannot be read: {error.strerror}"])
    except (KeyError, TypeError, ValueError) as error:
        exit_with_errors([f"{bench_day_path}: not a bench day: {type(error).__name__}: {error}"])
    except ConfigError as error:
        exit_with_errors(error.errors)


def _read_bench_day(path: Path, seconds: float) -> scenarios.Scenario:
    """Return the scenario in a bench day file, and print which parts of the file are left out."""
    scenario, notes = scenarios.scenario_from_bench_day(
        json.loads(path.read_text(encoding="utf-8")), seconds
    )
    for note in notes:
        print(f"{path}: {note}")
    return scenario


def run_and_evaluate(scenario: scenarios.Scenario, seed: int, virtual: bool) -> bool:
    """Run the scenario, print the verdicts, and return whether all rules held."""
    record = play.play_virtual(scenario, seed) if virtual else play.play_sockets(scenario, seed)
    verdicts = evaluate_rules(record)
    print(
        f"seed {seed}, {'virtual' if virtual else 'sockets'}, {scenario.roots} roots, "
        f"{scenario.seconds:g} s, troubles: {fault_kinds(scenario)}"
    )
    _print_outcomes(record)
    print_verdicts(verdicts, rule_width=32, max_violations=MAX_VIOLATIONS_PRINTED)
    _print_latencies(record, scenario.load.timeout_ms)
    shares = ", ".join(
        f"{name} {share:.3f}" for name, share in sorted(served_worth(record).items())
    )
    print(f"service: {shares}")
    return not any(verdict.violations for verdict in verdicts)


def _print_outcomes(record: DayRecord) -> None:
    """Print the number of queries by outcome."""
    counts = {}
    for query in record.queries:
        outcome = query.outcome or "none"
        counts[outcome] = counts.get(outcome, 0) + 1
    summary = ", ".join(f"{outcome} {count}" for outcome, count in sorted(counts.items()))
    print(f"asked {len(record.queries)}: {summary}")


def _print_latencies(record: DayRecord, timeout_ms: float) -> None:
    """Print the latency percentiles of each kind of query."""
    for kind in sorted({query.class_name for query in record.queries}):
        latencies_s = sorted(
            query.ended_at - query.started_at
            for query in record.queries
            if query.class_name == kind and query.outcome in ENDED_OUTCOMES
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
