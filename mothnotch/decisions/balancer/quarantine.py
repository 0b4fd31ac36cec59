"""Quarantine of affinity keys whose queries crash the servers that run them."""

from mothnotch.decisions.balancer.statistics import ExpiringSets

DEATHS_MIN = 2  # quarantine a key after this many: one may have died of another cause
KEYS_MAX = 256  # keys remembered; bounds the memory
QUARANTINE_US = 10_000_000  # then the key is tried again, as the fault may be fixed


class KeyQuarantine:
    """Remembers which servers died while handling the queries of which key."""

    def __init__(self):
        """Initialize without keys."""
        self._deaths = ExpiringSets(KEYS_MAX, QUARANTINE_US)  # key -> servers that died

    def record_death(self, key: str, server_id: str, now_us: int) -> bool:
        """Record a server that died; return whether the key has now reached `DEATHS_MIN`."""
        self._deaths.add(key, server_id, now_us)
        return self._deaths.count(key, now_us) == DEATHS_MIN

    def contains(self, key: str, now_us: int) -> bool:
        """Return whether the key is quarantined."""
        return self._deaths.count(key, now_us) >= DEATHS_MIN

    def clear(self, key: str) -> None:
        """Clear the key, as a part of its query has been answered."""
        self._deaths.drop(key)
