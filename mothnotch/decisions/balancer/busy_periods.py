"""Labels a server's answers in hindsight: which of them met a busy period.

The definition of busy periods and the three noise filters are those of HEIMDALL (docs/design.md).
"""

import math
from collections import deque
from statistics import median

from mothnotch.decisions.balancer.statistics import RunningMeans

# A busy period starts when the latency is above this multiple of its baseline ...
BUSY_LATENCY_MULTIPLE = 1.6
# ... and the throughput is below this multiple of its own baseline.
BUSY_THROUGHPUT_MULTIPLE = 0.6

NOISE_ANSWERS = 3  # busy runs of up to this many answers are noise
RUN_ANSWERS_MAX = 50  # answers remembered of a busy period: an eighth of the predictor's samples


class BusyPeriodLabeler(RunningMeans):
    """Running means of one server, with the labels of its answers derived from them."""

    def __init__(self):
        """Initialize without answers and outside a busy period."""
        super().__init__()
        self._busy_run = None  # answers of the current busy period; None outside one

    def label(self, attempt, fleet: RunningMeans) -> list:
        """Add an attempt that has ended; return the attempts that are labelled now.

        They are [(attempt, 1 if it met a busy period else 0)]. The baseline is the better of the
        server's and the fleet's medians, as a server that is slow from the start has a slow median.
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
            return []  # a single slow answer gets no label
        return [(attempt, 0)]

    def _continue_run(self, attempt, baseline_throughput):
        run = self._busy_run
        if attempt.throughput >= baseline_throughput:
            self._busy_run = None  # answers of a run that was too short stay unlabelled
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
