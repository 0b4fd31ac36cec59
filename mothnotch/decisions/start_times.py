"""Convert start times of leaves from wall-clock time to the root's monotonic clock.

Pure: callers pass in both clocks' readings. A leaf in slow start must get only part of its load, so
it must not appear older than it is. The wall clock of the root's machine may be stepped at any
time, by seconds or by an hour; therefore it is read once, when the process starts, and advanced by
the monotonic clock. Later steps have no effect.

The remaining error is that of the wall clock at that moment. It cannot make a leaf that is first
listed while the root runs look warmed up: a start time that is new to the root must be at or after
discovery's previous message, less discovery's own maximum delay. A start time that is earlier is
discarded, and the leaf counts as started when the message arrived. Only for the first list of a
process is there no previous message to check against; there the wall clock is trusted.

Cost: a leaf that discovery lists more than `MAX_DISCOVERY_DELAY_US` after its start counts as
started more recently than it was. So does a leaf whose root had a wrong wall clock at process
start, fast or slow: a start time in the future counts as now.
"""

# Maximum delay between a start and its listing while discovery is up; settings state up to 5 s.
MAX_DISCOVERY_DELAY_US = 10_000_000
# Earliest time on the monotonic clock that does not mean "long ago".
EARLIEST_US = 1
# Start time that means "long ago": the leaf is warmed up.
LONG_AGO_US = 0
# Maximum number of leaves kept; beyond it the least recently listed one is evicted.
MAX_LEAVES = 4096


class StartTimes:
    """Remember each leaf's start time as listed and on the root's monotonic clock.

    Bound: `MAX_LEAVES` leaves.
    """

    def __init__(self, now_us: int, wall_s: float):
        """Record the offset between the two clocks, once."""
        self.wall_offset_s = wall_s - now_us / 1e6
        # leaf -> (start time as listed, start time on the monotonic clock)
        self.starts: dict[str, tuple[float | None, int]] = {}
        self.last_message_us: int | None = None

    def record_message(self, now_us: int) -> None:
        """Record the time of a message from discovery, including a heartbeat."""
        self.last_message_us = now_us

    def started_us(self, name: str, listed_s: float | None, now_us: int) -> int:
        """Return a leaf's start time on the monotonic clock; `LONG_AGO_US` if long ago.

        `listed_s`: its listed start time in seconds of wall-clock time; None means long ago.
        """
        known = self.starts.pop(name, None)
        if known is not None and known[0] == listed_s:
            # The same process, listed again: keep its start time exactly.
            started_us = known[1]
        else:
            started_us = self._convert_new_start(listed_s, now_us)
        self.starts[name] = listed_s, started_us
        if len(self.starts) > MAX_LEAVES:
            del self.starts[next(iter(self.starts))]
        return started_us

    def _convert_new_start(self, listed_s, now_us):
        """Convert a start time that this root has not seen before."""
        if listed_s is None:
            return LONG_AGO_US
        age_us = max(0, int((self.wall_offset_s - listed_s) * 1e6 + now_us))
        if self._is_implausible(age_us, now_us):
            age_us = 0
        if age_us < now_us:
            return now_us - age_us
        # The start precedes the monotonic clock's zero. A recent one becomes the earliest time that
        # the clock has, so that the leaf still counts as warming up.
        return EARLIEST_US if age_us <= MAX_DISCOVERY_DELAY_US else LONG_AGO_US

    def _is_implausible(self, age_us, now_us):
        """Return whether discovery would have listed the start earlier, so the clock was wrong."""
        if self.last_message_us is None:
            return False
        return age_us > now_us - self.last_message_us + MAX_DISCOVERY_DELAY_US
