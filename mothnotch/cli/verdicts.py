"""Print the verdicts of the rules on a scenario that was run."""

from collections.abc import Iterable

from mothnotch.audit.rules import Verdict
from mothnotch.badday.script import Scenario


def print_verdicts(verdicts: Iterable[Verdict], rule_width: int, max_violations: int) -> None:
    """Print a line for each rule, followed by its first violations."""
    for verdict in verdicts:
        violations = verdict.violations
        rule = verdict.rule.ljust(rule_width)
        print(f"  {rule} {verdict.checked:6} checked {len(violations):4} broken")
        for line in violations[:max_violations]:
            print(f"      {line}")


def fault_kinds(scenario: Scenario) -> str:
    """Return the kinds of the faults in the scenario, separated by commas."""
    return ", ".join(fault.kind for fault in scenario.troubles) or "none"
