"""Report which holders a root's memory goes to: in the log as it grows, and in the last counts."""

import trio

from mothnotch.decisions.resource_limits import MEGABYTE
from mothnotch.net.process_memory import ProcessMemory
from mothnotch.node.memory_budgets import MemoryBudgets

# Interval of looking at the process's memory.
REPORT_INTERVAL_S = 0.5
# A line is logged whenever the own memory has grown by this fraction of the limit.
REPORT_FRACTION = 1 / 16
KILOBYTE = 1024


class MemoryReport:
    """Logs "memory use" with the own memory of the process and what each kind of holder has.

    `most_own_kb`: the largest own memory seen.
    """

    def __init__(self, memory_mb: float, budgets: MemoryBudgets, counts, log):
        """`counts()` returns the numbers of those holders that are counted, by name."""
        self.most_own_kb = 0
        self._budgets = budgets
        self._counts = counts
        self._log = log
        self._process = ProcessMemory()
        self._step_kb = REPORT_FRACTION * memory_mb * MEGABYTE / KILOBYTE
        self._reported_kb = None

    async def run(self):
        """Look at the memory until cancelled."""
        try:
            while True:
                self.update()
                await trio.sleep(REPORT_INTERVAL_S)
        finally:
            self._process.close()

    def update(self):
        """Look at the memory, and log it if it has grown by a step."""
        own_kb = self._process.own_kb()
        self.most_own_kb = max(self.most_own_kb, own_kb)
        if self._reported_kb is None:
            # The first look is the base: an idle process is no news.
            self._reported_kb = own_kb
        elif own_kb >= self._reported_kb + self._step_kb:
            self._reported_kb = own_kb
            self._log.info(
                "memory use",
                own_kb=own_kb,
                resident_kb=self._process.resident_kb(),
                **self._counts(),
                **{
                    f"{name}_bytes": budget.total_bytes
                    for name, budget in self._budgets.by_holder().items()
                },
            )

    def summary(self) -> dict:
        """Return the largest own memory and what each kind of holder had most, for the last log
        line.
        """
        most = {name: budget.most_bytes for name, budget in self._budgets.by_holder().items()}
        return {"most_own_kb": self.most_own_kb, "most_held_bytes": most}
