"""Print a full-fleet benchmark's journal entries as the tables of docs/platform.md.

    python -m mothnotch.studies.fleetdays journal/ENTRY.json [ENTRY.json ...]

Each simulated day of each entry is one row: the G score, the service of a reference policy that
sees the true state with a delay, refusals, and the connections of all roots together, computed from
the mean per root. The journal entries are only read.
"""

import json
import sys

COLUMNS = (
    "day",
    "roots x leaves",
    "G of top",
    "score",
    "served (late-seeing)",
    "refused (early)",
    "further a part",
    "connections, all roots",
    "worst class",
)


def table_row(day):
    """Return the cells of one day's row, in the order of COLUMNS."""
    signature = day.get("signature", {})
    # The entries of `by_class` are (class, served share, share that the gate requires).
    worst = min(day.get("by_class") or (), key=lambda c: c[1], default=None)
    get = lambda key: signature.get(key, float("nan"))  # noqa: E731
    return (
        day["name"],
        f"{day['nodes']} x {day['servers']}",
        f"{day['G']:.3f} of {day['G_top']:.3f}",
        f"{day['score']:.2f}",
        f"{day['served']:.3f} ({day['served_late']:.3f})",
        f"{get('refused_share'):.1%} ({get('refused_early_share'):.0%})",
        f"{get('further_sends_a_part'):.3f}",
        f"{get('connections_per_instance') * day['nodes']:.0f}",
        f"{worst[0]} {worst[1]:.3f}" if worst else "-",
    )


def main(paths):
    """Print the table of all entries."""
    print("| " + " | ".join(COLUMNS) + " |\n|" + " --- |" * len(COLUMNS))
    for path in paths:
        with open(path, encoding="utf-8") as file:
            entry = json.load(file)
        for day in entry["days"]:
            print("| " + " | ".join(table_row(day)) + " |")


if __name__ == "__main__":
    main(sys.argv[1:])
