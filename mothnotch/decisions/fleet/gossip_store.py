"""A store of small versioned facts that roots publish and disseminate by gossip.

Pure: received facts and the time are inputs, facts to send are outputs. Times are microseconds on
the root's own monotonic clock.

- A fact belongs to one incarnation of its origin (membership.py). Each fact that the origin
  publishes gets the incarnation's next version, and the highest version of a key takes precedence.
  Facts of an older incarnation are rejected. Facts of two incarnations are never mixed: the older
  ones are dropped on the first fact of the newer incarnation, or once the membership knows it.
- A fact's age is an upper bound that needs no wall clock: the age stated by the sender, plus the
  maximum time in transit (from the echo of the receiver's own stamp), plus the time since receipt,
  the latter two extended by `clock_drift`. A fact without a bound on its time in transit is
  rejected. If the same version is received again, the smaller bound is kept.
- A fact that exceeds its time to live is no longer returned or sent.
- New facts are piggybacked on a bounded number of messages. Digests of the store, one slice of
  origins at a time, repair losses (anti-entropy, Demers et al. 1987; scuttlebutt reconciliation,
  van Renesse et al. 2008, for versions by origin).

Bounds: those of GossipStoreSettings. A fact beyond them is rejected and counted; it never evicts a
stored fact.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from mothnotch.decisions.fleet.gossip_messages import DigestEntry, Fact, KnownFact
from mothnotch.decisions.fleet.origin_facts import OriginFacts, StoredFact


@dataclass(slots=True, frozen=True)
class GossipStoreSettings:
    """Bounds of the store. Times are in microseconds."""

    max_origins: int = 256
    max_keys: int = 64  # per origin
    max_value_bytes: int = 256
    max_key_bytes: int = 64
    max_ttl_us: int = 600_000_000
    # The maximum relative difference between the rates of two clocks.
    clock_drift: float = 0.02
    # A fact is piggybacked this many times log2 of the fleet size.
    retransmit_multiple: float = 3.0
    # Origins in a digest.
    digest_origins: int = 16


class ReceiveOutcome(StrEnum):
    """The outcome of a received fact. The values are keys of `counts`."""

    ACCEPTED = "taken"
    STALE = "old"
    DUPLICATE = "twice"
    OLD_INCARNATION = "old_life"
    UNPUBLISHED = "future"
    UNBOUNDED_AGE = "unbounded"
    EXPIRED = "spent"
    INVALID = "nonsense"
    FULL = "full"


class GossipStore:
    """Facts that one root has published or received."""

    def __init__(self, name: str, incarnation: tuple[int, int], settings: GossipStoreSettings):
        """Create an empty store for the root with this name and incarnation."""
        self.name = name
        self.settings = settings
        self.origins = {name: OriginFacts(incarnation)}
        self.counts = {outcome.value: 0 for outcome in ReceiveOutcome}
        # (origin, key) -> StoredFact that is still to be piggybacked; a subset of the stored ones.
        self.updates = {}
        self._digest_start = 0  # index of the first origin in the next digest's slice

    @property
    def own(self) -> OriginFacts:
        """Return this root's own facts."""
        return self.origins[self.name]

    # ---- publishing ----

    def publish(self, key: str, value: bytes, ttl_us: int, now_us: int) -> None:
        """Publish a fact with the next version; it replaces an earlier one with its key.

        Raise ValueError, which names the bound, if a bound is exceeded.
        """
        bounds = self.settings
        if len(value) > bounds.max_value_bytes or not self._is_valid_key(key):
            raise ValueError(
                f"fact {key!r}: value of {len(value)} bytes exceeds {bounds.max_value_bytes}, "
                f"or key length is not between 1 and {bounds.max_key_bytes}"
            )
        if not 0 < ttl_us <= bounds.max_ttl_us:
            raise ValueError(
                f"fact {key!r}: time to live of {ttl_us} us is outside 1 to {bounds.max_ttl_us} us"
            )
        if key not in self.own.by_key and len(self.own.by_key) >= bounds.max_keys:
            raise ValueError(f"fact {key!r}: {bounds.max_keys} keys are published already")
        fact = StoredFact(key, self.own.max_version + 1, bytes(value), 0, now_us, ttl_us)
        self.own.put(key, fact)
        self.updates[self.name, key] = fact

    def set_own_incarnation(self, incarnation: tuple[int, int]) -> None:
        """Move this root's own facts to a new incarnation and queue them again."""
        self.own.incarnation = incarnation
        for key, fact in self.own.by_key.items():
            fact.transmissions = 0
            self.updates[self.name, key] = fact

    def _is_valid_key(self, key: str) -> bool:
        return 0 < len(key.encode()) <= self.settings.max_key_bytes

    # ---- receiving ----

    def on_incarnation(self, origin: str, incarnation: tuple[int, int]) -> None:
        """Drop an origin's facts if they belong to an older incarnation than this one."""
        origin_facts = self.origins.get(origin)
        if (
            origin_facts is not None
            and origin != self.name
            and origin_facts.incarnation < incarnation
        ):
            self.drop_origin(origin)

    def drop_origin(self, origin: str) -> None:
        """Drop all facts of another origin."""
        if origin != self.name and origin in self.origins:
            for key in self.origins.pop(origin).by_key:
                self.updates.pop((origin, key), None)

    def receive(
        self,
        facts: Iterable[Fact],
        transit_us: int | None,
        now_us: int,
        incarnation_of: Callable = lambda origin: None,
    ) -> None:
        """Store facts that arrived in a message and count the outcome of each.

        `transit_us` is the message's maximum time in transit, None if it is unbounded.
        `incarnation_of` returns the newest incarnation of a name that the membership knows.
        """
        if transit_us is None or transit_us < 0:
            self.counts[ReceiveOutcome.UNBOUNDED_AGE] += len(facts)
            return
        for fact in facts:
            newest = incarnation_of(fact.origin)
            self.counts[self._receive_one(fact, transit_us, now_us, newest)] += 1

    def _receive_one(
        self, fact: Fact, transit_us: int, now_us: int, newest: tuple[int, int] | None
    ) -> ReceiveOutcome:
        if not self._is_valid(fact):
            return ReceiveOutcome.INVALID
        if fact.origin == self.name:
            return self._receive_own(fact)
        age_us = fact.age_us + math.ceil(transit_us * (1 + self.settings.clock_drift))
        if age_us >= fact.ttl_us:
            return ReceiveOutcome.EXPIRED
        origin_facts = self.origins.get(fact.origin)
        if newest is not None and fact.incarnation < newest:
            return ReceiveOutcome.OLD_INCARNATION
        if origin_facts is not None and fact.incarnation < origin_facts.incarnation:
            return ReceiveOutcome.OLD_INCARNATION
        if origin_facts is not None and fact.incarnation > origin_facts.incarnation:
            self.drop_origin(fact.origin)
            origin_facts = None
        if origin_facts is None:
            if len(self.origins) >= self.settings.max_origins:
                return ReceiveOutcome.FULL
            origin_facts = OriginFacts(fact.incarnation)
            self.origins[fact.origin] = origin_facts
        return self._store_fact(origin_facts, fact, age_us, now_us)

    def _is_valid(self, fact: Fact) -> bool:
        return bool(
            fact.version > 0
            and fact.age_us >= 0
            and 0 < fact.ttl_us <= self.settings.max_ttl_us
            and fact.origin
            and len(fact.value) <= self.settings.max_value_bytes
            and self._is_valid_key(fact.key)
        )

    def _receive_own(self, fact: Fact) -> ReceiveOutcome:
        """Return the outcome of a received fact with this root's name, which is never stored.

        Only this process publishes facts of its incarnation. A higher version is therefore forged,
        or comes from another root with the same name.
        """
        if fact.incarnation < self.own.incarnation:
            return ReceiveOutcome.OLD_INCARNATION
        if fact.incarnation == self.own.incarnation and fact.version <= self.own.max_version:
            return ReceiveOutcome.STALE
        return ReceiveOutcome.UNPUBLISHED

    def _store_fact(
        self, origin_facts: OriginFacts, fact: Fact, age_us: int, now_us: int
    ) -> ReceiveOutcome:
        """Store a fact unless its key already has the same or a newer version."""
        stored = origin_facts.by_key.get(fact.key)
        if stored is not None and fact.version < stored.version:
            return ReceiveOutcome.STALE
        if stored is not None and fact.version == stored.version:
            if age_us < self._age_us(stored, now_us):
                stored.age_us = age_us
                stored.age_as_of_us = now_us
            return ReceiveOutcome.DUPLICATE
        if stored is None and len(origin_facts.by_key) >= self.settings.max_keys:
            return ReceiveOutcome.FULL
        stored = StoredFact(fact.key, fact.version, fact.value, age_us, now_us, fact.ttl_us)
        origin_facts.put(fact.key, stored)
        self.updates[fact.origin, fact.key] = stored
        return ReceiveOutcome.ACCEPTED

    # ---- sending ----

    def _to_fact(self, origin: str, key: str, stored: StoredFact, now_us: int) -> Fact:
        return Fact(
            origin,
            self.origins[origin].incarnation,
            key,
            stored.version,
            stored.value,
            self._age_us(stored, now_us),
            stored.ttl_us,
        )

    def updates_to_piggyback(
        self, max_bytes: int, cluster_size: int, now_us: int
    ) -> tuple[Fact, ...]:
        """Return queued facts of at most `max_bytes` for one message, least transmitted first.

        Expired facts are removed from the queue, as are those sent often enough.
        """
        multiple = self.settings.retransmit_multiple
        max_transmissions = max(1, math.ceil(multiple * math.log2(cluster_size + 1)))
        facts = []
        queued = sorted(self.updates.items(), key=lambda item: item[1].transmissions)
        for (origin, key), stored in queued:
            fact = self._to_fact(origin, key, stored, now_us)
            is_live = fact.age_us < fact.ttl_us
            if is_live and fact.size > max_bytes:
                continue
            stored.transmissions += 1
            if stored.transmissions >= max_transmissions or not is_live:
                del self.updates[origin, key]
            if is_live:
                max_bytes -= fact.size
                facts.append(fact)
        return tuple(facts)

    def digest(self) -> tuple[DigestEntry, ...]:
        """Return entries for this root and for the next slice of other origins."""
        others = [name for name in self.origins if name != self.name]
        slice_size = self.settings.digest_origins - 1
        start = self._digest_start
        self._digest_start = start + slice_size
        count = min(len(others), slice_size)
        names = [others[(start + offset) % len(others)] for offset in range(count)]
        return tuple(self._digest_entry(name) for name in [self.name, *names])

    def _digest_entry(self, name: str) -> DigestEntry:
        origin_facts = self.origins[name]
        return DigestEntry(
            name, origin_facts.incarnation, origin_facts.max_version, origin_facts.checksum
        )

    def reconcile(
        self, digest: Iterable[DigestEntry], max_bytes: int, now_us: int
    ) -> tuple[tuple[Fact, ...], tuple[DigestEntry, ...]]:
        """Return facts that the sender of a digest lacks, and entries where this root lacks some.

        The facts take at most `max_bytes`. The sender answers the entries with the facts that this
        root lacks, so one exchange reconciles both sides as far as the sizes allow.
        """
        facts = []
        wanted = []
        for theirs in digest:
            origin_facts = self._facts_for_entry(theirs)
            if origin_facts is None or origin_facts.incarnation < theirs.incarnation:
                if theirs.origin != self.name and theirs.max_version > 0:
                    wanted.append(DigestEntry(theirs.origin, theirs.incarnation, 0, 0))
                continue
            is_same_incarnation = origin_facts.incarnation == theirs.incarnation
            if is_same_incarnation and origin_facts.checksum == theirs.checksum:
                continue
            if (
                is_same_incarnation
                and theirs.max_version >= origin_facts.max_version
                and theirs.origin != self.name
            ):
                wanted.append(self._digest_entry(theirs.origin))
            above_version = theirs.max_version if is_same_incarnation else 0
            for fact in self._facts_above(theirs.origin, above_version, now_us):
                if fact.age_us < fact.ttl_us and fact.size <= max_bytes:
                    max_bytes -= fact.size
                    facts.append(fact)
        return tuple(facts), tuple(wanted)

    def _facts_for_entry(self, entry: DigestEntry) -> OriginFacts | None:
        """Return the facts of an entry's origin, empty if the entry has a newer incarnation."""
        origin_facts = self.origins.get(entry.origin)
        if (
            origin_facts is not None
            and origin_facts.incarnation < entry.incarnation
            and entry.origin != self.name
        ):
            # The entry proves a newer incarnation, so facts of the old one are no longer valid.
            self.drop_origin(entry.origin)
            origin_facts = OriginFacts(entry.incarnation)
            self.origins[entry.origin] = origin_facts
        return origin_facts

    def _facts_above(self, origin: str, version: int, now_us: int) -> Iterable[Fact]:
        """Yield an origin's facts above a version, then the others, which fill gaps below it."""
        ordered = sorted(
            self.origins[origin].by_key.items(),
            key=lambda item: (item[1].version <= version, item[1].version),
        )
        for key, stored in ordered:
            yield self._to_fact(origin, key, stored, now_us)

    def live_facts(self, now_us: int) -> tuple[Fact, ...]:
        """Return all facts that have not expired."""
        facts = []
        for name, origin_facts in self.origins.items():
            for key, stored in origin_facts.by_key.items():
                fact = self._to_fact(name, key, stored, now_us)
                if fact.age_us < fact.ttl_us:
                    facts.append(fact)
        return tuple(facts)

    # ---- reading ----

    def _age_us(self, stored: StoredFact, now_us: int) -> int:
        return stored.age_bound_us(now_us, self.settings.clock_drift)

    def ages_us(self, origin: str, now_us: int) -> list[int]:
        """Return an upper bound on the age of each fact of an origin."""
        origin_facts = self.origins.get(origin)
        return (
            [self._age_us(stored, now_us) for stored in origin_facts.by_key.values()]
            if origin_facts
            else []
        )

    def expire(self, now_us: int) -> None:
        """Remove expired facts.

        This includes this root's own, which their publisher has to renew in time.
        """
        for name, origin_facts in list(self.origins.items()):
            for key, stored in list(origin_facts.by_key.items()):
                if self._age_us(stored, now_us) >= stored.ttl_us:
                    origin_facts.drop(key)
                    self.updates.pop((name, key), None)
            if not origin_facts.by_key and name != self.name:
                del self.origins[name]

    def known_facts(self, key: str, now_us: int) -> dict[str, KnownFact]:
        """Return the facts of a key that have not expired, by origin."""
        facts_by_origin = {}
        for name, origin_facts in self.origins.items():
            stored = origin_facts.by_key.get(key)
            if stored is None:
                continue
            age_us = self._age_us(stored, now_us)
            if age_us < stored.ttl_us:
                facts_by_origin[name] = KnownFact(
                    name, origin_facts.incarnation, stored.value, stored.version, age_us
                )
        return facts_by_origin
