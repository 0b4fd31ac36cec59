"""Slow start: limits the work that this root sends to a server that has just started."""

from mothnotch.decisions.interface import Rules
from mothnotch.decisions.sliding_window import SlidingWindow

WARMING_LOAD_MAX = 1.5  # a warming server gets at most this multiple of its guaranteed capacity


class SlowStartCapacity(SlidingWindow):
    """Keeps one server from collapsing under load while it warms up.

    It is a subclass of the sliding window over the work sent to the server, not its owner: this
    saves one object per remembered server.
    """

    def __init__(self, rules: Rules, root_count: int):
        """Initialize for a server that started long ago and is shared by all roots."""
        self.started_us = 0  # 0: long ago
        self._rules = rules
        self._root_count = root_count
        self._sent_us = 0  # time of the last send since its start
        self._required_credit = 0.0  # credit that a part needs, as a share of its work
        super().__init__(rules.collapse_window_us)

    def restart(self, started_us: int, random_fraction: float) -> None:
        """Begin a slow start.

        `random_fraction` in [0, 1) is the credit that the first part needs, as a share of its work.
        It is random so that the roots together keep to the server's capacity even if the share of
        each is less than one part.
        """
        self.started_us = started_us
        self._sent_us = 0
        self._required_credit = random_fraction

    def record_send(self, now_us: int, work_us: float) -> None:
        """Count work sent to the server."""
        self._sent_us = now_us
        self._required_credit = 1.0
        self.add(now_us, work_us)

    def admits(self, now_us: int, work_us: float) -> bool:
        """Return whether the server may get this much work now.

        Within the window it gets this root's share of the server's guaranteed capacity at its age,
        where a warm server counts as one core. Beyond that, a part is sent once the credit accrued
        since the last send covers it.
        """
        age_us = now_us - self.started_us
        if not self.started_us or age_us >= self._rules.slow_start_us:
            return True
        capacity_share = (
            min(WARMING_LOAD_MAX, self._rules.collapse_multiple)
            * self._rules.guaranteed_capacity(age_us)
            / self._root_count
        )
        credit_us = (now_us - max(self.started_us, self._sent_us)) * capacity_share
        return (
            self.total(now_us) + work_us <= capacity_share * self._rules.collapse_window_us
            or credit_us >= self._required_credit * work_us
        )
