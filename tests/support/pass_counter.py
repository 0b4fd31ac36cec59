"""Counting of the event loop's passes, for tests of what happens within one."""

import trio


class PassCounter(trio.abc.Instrument):
    """Counts the passes of trio's scheduler since it was added as an instrument."""

    def __init__(self):
        """Start at zero."""
        self.passes = 0

    def after_io_wait(self, timeout):
        """Count a pass."""
        self.passes += 1
