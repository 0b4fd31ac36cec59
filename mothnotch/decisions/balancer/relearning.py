"""When the predictor's accuracy is checked, and when its unit is learned anew."""

from mothnotch.decisions.balancer.predictor import ACCURACY_MIN, BusyPeriodPredictor
from mothnotch.decisions.balancer.turn import Turn
from mothnotch.decisions.interface import Log

CHECK_INTERVAL_US = 5_000_000  # between checks of the predictor's accuracy


class Relearning:
    """Checks the predictor now and then, and spreads a relearning over several turns."""

    def __init__(self, turn: Turn, predictor: BusyPeriodPredictor, tick_us: int):
        """Make it; the first check is made in the first turn."""
        self._turn = turn
        self._predictor = predictor
        self._tick_us = tick_us
        turn.timers.schedule(0, self._check)

    def _check(self):
        self._turn.call_later(CHECK_INTERVAL_US, self._check)
        worst = self._predictor.check_accuracy()
        if worst < ACCURACY_MIN:
            self._turn.emit(Log(f"relearned: accuracy on admitted parts fell to {worst:.2f}"))
            self._run_pass()

    def _run_pass(self):
        # After a stall the next check begins a relearning while a pass of the last is still due:
        # that pass may find nothing left to do.
        if self._predictor.next_model and self._predictor.relearn_pass():
            self._turn.call_later(self._tick_us, self._run_pass)
