"""Start times of leaves on the root's own clock, and lists that leave a leaf out. Pure."""
import pytest

from mothnotch.decisions import interface as i
from mothnotch.decisions.balance import Balancer
from mothnotch.decisions.invariants import Invariant, SlowStart, Violations
from mothnotch.decisions.settings import settings
from tests.platform_day import options

S = 1_000_000
WALL = 1_700_000_000.0




# ---- lists that leave a leaf out ----



# ---- the time a leaf is told ----

@pytest.mark.parametrize("cancel", [True, False])
def test_no_attempt_is_given_more_time_than_its_query_has(cancel):
    """Where nothing can be cancelled the limit is the module's patience, which a short time does not cover."""
    b = Balancer(settings(options(limits={"cancel": cancel})), 1)
    b.handle(0, [i.ListNews(i.News.FULL, 1, tuple(i.Entry(f"s{n}", "a", n, "up", 1.0, 0) for n in range(4)))])
    actions = b.handle(S, [i.QueryArrived("q", 1, "read", "t", "k", S + 120_000, 50_000, False),
                           i.PartArrived("q.0", 1, 0, 1.0, 50_000)])
    sends = [action for action in actions if isinstance(action, i.Send)]
    assert len(sends) == 1 and sends[0].limit_us <= 120_000


# ---- what is checked at run time ----
