"""Commands that measure performance and behaviour: bench, study."""

import contextlib
import sys
import tempfile
from pathlib import Path

from mothnotch import demo as demo_fleet
from mothnotch.cli.application import app, exit_with_errors
from mothnotch.cli.leaf_processes import leaf_processes


@app.command
def bench(*, seconds: float = 5.0, clients: int = 16, profile: bool = True):
    """Compare three ways to query the same leaves, in one run: a direct connection to one leaf, a
    hand-written scatter/gather, and the root.
    """
    from mothnotch import bench as benchmark

    with (
        tempfile.TemporaryDirectory(prefix="mothnotch-") as folder,
        contextlib.ExitStack() as stack,
    ):
        rosters = [
            stack.enter_context(leaf_processes(folder, only=cell, work_ms=0))
            for cell in range(demo_fleet.CELLS)
        ]
        benchmark.run(Path(folder), rosters, seconds, clients, profile)


@app.command
def study(name: str, *, days: int = 500, seed: int = 0, sockets: bool = False):
    """Run a study described in the docs: departures, silence, flapping, watch-cpu, staleness,
    watchers, merging, hog.

    The study departures plays --days days, with seeds from --seed on, in virtual time or over
    --sockets. The exit status is 1 if a day broke a rule, or if a leaf received a new part
    later than 250 ms after the root was told of its departure.
    """
    from mothnotch.studies import catalogue, merging

    studies = {**catalogue.STUDIES, "merging": merging.study_merging, "hog": merging.study_hog}
    if name not in studies:
        exit_with_errors([f"unknown study {name!r}; known studies: {', '.join(studies)}"])
    if name == "departures":
        passed = studies[name](days, sockets, seed)
    else:
        # A study without a verdict returns None.
        passed = studies[name]() is not False
    if not passed:
        sys.exit(1)
