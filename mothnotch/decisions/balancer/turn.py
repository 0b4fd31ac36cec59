"""The current turn, one call of `Balancer.handle`: its time, its actions, and the timers."""

from collections.abc import Callable

from mothnotch.decisions.balancer.timers import Timers


class Turn:
    """State of the current turn that all components of a balancer share."""

    def __init__(self):
        """Initialize without actions and timers."""
        self.now_us = 0
        self.actions = []
        self.timers = Timers()

    def begin(self, now_us: int) -> None:
        """Begin a turn at this time, with a new list of actions."""
        self.now_us = now_us
        self.actions = []

    def emit(self, action) -> None:
        """Add an action; the caller executes the actions in this order."""
        self.actions.append(action)

    def call_later(self, delay_us: float, call: Callable, *arguments) -> None:
        """Schedule the call for the given delay after the current turn."""
        self.timers.schedule(self.now_us + delay_us, call, *arguments)
