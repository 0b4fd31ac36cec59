"""Checks the accuracy of the predictor periodically, and schedules its relearning."""

from mothnotch.decisions.balancer.predictor import ACCURACY_MIN, BusyPeriodPredictor
from mothnotch.decisions.balancer.turn import Turn
from mothnotch.decisions.interface import Log

CHECK_INTERVAL_US = 5_000_000  # between accuracy checks


class Relearning:
    """Checks the predictor periodically, and spreads a relearning over several turns."""

    def __init__(self, turn: Turn, predictor: BusyPeriodPredictor, tick_us: int):
        """Initialize and schedule the first check for the first turn."""
        self._turn = turn
        self._predictor = predictor
        self._tick_us = tick_us
        turn.timers.schedule(0, self._check)

    def _check(self):
        self._turn.call_later(CHECK_INTERVAL_US, self._check)
        worst = self._predictor.check_accuracy()
        if worst < ACCURACY_MIN:
            self._turn.emit(
                Log(f"relearning the predictor: accuracy at the worst server fell to {worst:.2f}")
            )
            self._run_pass()

    def _run_pass(self):
        # After a stall the next check may start a relearning while passes of the last are still
        # scheduled: such a pass may find nothing left to do.
        if self._predictor.next_model and self._predictor.relearn_pass():
            self._turn.call_later(self._tick_us, self._run_pass)
