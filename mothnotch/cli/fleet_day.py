"""Choose the scenario of a fleet day, run it, and print the verdicts."""

import json
from pathlib import Path

import msgspec

from mothnotch.audit import peers as peer_audit
from mothnotch.audit.rules import Verdict, evaluate_rules, served_worth
from mothnotch.badday import fleet
from mothnotch.badday import script as scenarios
from mothnotch.cli.application import exit_with_errors
from mothnotch.cli.verdicts import fault_kinds, print_verdicts
from mothnotch.config import ConfigError

# Limits on the violations of a rule that are printed, and that are stored in the file of --json.
MAX_VIOLATIONS_PRINTED = 3
MAX_VIOLATIONS_IN_FILE = 100
# The built-in scenario whose planted defects and removable parts also apply to scripts.
DEFAULT_SCENARIO = "peers"


def choose_scenario(name: str) -> scenarios.Scenario:
    """Return the built-in scenario of that name or the one in that file, or exit with status 2."""
    try:
        scenario = scenarios.FLEET_SCENARIOS.get(name) or scenarios.load(
            Path(name).read_text(encoding="utf-8"), name
        )
    except OSError as error:
        known = ", ".join(scenarios.FLEET_SCENARIOS)
        exit_with_errors(
            [f"{name}: not a built-in day ({known}), and cannot be read: {error.strerror}"]
        )
    except ConfigError as error:
        exit_with_errors(error.errors)
    if scenario.peers is None:
        exit_with_errors(
            [f"{name}: peers: not set; bin/mothnotch badday plays days of roots without peers"]
        )
    return scenario


def list_defects(name: str) -> list[str]:
    """Return the names of the defects that can be planted in the scenario."""
    return list(scenarios.PLANTED_DEFECTS.get(name, scenarios.PLANTED_DEFECTS[DEFAULT_SCENARIO]))


def check_defects(name: str, defect: str, removed_part: str) -> None:
    """Exit with status 2 unless the scenario has that defect and can run without that part."""
    known = list_defects(name)
    if defect and defect not in known:
        exit_with_errors([f"--breach {defect}: unknown; this day detects {', '.join(known)}"])
    parts = scenarios.REMOVABLE_PARTS.get(name, scenarios.REMOVABLE_PARTS[DEFAULT_SCENARIO])
    if removed_part and (removed_part not in parts or defect):
        exit_with_errors(
            [
                f"--without {removed_part}: this day can be played without {', '.join(parts)}, "
                "and only if --breach is not given"
            ]
        )


def run_and_evaluate(
    scenario: scenarios.Scenario,
    name: str,
    seed: int,
    virtual: bool,
    defect: str,
    removed_part: str,
    json_file: Path | None,
) -> bool:
    """Run the scenario, print the verdicts, and return whether all rules and bounds held.

    `defect` and `removed_part` have passed check_defects; an empty string means none.
    """
    scenario = msgspec.structs.replace(
        scenario, breach=f"without_{removed_part}" if removed_part else defect
    )
    play = fleet.play_virtual if virtual else fleet.play_sockets
    record, views = play(scenario, seed)
    verdicts = evaluate_rules(record) + peer_audit.evaluate_rules(views)
    defect_note = f", planted: {defect}" if defect else ""
    print(
        f"{name}, seed {seed}, {'virtual' if virtual else 'processes'}, {scenario.roots} roots, "
        f"{scenario.seconds:g} s, troubles: {fault_kinds(scenario)}{defect_note}"
    )
    print_verdicts(verdicts, rule_width=40, max_violations=MAX_VIOLATIONS_PRINTED)
    figures = peer_audit.detection_times(views)
    served = served_worth(record).get("all", 0.0)
    if json_file is not None:
        result = {
            "day": name,
            "seed": seed,
            "virtual": virtual,
            "breach": defect,
            "served": served,
            "figures": figures,
            "verdicts": [_verdict_as_json(verdict) for verdict in verdicts],
        }
        json_file.write_text(json.dumps(result, indent=1))
    broken = [verdict.rule for verdict in verdicts if verdict.violations]
    outcome = "BROKEN: " + "; ".join(broken) if broken else "All held"
    print(
        f"{outcome}: a dead root was declared gone by the first root after "
        f"{figures['first_gone_s']:.1f} s and by all after {figures['all_gone_s']:.1f} s "
        f"(bound {views.gone_bound_s:g} s), {len(views.samples)} views were requested, "
        f"and {served:.3f} of the worth was served."
    )
    return not broken


def _verdict_as_json(verdict: Verdict) -> dict:
    return {
        "rule": verdict.rule,
        "checked": verdict.checked,
        "breaches": verdict.violations[:MAX_VIOLATIONS_IN_FILE],
    }
