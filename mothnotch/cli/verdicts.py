"""Print the verdicts on a played day."""

from collections.abc import Iterable

from mothnotch.audit.rules import Verdict
from mothnotch.badday.script import Scenario


def print_verdicts(verdicts: Iterable[Verdict], rule_width: int, max_breaches: int) -> None:
    """Print a line for each rule, followed by its first breaches."""
    for verdict in verdicts:
        breaches = verdict.violations
        rule = verdict.rule.ljust(rule_width)
        print(f"  {rule} {verdict.checked:6} checked {len(breaches):4} broken")
        for line in breaches[:max_breaches]:
            print(f"      {line}")


def trouble_kinds(day: Scenario) -> str:
    """Return the kinds of the troubles of the day, separated by commas."""
    return ", ".join(trouble.kind for trouble in day.troubles) or "none"
