"""Short soaks of real processes, by seed. Longer soaks are run by hand (docs/platform.md)."""

import pytest

from mothnotch.soak import run

LENGTH_S = 10.0
FAULTS = 12


@pytest.mark.parametrize("seed", [3, 4])
def test_a_short_soak_breaks_no_rule(tmp_path, seed):
    soak, verdict = run.run_soak(seed, LENGTH_S, FAULTS, tmp_path)
    assert not verdict.violations, (soak.machine_stall_s, verdict.violations[:3])
    assert verdict.counts[200] > 100
