"""Policy for opening watches of discovery's endpoint list, and for the root's readiness.

Pure: callers pass in the watches' events and the time. All times are in seconds.
"""

import math
from collections.abc import Callable

# Interval at which a watch sends a message, even if nothing has changed.
HEARTBEAT_INTERVAL_S = 2.0
# Number of heartbeat intervals of silence after which another watch is opened.
MAX_SILENT_HEARTBEATS = 2.25
# Time that a new watch has to send its first message, initially and at most. Doubled with each
# further watch, so that a slow agent is not sent many requests.
FIRST_MESSAGE_TIMEOUT_S = 0.5
MAX_FIRST_MESSAGE_TIMEOUT_S = 6.0
# Backoff between opening the last watch and replacing it once it broke, initially and at most: a
# drain that the agent has by then must be known within its grace.
REOPEN_DELAY_S = 0.04
MAX_REOPEN_DELAY_S = 0.08
# Timeout for connecting a watch.
CONNECT_TIMEOUT_S = 1.0
# Maximum number of open watches; beyond it the oldest is closed.
MAX_OPEN_WATCHES = 3
# Time after which a root that received no list becomes ready with its configured list.
READY_TIMEOUT_S = 8.0
# Time after which a client that a root rejects, as it is not ready, may try it again.
NOT_READY_RETRY_AFTER_US = 200_000
# Delay before an invalid configuration is read again, as it may have been read while being written.
RELOAD_RETRY_S = 0.1
# Time after which reloading an invalid configuration gives up.
RELOAD_TIMEOUT_S = 3.0


class WatchPolicy:
    """Decide when to open another watch, beside the open ones or in place of a broken one.

    The platform counts a root as notified of the agent's list whether or not a watch is open, and
    of a change soon after a silent watch missed it. Therefore a silent watch is not closed for a
    new one, which may be silent as well: both stay open, and the first that sends a message
    replaces the others. Guards against watches that fall silent, are silent from the start or break
    repeatedly. Cost: an agent that is down gets up to 25 requests a second while it refuses
    watches, and `max_open` watches while it accepts them.
    """

    connect_timeout_s = CONNECT_TIMEOUT_S
    max_open = MAX_OPEN_WATCHES

    def __init__(self, random: Callable[[], float], now_s: float = 0.0):
        """Start without a watch, the first being due; `random()` returns numbers from 0 to 1."""
        self.random = random
        self.started_s = now_s
        # When the root becomes ready without a message.
        self.ready_at_s = now_s + READY_TIMEOUT_S
        # When the next watch is due.
        self.next_open_s = now_s
        self.open_count = 0
        self.last_opened_s = -math.inf
        # Whether any watch has sent a message.
        self.has_received = False
        self.reopen_delay_s = REOPEN_DELAY_S
        self.first_message_timeout_s = FIRST_MESSAGE_TIMEOUT_S

    def on_opened(self, now_s: float) -> None:
        """Record that a watch was opened."""
        self.open_count += 1
        self.last_opened_s = now_s
        self.next_open_s = now_s + self.first_message_timeout_s
        self.first_message_timeout_s = min(
            MAX_FIRST_MESSAGE_TIMEOUT_S, 2 * self.first_message_timeout_s
        )

    def on_message(self, now_s: float) -> None:
        """Record that a watch sent a message; the caller closes the others."""
        self.has_received = True
        self.open_count = 1
        self._reset_backoff()
        self.next_open_s = now_s + HEARTBEAT_INTERVAL_S * MAX_SILENT_HEARTBEATS

    def on_broken(self, now_s: float) -> None:
        """Record that a watch ended; schedule another, with jitter, if it was the last one."""
        self.open_count -= 1
        if self.open_count == 0:
            earliest_s = self.last_opened_s + self.reopen_delay_s * (0.5 + self.random() / 2)
            self.next_open_s = min(self.next_open_s, max(now_s, earliest_s))
            self.reopen_delay_s = min(MAX_REOPEN_DELAY_S, 2 * self.reopen_delay_s)

    def on_agent_changed(self, now_s: float) -> None:
        """Record a switch to another agent; the open watches no longer count."""
        self.next_open_s = now_s
        self.open_count = 0
        self._reset_backoff()

    def is_ready(self, now_s: float) -> bool:
        """Return whether the root may report that it is ready, and accept queries.

        It needs the agent's list, as the platform counts that list as known to the root from its
        start; the configured list may name leaves that have drained since. Clients may send queries
        before: those of the previous process are not told of its end. Cost: while discovery is
        down, a starting root serves no queries for `READY_TIMEOUT_S`.
        """
        return self.has_received or now_s >= self.ready_at_s

    def _reset_backoff(self):
        self.reopen_delay_s = REOPEN_DELAY_S
        self.first_message_timeout_s = FIRST_MESSAGE_TIMEOUT_S
