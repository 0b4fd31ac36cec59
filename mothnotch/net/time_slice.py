"""Bound the time for which a task runs without letting the others run."""

import trio


class TimeSlice:
    """The time since a task last let the others run, of which it may use `limit_s`."""

    def __init__(self, limit_s: float):
        """Begin now."""
        self._limit_s = limit_s
        self._started_s = trio.current_time()

    def restart(self) -> None:
        """Begin anew, as the task has just waited for something."""
        self._started_s = trio.current_time()

    async def yield_if_over(self) -> None:
        """Let the other tasks run if the time is used up."""
        if trio.current_time() - self._started_s >= self._limit_s:
            await trio.lowlevel.checkpoint()
            self.restart()
