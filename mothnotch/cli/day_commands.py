"""Commands that run a scenario with faults and evaluate the rules on it: badday, fleetday.

Each command imports the modules for this only when it runs: the import is slow, and the other
commands do not need it.
"""

import sys
from pathlib import Path
from typing import Annotated

import cyclopts

from mothnotch.cli.application import app


@app.command
def badday(
    script: Path | None = None,
    *,
    seed: int | None = None,
    virtual: bool = False,
    drawn: bool = False,
    bench_day: Path | None = None,
    seconds: float = 20.0,
):
    """Run a bad day against real roots and check the six rules; exit with status 1 if one broke.

    A bad day is a scenario of load and injected faults. SCRIPT is its file; the default is the
    built-in scenario. --drawn generates it from the seed. --bench-day takes the kinds of fault from
    a bench day file, over --seconds. --virtual runs in memory on a virtual clock, where the same
    seed gives the same run.
    """
    from mothnotch.cli.bad_day import choose_scenario, run_and_evaluate

    seed = 1 if seed is None else seed
    if bench_day is not None:
        scenario = choose_scenario(bench_day_path=bench_day, seconds=seconds)
    else:
        scenario = choose_scenario(script_path=script, drawn_seed=seed if drawn else None)
    if not run_and_evaluate(scenario, seed, virtual):
        drawn_option = " --drawn" if drawn else ""
        print(f"replay: bin/mothnotch badday {script or ''} --seed {seed}{drawn_option} --virtual")
        sys.exit(1)


@app.command
def fleetday(
    day: str,
    *,
    seed: int = 1,
    virtual: bool = False,
    breach: str = "",
    without: str = "",
    json_file: Annotated[Path | None, cyclopts.Parameter(name="--json")] = None,
):
    """Run a day of several roots with peers and faults between them; exit with status 1 if a rule
    or a bound broke.

    DAY is the name of a built-in scenario (peers), or the file of a script. By default each root is
    a process, with a relay on the link between each two; --virtual runs in memory. --breach NAME
    plants a defect that the rules have to detect; --breach list prints the names of the defects.
    --without PART (health, streams) disables a part. --json FILE stores the verdicts and figures.
    """
    from mothnotch.cli.fleet_day import (
        check_defects,
        choose_scenario,
        list_defects,
        run_and_evaluate,
    )

    scenario = choose_scenario(day)
    if breach == "list":
        print("\n".join(list_defects(day)))
        return
    check_defects(day, breach, without)
    if not run_and_evaluate(scenario, day, seed, virtual, breach, without, json_file):
        sys.exit(1)
