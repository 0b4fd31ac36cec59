"""The root's own clock."""

import trio


def now_us() -> int:
    """Return the time on the root's clock: monotonic, microseconds."""
    return int(trio.current_time() * 1e6)
