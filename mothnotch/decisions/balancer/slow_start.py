"""Slow start: how much work a server that has just started may get from this root."""

from mothnotch.decisions.interface import Rules
from mothnotch.decisions.sliding_window import SlidingWindow

WARMING_LOAD_MAX = 1.5  # multiple of its guessed present capacity that a server gets at most


class SlowStartCapacity(SlidingWindow):
    """Guards one server against being pushed over while it warms up.

    It is itself the window of the work sent there: each remembered server keeps one object less.
    """

    def __init__(self, rules: Rules, root_count: int):
        """Make it for a server that started long ago; `roots` share its capacity."""
        self.started_us = 0  # 0: long ago
        self._rules = rules
        self._root_count = root_count
        self._sent_us = 0  # the last send since its start
        self._required_credit = 0.0  # share of a part's work to be saved up before it may be sent
        super().__init__(rules.collapse_window_us)

    def restart(self, started_us: int, random_fraction: float) -> None:
        """Begin a slow start; `drawn` in [0, 1) says how much this root saves up for a first part.

        The roots draw, so that their sum holds where the share of each is under one part.
        """
        self.started_us = started_us
        self._sent_us = 0
        self._required_credit = random_fraction

    def record_send(self, now_us: int, work_us: float) -> None:
        """Count what is sent to the server."""
        self._sent_us = now_us
        self._required_credit = 1.0
        self.add(now_us, work_us)

    def admits(self, now_us: int, work_us: float) -> bool:
        """Return whether the server may get such work now.

        It gets this root's share of what one core surely does at that age, or a part once the share
        saved up since the last send makes up for it.
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
