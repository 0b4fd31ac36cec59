"""Commands that play a day of faults and judge it: badday, fleetday.

Each command imports the modules that play and judge only when it runs: the import is slow, and the
other commands do not need it.
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
    """Play a bad day against real roots and check the six rules; exit with status 1 if one broke.

    A bad day is a workload with injected faults. SCRIPT is its file; the default is the built-in
    day. --drawn generates the day from the seed. --bench-day takes the kinds of trouble from a
    bench day file, over a day of --seconds. --virtual runs in memory on a virtual clock, where the
    same seed gives the same day.
    """
    from mothnotch.cli.bad_day import choose_day, play_and_judge

    seed = 1 if seed is None else seed
    if bench_day is not None:
        day = choose_day(bench_day=bench_day, seconds=seconds)
    else:
        day = choose_day(script=script, drawn_seed=seed if drawn else None)
    if not play_and_judge(day, seed, virtual):
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
    """Play a day of several roots with peers and faults between them; exit with status 1 if a rule
    or a bound broke.

    DAY is the name of a built-in day (peers), or the file of a script. By default each root is a
    process, with a relay on the link between each two; --virtual plays the day in memory. --breach
    NAME plants a defect that the day has to detect; --breach list prints the names of the defects.
    --without PART (health, streams) disables a part. --json FILE stores the verdicts and figures.
    """
    from mothnotch.cli.fleet_day import check_defects, choose_day, list_breaches, play_and_judge

    script = choose_day(day)
    if breach == "list":
        print("\n".join(list_breaches(day)))
        return
    check_defects(day, breach, without)
    if not play_and_judge(script, day, seed, virtual, breach, without, json_file):
        sys.exit(1)
