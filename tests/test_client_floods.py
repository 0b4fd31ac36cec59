"""Bad clients at a root under limits of memory and descriptors: nothing is lost, and it stays up.

Each test is a load of real processes, in the words of the platform's pages and of operators.
"""

import pytest

from tests.support.client_flood import run_flood
from tests.support.platform_rig import on_real_sockets

FLOOD_S = 3.0
HUNDREDS = 300


async def check_flood(tmp_path, *loads, **options):
    """Run a flood, and check that usual clients were answered and the root stayed up."""
    flood = await run_flood(tmp_path, loads, FLOOD_S, **options)
    assert flood.kept_rules, flood
    assert flood.statuses.get(200), flood
    return flood


@on_real_sockets
@pytest.mark.parametrize("kind", ["many-fields", "many-fields-without-end", "many-trailers"])
async def test_hundreds_of_heads_of_very_many_short_fields(tmp_path, kind):
    """Guards against heads whose fields fill the memory while their bodies are awaited, and whose
    parsing delays the answers of others.
    """
    await check_flood(tmp_path, (kind, HUNDREDS))
