"""One root's SWIM node: messages and the time are inputs, messages to send are outputs.

Pure: no I/O, and no clock of its own. Times are microseconds on the root's own monotonic clock.

The protocol is SWIM (Das, Gupta, Motivala 2002) with suspicion, probes in a shuffled round robin,
indirect probes, and claims piggybacked on probes. From Lifeguard (Dadgar, Phillips, Currey 2018)
come the local health score, suspicion timeouts that shorten with confirmations, and the buddy
system, which tells a suspect of its suspicion first. docs/peers.md lists the alternatives.
Additions to both:

- An incarnation is a process (membership.py); messages of an old incarnation are dropped.
- After a pause, a root is recovering: acks that it missed in the pause count against no member,
  and it makes no new suspicion until it has received an ack.
- A root whose probes fail for most members considers itself isolated instead of them gone.
- A message echoes the receiver's latest stamp and how long ago it was received, which bounds the
  message's age on the receiver's clock.

Bounds: those of membership.py and failure_detector.py; `claims_per_message` claims per message.
"""

from collections import deque

from mothnotch.decisions.fleet.failure_detector import FailureDetector
from mothnotch.decisions.fleet.local_health import LocalHealth
from mothnotch.decisions.fleet.membership import Membership
from mothnotch.decisions.fleet.membership_changes import (
    MAX_PENDING_CHANGES,
    ChangeKind,
    MembershipChange,
)
from mothnotch.decisions.fleet.message_builder import MessageBuilder
from mothnotch.decisions.fleet.probe_order import ProbeOrder
from mothnotch.decisions.fleet.seeds import Seeds
from mothnotch.decisions.fleet.swim_messages import (
    ACK,
    ALIVE,
    GOSSIP,
    KINDS,
    NACK,
    PING,
    PING_REQUEST,
    Claim,
    Message,
    Send,
    SwimSettings,
)
from mothnotch.decisions.fleet.update_queue import UpdateQueue


class SwimNode:
    """One root's membership protocol.

    `on_message` and `tick` return the messages to send. `tick` has to be called at `due_us` at the
    latest. Membership changes are collected until `take_changes`.
    """

    def __init__(
        self,
        name: str,
        incarnation: tuple[int, int],
        address: str,
        seeds: list[str],
        settings: SwimSettings,
        random,
        now_us: int,
    ):
        """Start without members, with `seeds` to ping; `random` is a random.Random."""
        self.settings = settings
        self.counts = {
            "old_life": 0,
            "not_for_me": 0,
            "full": 0,
            "probes": 0,
            "failed": 0,
            "suspected": 0,
            "gone": 0,
            "refuted": 0,
            "paused": 0,
            "nonsense": 0,
        }
        members = {}
        own_claim = Claim(name, incarnation, 0, ALIVE, address)
        probe_order = ProbeOrder(random)
        self._changes = deque(maxlen=MAX_PENDING_CHANGES)
        self._updates = UpdateQueue(settings.retransmit_multiple, settings.claims_per_message)
        self.seeds = Seeds(seeds, address, settings.seed_interval_us, settings.max_members, now_us)
        self.health = LocalHealth(settings, members)
        self.membership = Membership(
            own_claim,
            settings,
            self.health,
            members,
            probe_order,
            self._updates,
            self._changes,
            self.counts,
        )
        self.builder = MessageBuilder(self.membership, self._updates)
        self.failure_detector = FailureDetector(
            settings,
            self.membership,
            self.health,
            self.builder,
            probe_order,
            random,
            self._changes,
            self.counts,
        )
        self._random = random
        self._next_period_us = now_us
        self._next_gossip_us = now_us
        self._last_tick_us = now_us

    def take_changes(self) -> list[MembershipChange]:
        """Return the membership changes since the last call."""
        changes = list(self._changes)
        self._changes.clear()
        return changes

    # ---- timers ----

    def due_us(self) -> float:
        """Return when `tick` has to be called unless a message arrives before."""
        times_us = [
            self._next_period_us,
            *self.seeds.next_ping_us.values(),
            *self.failure_detector.due_times_us(),
            *(member.state_deadline_us for member in self.membership.members.values()),
        ]
        if self._updates:
            times_us.append(self._next_gossip_us)
        return min(times_us)

    def tick(self, now_us: int) -> list[Send]:
        """Do everything that is due; return the messages to send.

        This evaluates probes, expires suspicions, pings seeds, starts the next probe and gossips
        queued claims.
        """
        out = []
        self._detect_pause(now_us)
        self.failure_detector.expire_relays(now_us, out)
        self.failure_detector.check_probe(now_us, out)
        self.membership.expire(now_us)
        self._ping_seeds(now_us, out)
        if now_us >= self._next_period_us:
            self._next_period_us = now_us + int(self.health.scale_timeout(self.settings.period_us))
            self.failure_detector.start_probe(now_us, out)
            self.failure_detector.reprobe_suspects(now_us, out)
        if now_us >= self._next_gossip_us and self._updates:
            self._next_gossip_us = now_us + self.settings.gossip_interval_us
            self._gossip(now_us, out)
        return out

    def _detect_pause(self, now_us: int) -> None:
        """Detect that this root was paused, and discard what it would conclude from the pause.

        A process that was stopped, starved of CPU or suspended finds all its probes overdue at
        once, which says nothing about the members. As a cost, the failure of a dead member is
        detected later by the length of the pause.
        """
        late_us = now_us - max(self._last_tick_us, min(self.due_us(), now_us))
        self._last_tick_us = now_us
        if late_us <= self.settings.period_us:
            return
        self.counts["paused"] += 1
        self._changes.append(MembershipChange(ChangeKind.PAUSED, self.membership.name))
        self.failure_detector.discard_probe()
        self.health.is_recovering = True
        self.health.increase_score()
        self.membership.extend_suspicions(late_us)

    def _ping_seeds(self, now_us: int, out: list[Send]) -> None:
        """Ping the seeds that are due, except addresses of alive members."""
        for address in self.seeds.take_due(now_us):
            is_member = any(
                member.claim.address == address and member.claim.state == ALIVE
                for member in self.membership.members.values()
            )
            if not is_member:
                number = self.failure_detector.next_number()
                out.append(self.builder.build(now_us, address, PING, "", number))

    def _gossip(self, now_us: int, out: list[Send]) -> None:
        """Send queued claims to a few random members, besides those piggybacked on probes."""
        names = self.membership.live_members()
        for name in self._random.sample(names, min(self.settings.gossip_fanout, len(names))):
            if self._updates:
                address = self.membership.members[name].claim.address
                out.append(self.builder.build(now_us, address, GOSSIP, name, 0))

    # ---- messages ----

    def on_message(self, now_us: int, address: str, message: Message) -> list[Send]:
        """Process a message from an address; return the messages to send."""
        out = []
        sender = message.sender
        if (
            message.kind not in KINDS
            or sender.state != ALIVE
            or not sender.name
            or len(message.claims) > self.settings.claims_per_message + 1
        ):
            self.counts["nonsense"] += 1
            return out
        membership = self.membership
        if sender.name == membership.name:
            if sender.incarnation != membership.own_claim.incarnation:
                membership.on_name_conflict(sender, now_us)
            return out
        if message.to and message.to != membership.name:
            # The message is for a root that had this address before. The sender learns from the
            # answer which root has it now.
            self.counts["not_for_me"] += 1
        newest = membership.incarnation_of(sender.name)
        if newest is not None and sender.incarnation < newest:
            self._answer_old_incarnation(now_us, address, message, out)
            return out
        membership.on_sender(message, address, now_us)
        for claim in message.claims:
            membership.on_claim(claim, sender.name, now_us)
        self._dispatch(now_us, address, message, out)
        return out

    def _answer_old_incarnation(
        self, now_us: int, address: str, message: Message, out: list[Send]
    ) -> None:
        """Drop a message of an old incarnation.

        A ping is acked with the claim on the newer incarnation, so that the sender learns of it.
        """
        self.counts["old_life"] += 1
        member = self.membership.members.get(message.sender.name)
        if member is not None and message.kind == PING:
            own = self.membership.own_claim
            answer = Message(
                ACK, message.number, own, stamp=now_us, echo=None, claims=(member.claim,)
            )
            out.append(Send(address, answer))

    def _dispatch(self, now_us: int, address: str, message: Message, out: list[Send]) -> None:
        """Pass a message to the failure detector; gossip has only claims and needs no handler."""
        detector = self.failure_detector
        if message.kind == PING:
            detector.on_ping(now_us, address, message, out)
        elif message.kind == ACK:
            detector.on_ack(now_us, address, message, out)
        elif message.kind == PING_REQUEST:
            detector.on_ping_request(now_us, address, message, out)
        elif message.kind == NACK:
            detector.on_nack(now_us, address, message, out)
