"""Labels of answers by busy period: which of a server's answers met one, in hindsight.

The periods and the three filters of noise are the paper's (docs/design.md).
"""

import math
from collections import deque
from statistics import median

from mothnotch.decisions.balancer.statistics import RunningMeans

BUSY_LATENCY_MULTIPLE = 1.6  # of the median: over it, with low throughput, a busy period starts
BUSY_THROUGHPUT_MULTIPLE = 0.6  # of the median: under it
NOISE_ANSWERS = 3  # busy runs up to this long are noise
RUN_ANSWERS_MAX = 50  # of a busy period that are remembered: an eighth of the predictor's samples


class BusyPeriodLabeler(RunningMeans):
    """The running means of one server, by which its answers are labelled."""

    def __init__(self):
        """Make it with nothing seen, and no busy period under way."""
        super().__init__()
        self._busy_run = None  # answers of the busy period under way

    def label(self, attempt, fleet: RunningMeans) -> list:
        """Take in an attempt that has ended; return what is labelled now.

        That is [(attempt, 1 if it met a busy period else 0)]. The calm level is the better of the
        server's and the fleet's medians: a server slow from the start has a slow median of its own.
        """
        baseline_latency_us = min(self.median_latency_us or math.inf, fleet.median_latency_us)
        baseline_throughput = max(self.median_throughput or 0, fleet.median_throughput)
        if self._busy_run is not None:
            return self._continue_run(attempt, baseline_throughput)
        is_slow = attempt.latency_us > BUSY_LATENCY_MULTIPLE * baseline_latency_us
        is_low_throughput = attempt.throughput < BUSY_THROUGHPUT_MULTIPLE * baseline_throughput
        if is_slow and is_low_throughput:
            self._busy_run = deque([attempt], maxlen=RUN_ANSWERS_MAX)
        if is_slow or is_low_throughput:
            return []  # a lone slow answer is dropped
        return [(attempt, 0)]

    def _continue_run(self, attempt, baseline_throughput):
        run = self._busy_run
        if attempt.throughput >= baseline_throughput:
            self._busy_run = None  # a run that was too short ends unlabelled
            return [(attempt, 0)]
        run.append(attempt)
        if len(run) <= NOISE_ANSWERS:
            return []
        labelled = run if len(run) == NOISE_ANSWERS + 1 else [attempt]
        latency_us = median(each.latency_us for each in run)
        throughput = median(each.throughput for each in run)
        return [
            (each, 1)
            for each in labelled
            if not (each.latency_us < latency_us and each.throughput > throughput)
        ]
