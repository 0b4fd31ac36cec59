"""The facts of one origin in the gossip store."""

import math
from hashlib import blake2b


class StoredFact:
    """A fact with an upper bound on its age at a time of this root's clock (microseconds)."""

    __slots__ = (
        "version",
        "value",
        "age_us",
        "age_as_of_us",
        "ttl_us",
        "transmissions",
        "checksum",
    )

    def __init__(
        self, key: str, version: int, value: bytes, age_us: int, age_as_of_us: int, ttl_us: int
    ):
        """Create a fact that is at most `age_us` old at `age_as_of_us`."""
        self.version = version
        self.value = value
        self.age_us = age_us
        self.age_as_of_us = age_as_of_us
        self.ttl_us = ttl_us
        self.transmissions = 0
        self.checksum = _checksum(key, version)

    def age_bound_us(self, now_us: int, clock_drift: float) -> int:
        """Return an upper bound on its age now, microseconds."""
        return self.age_us + math.ceil(max(0, now_us - self.age_as_of_us) * (1 + clock_drift))


class OriginFacts:
    """The facts of one incarnation of an origin, by key."""

    __slots__ = ("incarnation", "by_key", "max_version", "checksum")

    def __init__(self, incarnation: tuple[int, int]):
        """Create an empty set of facts."""
        self.incarnation = incarnation
        self.by_key = {}
        self.max_version = 0
        self.checksum = 0

    def put(self, key: str, fact: StoredFact) -> None:
        """Store a fact; it replaces an earlier one with its key."""
        replaced = self.by_key.get(key)
        self.checksum ^= fact.checksum ^ (replaced.checksum if replaced else 0)
        self.by_key[key] = fact
        self.max_version = max(self.max_version, fact.version)

    def drop(self, key: str) -> None:
        """Remove the fact with a key."""
        self.checksum ^= self.by_key.pop(key).checksum


def _checksum(key: str, version: int) -> int:
    """Return a fact's part of its origin's checksum, which must be the same in all releases."""
    digest = blake2b(f"{version}|{key}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")
