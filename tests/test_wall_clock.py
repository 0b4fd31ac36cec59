"""Durations are measured on the monotonic clock; only listed modules may read the wall clock."""

import ast
import pathlib

PACKAGE = pathlib.Path(__file__).resolve().parent.parent / "mothnotch"
# Modules that may read the wall clock, and their purpose.
ALLOWED_MODULES = {
    "net/arrival_clock.py": "kernel time stamps",
    "net/sockets.py": "access to the clock",
    "node/log.py": "time stamps of log lines",
    "soak/shim.py": "clock steps in tests",
    "soak/faults.py": "start times of leaves in endpoint lists",
}
WALL_CLOCK_CALLS = {
    ("time", "time"),
    ("time", "time_ns"),
    ("datetime", "now"),
    ("datetime", "utcnow"),
    ("datetime", "today"),
}


def wall_clock_reads(path):
    """Return the numbers of the lines that read the wall clock."""
    found = []
    for node in ast.walk(ast.parse(path.read_text())):
        if (
            isinstance(node, ast.Attribute)
            and isinstance(node.value, ast.Name)
            and (node.value.id, node.attr) in WALL_CLOCK_CALLS
        ):
            found.append(node.lineno)
        elif isinstance(node, ast.ImportFrom) and node.module == "time":
            found += [node.lineno for name in node.names if name.name.startswith("time")]
    return found


def test_only_listed_modules_read_the_wall_clock():
    found = {
        str(path.relative_to(PACKAGE)): wall_clock_reads(path) for path in PACKAGE.rglob("*.py")
    }
    assert {name for name, lines in found.items() if lines} == set(ALLOWED_MODULES)
