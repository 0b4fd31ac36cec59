"""The ids of requests that have ended while a part may still run, or may have had an effect.

Pure. A request that comes again with such an id is not begun: it could run a second time, beside
the first. Clients give each request an id of its own, also when they try again.
"""

from collections import OrderedDict

# An id is remembered for this multiple of the longest deadline: its attempts have ended by then.
REMEMBERED_DEADLINES = 2


class RecentIds:
    """At most `max_ids` ids, each for `span_us` after its request ended.

    Beyond `max_ids`, the oldest is forgotten.
    """

    def __init__(self, span_us: int, max_ids: int):
        """Start without ids."""
        self._span_us = span_us
        self._max_ids = max_ids
        self._expires_us = OrderedDict()  # id -> when it is forgotten, oldest first

    def __len__(self) -> int:
        """Return the number of ids that are remembered."""
        return len(self._expires_us)

    def add(self, request_id: str, now_us: int) -> None:
        """Remember an id."""
        self._forget_expired(now_us)
        self._expires_us.pop(request_id, None)
        self._expires_us[request_id] = now_us + self._span_us
        if len(self._expires_us) > self._max_ids:
            self._expires_us.popitem(last=False)

    def contains(self, request_id: str, now_us: int) -> bool:
        """Return whether an id is remembered."""
        return self._expires_us.get(request_id, 0) > now_us

    def _forget_expired(self, now_us):
        while self._expires_us and next(iter(self._expires_us.values())) <= now_us:
            self._expires_us.popitem(last=False)
