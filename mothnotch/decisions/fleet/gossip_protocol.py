"""One root's gossip: membership messages that carry facts and digests, and full state sync.

Pure, like swim_node.py and gossip_store.py, which it combines: envelopes and the time are inputs,
envelopes are outputs. The time in transit bounds the age of received facts. Incarnations known to
the membership take precedence over those stated in facts.

Two roots also exchange all claims and facts (`FullState`, like memberlist's push/pull): when a root
has found its first peer, after it was isolated or paused, and every `full_sync_interval_us`. A full
state answers a recent stamp of its receiver, which bounds the ages of its facts and makes a
replayed message ineffective.

Bounds: `fact_bytes` of facts per envelope, one digest per `digest_interval_us`, at most two
envelopes in answer to a digest. A full state is at most as large as the tables. One sync is
requested at a time, and after a failure the next one follows `full_sync_retry_us` later.
"""

import math
from dataclasses import dataclass

from mothnotch.decisions.fleet.gossip_messages import Envelope, FullState, SendEnvelope
from mothnotch.decisions.fleet.gossip_store import GossipStore
from mothnotch.decisions.fleet.swim_messages import ALIVE, GOSSIP, Send, age_bound_us
from mothnotch.decisions.fleet.swim_node import SwimNode

# With more peers, full states are exchanged less often, because each one is larger.
PEERS_AT_FULL_RATE = 30


@dataclass(slots=True, frozen=True)
class GossipSettings:
    """Bounds of what is sent and processed. Times are in microseconds."""

    # For facts in an envelope; the rest of a datagram is left for claims.
    fact_bytes: int = 700
    digest_interval_us: int = 1_000_000
    # Processed from a received envelope; the rest is ignored.
    max_digest_entries: int = 16
    max_facts: int = 64
    # Between exchanges of full states with up to 30 peers; longer in larger fleets.
    full_sync_interval_us: int = 30_000_000
    full_sync_retry_us: int = 2_000_000
    # Processed from a received full state; the rest is ignored.
    max_full_sync_facts: int = 16_384


class GossipProtocol:
    """One root's side of the protocol. `tick` has to be called at `due_us` at the latest."""

    def __init__(
        self, swim: SwimNode, store: GossipStore, settings: GossipSettings, random, now_us: int
    ):
        """Combine a SWIM node and a store; `random` is a random.Random."""
        self.swim = swim
        self.store = store
        self.settings = settings
        self.counts = {"wholes": 0, "wholes_refused": 0}
        self._random = random
        self._next_digest_us = now_us
        self._incarnation = swim.membership.own_claim.incarnation
        self._next_full_sync_us = now_us
        # Whether to exchange full states as soon as a member is alive and this root is healthy.
        self._needs_full_sync = True

    # ---- timers ----

    def due_us(self) -> float:
        """Return when `tick` has to be called unless an envelope arrives before."""
        has_members = bool(self.swim.membership.members)
        return min(self.swim.due_us(), self._next_digest_us if has_members else math.inf)

    def tick(self, now_us: int) -> list[SendEnvelope]:
        """Do everything that is due; return the envelopes to send."""
        out = self._with_facts(self.swim.tick(now_us), now_us)
        self.store.expire(now_us)
        if now_us >= self._next_digest_us:
            self._next_digest_us = now_us + self.settings.digest_interval_us
            others = self.swim.membership.live_members()
            if others:
                name = self._random.choice(others)
                out.append(self._gossip(name, now_us, digest=self.store.digest()))
        return out

    # ---- datagrams ----

    def on_envelope(self, now_us: int, address: str, envelope: Envelope) -> list[SendEnvelope]:
        """Process an envelope from an address; return the envelopes to send."""
        message = envelope.message
        sender = message.sender
        transit_us = age_bound_us(message, now_us)
        out = self._with_facts(self.swim.on_message(now_us, address, message), now_us)
        member = self.swim.membership.members.get(sender.name)
        if member is None or member.claim.incarnation != sender.incarnation:
            return out  # an unknown member, or an old incarnation of one
        self.store.on_incarnation(sender.name, sender.incarnation)
        if envelope.facts:
            facts = envelope.facts[: self.settings.max_facts]
            incarnation_of = self.swim.membership.incarnation_of
            self.store.receive(facts, transit_us, now_us, incarnation_of)
        max_bytes = self.settings.fact_bytes
        if envelope.digest:
            digest = envelope.digest[: self.settings.max_digest_entries]
            facts_found, wanted = self.store.reconcile(digest, max_bytes, now_us)
            if facts_found or wanted:
                out.append(self._gossip(sender.name, now_us, facts=facts_found, wanted=wanted))
        if envelope.wanted:
            wanted = envelope.wanted[: self.settings.max_digest_entries]
            facts_found, _ = self.store.reconcile(wanted, max_bytes, now_us)
            if facts_found:
                out.append(self._gossip(sender.name, now_us, facts=facts_found))
        return out

    def _gossip(self, name: str, now_us: int, **content) -> SendEnvelope:
        """Return an envelope that carries facts or a digest to a member outside of any probe."""
        address = self.swim.membership.members[name].claim.address
        send = self.swim.builder.build(now_us, address, GOSSIP, name, 0)
        return SendEnvelope(send.address, Envelope(send.message, **content))

    def _with_facts(self, sends: list[Send], now_us: int) -> list[SendEnvelope]:
        """Return envelopes of the membership's messages with queued facts.

        This root's own facts follow when the membership adopts a new incarnation. A message without
        an echo carries no facts, because nothing would bound their age.
        """
        incarnation = self.swim.membership.own_claim.incarnation
        if self._incarnation != incarnation:
            self._incarnation = incarnation
            self.store.set_own_incarnation(incarnation)
        size = self.swim.membership.cluster_size()
        out = []
        for send in sends:
            facts = ()
            if send.message.echo:
                facts = self.store.updates_to_piggyback(self.settings.fact_bytes, size, now_us)
            out.append(SendEnvelope(send.address, Envelope(send.message, facts)))
        return out

    # ---- full state sync ----

    def choose_sync_partner(self, now_us: int) -> tuple[str, str] | None:
        """Return (name, address) of the root to exchange full states with now, or None.

        Choosing a partner schedules the next exchange.
        """
        others = self.swim.membership.in_state(ALIVE)
        health = self.swim.health
        if not others or health.is_isolated or health.is_recovering:
            # This root may have missed updates, so it syncs as soon as it has an alive member and
            # is neither isolated nor recovering.
            self._needs_full_sync = True
            return None
        if not self._needs_full_sync and now_us < self._next_full_sync_us:
            return None
        self._needs_full_sync = False
        slowdown = max(1.0, math.log2(1 + len(others) / PEERS_AT_FULL_RATE))
        self._next_full_sync_us = now_us + int(self.settings.full_sync_interval_us * slowdown)
        name = self._random.choice(others)
        return name, self.swim.membership.members[name].claim.address

    def on_sync_failed(self, now_us: int) -> None:
        """Schedule an early retry after a failed exchange."""
        retry_us = now_us + self.settings.full_sync_retry_us
        self._next_full_sync_us = min(self._next_full_sync_us, retry_us)

    def full_state(self, now_us: int, answers: int = 0) -> FullState:
        """Return all claims and facts of this root, in answer to a stamp.

        Without a stamp to answer, facts are left out, because nothing would bound their age.
        """
        facts = self.store.live_facts(now_us) if answers else ()
        membership = self.swim.membership
        claims = tuple(member.claim for member in membership.members.values())
        return FullState(membership.own_claim, now_us, answers, claims, facts)

    def merge_full_state(self, now_us: int, state: FullState) -> bool:
        """Merge a received full state; return whether it was accepted.

        It is rejected if its sender is not alive, has an old incarnation or has this root's name.
        """
        membership = self.swim.membership
        sender = state.sender
        newest = membership.incarnation_of(sender.name)
        if (
            sender.name == membership.name
            or sender.state != ALIVE
            or (newest is not None and sender.incarnation < newest)
        ):
            self.counts["wholes_refused"] += 1
            return False
        self.counts["wholes"] += 1
        for claim in (sender, *state.claims[: self.swim.settings.max_members]):
            membership.on_claim(claim, sender.name, now_us)
        transit_us = now_us - state.answers if 0 < state.answers <= now_us else None
        self.store.on_incarnation(sender.name, sender.incarnation)
        facts = state.facts[: self.settings.max_full_sync_facts]
        self.store.receive(facts, transit_us, now_us, membership.incarnation_of)
        return True
