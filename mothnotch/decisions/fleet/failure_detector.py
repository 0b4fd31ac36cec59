"""SWIM's failure detector: one probe per period, indirect probes without an ack, then suspicion.

Pure: acks and the time are inputs, messages to send and suspicions are outputs. Times are
microseconds on the root's own monotonic clock.

- A probe does not fail if any message from the member was received after the probe started: then
  the ack was lost, and the member is alive.
- A helper, which is a member asked to probe indirectly, sends a nack if it gets no ack. If the nack
  is missing too, the fault is more likely on this root's own links (Lifeguard).
- A root that is recovering from a pause suspects nobody.

Bounds: one probe at a time with `indirect_probes` helpers; `max_members` probes relayed for others.
"""

from collections import deque
from dataclasses import dataclass

from mothnotch.decisions.fleet.local_health import LocalHealth
from mothnotch.decisions.fleet.member import Member
from mothnotch.decisions.fleet.membership import Membership
from mothnotch.decisions.fleet.membership_changes import ChangeKind, MembershipChange
from mothnotch.decisions.fleet.message_builder import MessageBuilder
from mothnotch.decisions.fleet.probe_order import ProbeOrder
from mothnotch.decisions.fleet.swim_messages import (
    ACK,
    ALIVE,
    GONE,
    NACK,
    PING,
    PING_REQUEST,
    SUSPECT,
    Message,
    Send,
    SwimSettings,
)

# The part of the ack timeout that a helper waits: its nack has to arrive before the requester's
# period ends, or the requester counts the nack as missing, which worsens its own health score.
RELAY_WAIT_FRACTION = 0.8


class Probe:
    """A probe of one member. `helpers` is None until indirect probes are requested."""

    __slots__ = (
        "name",
        "number",
        "started_us",
        "ack_due_us",
        "deadline_us",
        "helpers",
        "nacks",
        "is_acked",
    )

    def __init__(self, name: str, number: int, started_us: int, ack_due_us: int, deadline_us: int):
        """Start a probe; `number` is the number of its ping, `deadline_us` is when it fails."""
        self.name = name
        self.number = number
        self.started_us = started_us
        self.ack_due_us = ack_due_us
        self.deadline_us = deadline_us
        self.helpers = None
        self.nacks = set()
        self.is_acked = False


@dataclass(slots=True, frozen=True)
class Relay:
    """A ping sent on behalf of another root, which is told of the ack, or of its absence."""

    requester_address: str
    requester_number: int
    target: str
    deadline_us: int


class FailureDetector:
    """Probes the members of one root's table. `changes` and `counts` are shared with `SwimNode`."""

    def __init__(
        self,
        settings: SwimSettings,
        membership: Membership,
        health: LocalHealth,
        builder: MessageBuilder,
        probe_order: ProbeOrder,
        random,
        changes: deque[MembershipChange],
        counts: dict[str, int],
    ):
        """Create a detector without a probe in progress; `random` is a random.Random."""
        self.settings = settings
        self.probe = None
        self._membership = membership
        self._health = health
        self._builder = builder
        self._probe_order = probe_order
        self._random = random
        self._changes = changes
        self._counts = counts
        self._relays = {}  # number of the relayed ping -> Relay
        self._number = 0

    # ---- timers ----

    def due_times_us(self) -> list[float]:
        """Return the times of the next timeouts of the probe and of relayed pings."""
        times_us = [relay.deadline_us for relay in self._relays.values()]
        probe = self.probe
        if probe is not None and not probe.is_acked:
            times_us.append(probe.ack_due_us if probe.helpers is None else probe.deadline_us)
        return times_us

    def next_number(self) -> int:
        """Return a new number for a message that expects an answer."""
        self._number += 1
        return self._number

    def discard_probe(self) -> None:
        """Discard the probe in progress without a result."""
        self.probe = None

    def expire_relays(self, now_us: int, out: list[Send]) -> None:
        """Send a nack for each relayed ping that was not acked in time."""
        for number, relay in list(self._relays.items()):
            if relay.deadline_us <= now_us:
                del self._relays[number]
                out.append(
                    self._builder.build(
                        now_us,
                        relay.requester_address,
                        NACK,
                        "",
                        relay.requester_number,
                        relay.target,
                    )
                )

    def start_probe(self, now_us: int, out: list[Send]) -> None:
        """Probe the next member, unless the last probe is still in progress."""
        members = self._membership.members
        self._probe_order.refill(members)
        if self.probe is not None and not self.probe.is_acked:
            return
        name = self._probe_order.take_next(members)
        if name is None:
            return
        self._counts["probes"] += 1
        self.probe = Probe(
            name,
            self.next_number(),
            now_us,
            now_us + int(self._health.scale_timeout(self.settings.ack_timeout_us)),
            now_us + int(self._health.scale_timeout(self.settings.period_us)) - 1,
        )
        address = members[name].claim.address
        out.append(self._builder.build(now_us, address, PING, name, self.probe.number))

    def reprobe_suspects(self, now_us: int, out: list[Send]) -> None:
        """Ping a few random suspects again, because their refutation may have been lost."""
        suspects = self._membership.in_state(SUSPECT)
        count = min(self.settings.max_reprobed_suspects, len(suspects))
        for name in self._random.sample(suspects, count):
            address = self._membership.members[name].claim.address
            out.append(self._builder.build(now_us, address, PING, name, self.next_number()))

    def check_probe(self, now_us: int, out: list[Send]) -> None:
        """Request indirect probes if the ack is overdue, and end the probe with its period."""
        probe = self.probe
        if probe is None or probe.is_acked or now_us < probe.ack_due_us:
            return
        member = self._membership.members.get(probe.name)
        if member is None or member.claim.state == GONE:
            self.probe = None
            return
        if probe.helpers is None:
            member.is_direct = False
            self._request_indirect_probes(now_us, member.claim.address, out)
        if now_us >= probe.deadline_us:
            self.probe = None
            if member.heard_us is not None and member.heard_us > probe.started_us:
                self._record_outcome(True)  # the ack was lost, but the member is alive
            else:
                self._fail_probe(probe, member, now_us)

    def _request_indirect_probes(self, now_us: int, target_address: str, out: list[Send]) -> None:
        probe = self.probe
        candidates = [name for name in self._membership.in_state(ALIVE) if name != probe.name]
        count = min(self.settings.indirect_probes, len(candidates))
        probe.helpers = self._random.sample(candidates, count)
        for name in probe.helpers:
            address = self._membership.members[name].claim.address
            out.append(
                self._builder.build(
                    now_us, address, PING_REQUEST, name, probe.number, probe.name, target_address
                )
            )

    def _fail_probe(self, probe: Probe, member: Member, now_us: int) -> None:
        """Record a failed probe and suspect the member, unless this root is recovering."""
        self._counts["failed"] += 1
        self._record_outcome(False)
        missing_nacks = len(probe.helpers) - len(probe.nacks)
        self._health.increase_score(missing_nacks if probe.helpers else 1)
        if not self._health.is_recovering:
            claim = member.claim.with_state(SUSPECT)
            self._membership.suspect(claim, self._membership.name, now_us)

    def _record_outcome(self, acked: bool) -> None:
        if self._health.record_outcome(acked):
            kind = ChangeKind.ISOLATED if self._health.is_isolated else ChangeKind.REJOINED
            self._changes.append(MembershipChange(kind, self._membership.name))

    # ---- messages ----

    def on_ping(self, now_us: int, address: str, message: Message, out: list[Send]) -> None:
        """Ack a ping."""
        out.append(self._builder.build(now_us, address, ACK, message.sender.name, message.number))

    def on_ack(self, now_us: int, address: str, message: Message, out: list[Send]) -> None:
        """Process an ack of this root's own probe, or of a ping that it relayed for another."""
        sender = message.sender.name
        relay = self._relays.get(message.number)
        if relay is not None and relay.target == sender:
            del self._relays[message.number]
            out.append(
                self._builder.build(
                    now_us, relay.requester_address, ACK, "", relay.requester_number, sender
                )
            )
        probe = self.probe
        if (
            probe is not None
            and not probe.is_acked
            and message.number == probe.number
            and probe.name in (sender, message.target)
        ):
            probe.is_acked = True
            self._on_probe_acked(probe.name, sender, now_us)

    def _on_probe_acked(self, name: str, acker: str, now_us: int) -> None:
        member = self._membership.members.get(name)
        if member is not None and acker == name:
            member.is_direct = True
        self._record_outcome(True)
        if member is not None and acker != name and member.claim.state == SUSPECT:
            # A helper reaches the suspect, so its refutation should arrive soon.
            member.state_deadline_us = max(
                member.state_deadline_us, now_us + self._membership.min_suspicion_timeout_us()
            )

    def on_ping_request(self, now_us: int, address: str, message: Message, out: list[Send]) -> None:
        """Ping the target on behalf of the sender."""
        if len(self._relays) >= self.settings.max_members or not message.address:
            return
        number = self.next_number()
        deadline_us = now_us + int(self.settings.ack_timeout_us * RELAY_WAIT_FRACTION)
        self._relays[number] = Relay(address, message.number, message.target, deadline_us)
        out.append(self._builder.build(now_us, message.address, PING, message.target, number))

    def on_nack(self, now_us: int, address: str, message: Message, out: list[Send]) -> None:
        """Record a helper's nack: the helper is reachable, but got no ack from the target."""
        probe = self.probe
        if probe is None or probe.number != message.number or not probe.helpers:
            return
        if message.sender.name in probe.helpers:
            probe.nacks.add(message.sender.name)
