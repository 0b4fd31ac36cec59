"""Select the script of a fleet day, play it, and print the verdicts."""

import json
from pathlib import Path

import msgspec

from mothnotch.audit import peers as peer_audit
from mothnotch.audit.rules import Verdict, evaluate_rules, served_worth
from mothnotch.badday import fleet
from mothnotch.badday import script as scripts
from mothnotch.cli.application import exit_with_errors
from mothnotch.cli.verdicts import print_verdicts, trouble_kinds
from mothnotch.config import ConfigError

# Limits on the breaches of a rule that are printed, and that are stored in the file of --json.
MAX_BREACHES_PRINTED = 3
MAX_BREACHES_IN_FILE = 100
# The built-in day whose defects and optional parts also apply to scripts from files.
DEFAULT_DAY = "peers"


def choose_day(day: str) -> scripts.Scenario:
    """Return the built-in day of that name or the script in that file, or exit with status 2."""
    try:
        script = scripts.FLEET_SCENARIOS.get(day) or scripts.load(
            Path(day).read_text(encoding="utf-8"), day
        )
    except OSError as error:
        known = ", ".join(scripts.FLEET_SCENARIOS)
        exit_with_errors(
            [f"{day}: not a built-in day ({known}), and cannot be read: {error.strerror}"]
        )
    except ConfigError as error:
        exit_with_errors(error.errors)
    if script.peers is None:
        exit_with_errors(
            [f"{day}: peers: not set; bin/mothnotch badday plays days of roots without peers"]
        )
    return script


def list_breaches(day: str) -> list[str]:
    """Return the names of the defects that can be planted in the day."""
    return list(scripts.PLANTED_DEFECTS.get(day, scripts.PLANTED_DEFECTS[DEFAULT_DAY]))


def check_defects(day: str, breach: str, without: str) -> None:
    """Exit with status 2 if the day does not support that breach, or leaving out that part."""
    known = list_breaches(day)
    if breach and breach not in known:
        exit_with_errors([f"--breach {breach}: unknown; this day detects {', '.join(known)}"])
    parts = scripts.REMOVABLE_PARTS.get(day, scripts.REMOVABLE_PARTS[DEFAULT_DAY])
    if without and (without not in parts or breach):
        exit_with_errors(
            [
                f"--without {without}: this day can be played without {', '.join(parts)}, "
                "and only if --breach is not given"
            ]
        )


def play_and_judge(
    script: scripts.Scenario,
    day: str,
    seed: int,
    virtual: bool,
    breach: str,
    without: str,
    json_file: Path | None,
) -> bool:
    """Play the day, print the verdicts, and return whether all rules and bounds held.

    `breach` and `without` have passed check_defects; an empty string means none.
    """
    script = msgspec.structs.replace(script, breach=f"without_{without}" if without else breach)
    play = fleet.play_virtual if virtual else fleet.play_sockets
    record, views = play(script, seed)
    verdicts = evaluate_rules(record) + peer_audit.evaluate_rules(views)
    defect_note = f", planted: {breach}" if breach else ""
    print(
        f"{day}, seed {seed}, {'virtual' if virtual else 'processes'}, {script.roots} roots, "
        f"{script.seconds:g} s, troubles: {trouble_kinds(script)}{defect_note}"
    )
    print_verdicts(verdicts, rule_width=40, max_breaches=MAX_BREACHES_PRINTED)
    figures = peer_audit.detection_times(views)
    served = served_worth(record).get("all", 0.0)
    if json_file is not None:
        result = {
            "day": day,
            "seed": seed,
            "virtual": virtual,
            "breach": breach,
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
        "breaches": verdict.violations[:MAX_BREACHES_IN_FILE],
    }
