"""The membership table: the known roots, with the incarnation and state of each.

Pure: claims and the time are inputs, member states and changes are outputs. Times are microseconds
on the root's own monotonic clock; neither wall clocks nor agreement between clocks are assumed.

- An *incarnation* is one process of a root, identified by (number, nonce). The higher number takes
  precedence, and the nonce breaks ties. Both are set at the start. A root that receives a claim on
  its own name with a higher incarnation adopts a number above it. No claim about an old incarnation
  affects a newer one.
- A root's own evidence takes precedence over claims of others: a member whose current incarnation
  was heard recently is only suspected when another root claims that it is gone. The suspicion is
  sent to the member, which can refute it.

Bounds: `max_members` members, beyond which a new name is reported and not added; `max_departed`
incarnations of removed members, beyond which the oldest is forgotten, and its claims are accepted
again until a higher incarnation is heard.
"""

import math
from collections import deque

from mothnotch.decisions.fleet.local_health import LocalHealth
from mothnotch.decisions.fleet.member import Member
from mothnotch.decisions.fleet.membership_changes import ChangeKind, MembershipChange, MemberStatus
from mothnotch.decisions.fleet.probe_order import ProbeOrder
from mothnotch.decisions.fleet.swim_messages import (
    ALIVE,
    GONE,
    STATES,
    SUSPECT,
    Claim,
    Message,
    SwimSettings,
)
from mothnotch.decisions.fleet.update_queue import UpdateQueue

# New incarnations that a root adopts within `name_conflict_window_us` because of a name conflict;
# after these, it leaves the name to the other root. Without a limit, two roots that outbid each
# other would flood the fleet with claims.
MAX_CONFLICT_INCARNATIONS = 3
_CHANGE_KIND_BY_STATE = {
    ALIVE: ChangeKind.ALIVE,
    SUSPECT: ChangeKind.SUSPECTED,
    GONE: ChangeKind.GONE,
}


class Membership:
    """One root's membership table. `changes` and `counts` are shared with `SwimNode`."""

    def __init__(
        self,
        own_claim: Claim,
        settings: SwimSettings,
        health: LocalHealth,
        members: dict[str, Member],
        probe_order: ProbeOrder,
        updates: UpdateQueue,
        changes: deque[MembershipChange],
        counts: dict[str, int],
    ):
        """Create a table over `members`, which is empty and shared with `health`."""
        self.name = own_claim.name
        self.own_claim = own_claim
        self.settings = settings
        self.members = members
        # The last claim on each removed member, by name, the oldest first.
        self.departed = {}
        self._health = health
        self._probe_order = probe_order
        self._updates = updates
        self._changes = changes
        self._counts = counts
        self._conflict_times_us = []  # when this root adopted a new incarnation

    # ---- queries ----

    def member_statuses(self, now_us: int) -> list[MemberStatus]:
        """Return the state of each member, sorted by name."""
        return [
            MemberStatus(
                name,
                member.claim.incarnation,
                member.claim.refutation,
                member.claim.state,
                member.claim.address,
                None if member.heard_us is None else now_us - member.heard_us,
                now_us - member.since_us,
                member.is_direct,
            )
            for name, member in sorted(self.members.items())
        ]

    def live_members(self) -> list[str]:
        """Return the names of members that are alive or suspect."""
        return [name for name, member in self.members.items() if member.claim.state != GONE]

    def in_state(self, state: str) -> list[str]:
        """Return the names of members in a state."""
        return [name for name, member in self.members.items() if member.claim.state == state]

    def cluster_size(self) -> int:
        """Return the number of roots that are not gone, this one included."""
        return 1 + len(self.live_members())

    def incarnation_of(self, name: str) -> tuple[int, int] | None:
        """Return the newest known incarnation of a name, or None."""
        if name == self.name:
            return self.own_claim.incarnation
        member = self.members.get(name)
        if member is not None:
            return member.claim.incarnation
        departed = self.departed.get(name)
        return None if departed is None else departed.incarnation

    def min_suspicion_timeout_us(self) -> float:
        """Return the minimum suspicion timeout, microseconds."""
        scale = max(1.0, math.log10(self.cluster_size()))
        return self.settings.suspicion_periods * scale * self.settings.period_us

    # ---- received claims ----

    def on_sender(self, message: Message, address: str, now_us: int) -> None:
        """Process the sender's own claim that it is alive at the address it sent from."""
        sender = message.sender
        claim = Claim(sender.name, sender.incarnation, sender.refutation, ALIVE, address)
        self.apply_claim(claim, now_us, direct=True)
        member = self.members.get(sender.name)
        if member is not None and (member.stamp is None or message.stamp > member.stamp):
            # Only a stamp newer than all before is evidence of life: the network may duplicate an
            # old message.
            member.heard_us = now_us
            member.stamp = message.stamp
            member.stamp_received_us = now_us

    def on_claim(self, claim: Claim, source: str, now_us: int) -> None:
        """Process a claim that the root `source` sent about a third root, or about this one."""
        if claim.state not in STATES:
            self._counts["nonsense"] += 1
        elif claim.name == self.name:
            if claim.incarnation == self.own_claim.incarnation:
                self._refute(claim)
            else:
                self.on_name_conflict(claim, now_us)
        elif claim.state == SUSPECT or (
            claim.state == GONE and self._heard_recently(claim, now_us)
        ):
            self.suspect(claim.with_state(SUSPECT), source, now_us)
        else:
            self.apply_claim(claim, now_us)

    def _refute(self, claim: Claim) -> None:
        """Refute a claim that this root is suspect or gone, and worsen its own health score.

        Such a claim may mean that this root is slow itself.
        """
        if claim.state == ALIVE or claim.refutation < self.own_claim.refutation:
            return
        self._counts["refuted"] += 1
        self._set_own_claim(self.own_claim.incarnation, claim.refutation + 1)
        self._health.increase_score()

    def _set_own_claim(self, incarnation: tuple[int, int], refutation: int) -> None:
        previous = self.own_claim
        self.own_claim = Claim(self.name, incarnation, refutation, ALIVE, previous.address)
        self._updates.add(self.own_claim)

    def _heard_recently(self, claim: Claim, now_us: int) -> bool:
        """Return whether this incarnation was heard within the minimum suspicion timeout."""
        member = self.members.get(claim.name)
        return (
            member is not None
            and member.claim.incarnation == claim.incarnation
            and member.heard_us is not None
            and now_us - member.heard_us < self.min_suspicion_timeout_us()
        )

    def on_name_conflict(self, claim: Claim, now_us: int) -> None:
        """Process a claim on this root's name with another incarnation.

        The claim is about an earlier process of this root, or about another root with its name.
        """
        if claim.incarnation < self.own_claim.incarnation:
            return
        window_us = self.settings.name_conflict_window_us
        self._conflict_times_us = [
            at_us for at_us in self._conflict_times_us if now_us - at_us < window_us
        ]
        if claim.state == ALIVE and self._conflict_times_us:
            # An earlier process cannot exceed an incarnation adopted by this one, so another root
            # must be running under the name.
            self._report(ChangeKind.NAME_CONFLICT, claim)
        if len(self._conflict_times_us) < MAX_CONFLICT_INCARNATIONS:
            self._conflict_times_us.append(now_us)
            self._set_own_claim((claim.incarnation[0] + 1, self.own_claim.incarnation[1]), 0)

    def _report(self, kind: ChangeKind, claim: Claim) -> None:
        self._changes.append(MembershipChange(kind, claim.name, claim.incarnation))

    # ---- suspicion ----

    def suspect(self, claim: Claim, source: str, now_us: int) -> None:
        """Process a suspicion from the root `source`; each further suspecting root shortens it."""
        member = self._current_member(claim)
        if member is None:
            self.apply_claim(claim, now_us)
            member = self._current_member(claim)
            if member is None:
                return
        if claim.precedence > member.claim.precedence:
            self.apply_claim(claim, now_us)
        elif member.claim.state != SUSPECT or claim.refutation != member.claim.refutation:
            return
        if source not in member.suspected_by and len(member.suspected_by) <= (
            self.settings.suspicion_confirmations
        ):
            member.suspected_by.add(source)
            if source != self.name:
                self._updates.add(member.claim)
        member.state_deadline_us = member.suspected_at_us + self._suspicion_timeout_us(member)

    def _current_member(self, claim: Claim) -> Member | None:
        """Return the member if the claim is about its current incarnation, or None."""
        member = self.members.get(claim.name)
        if member is None or claim.incarnation != member.claim.incarnation:
            return None
        return member

    def _suspicion_timeout_us(self, member: Member) -> float:
        """Return the suspicion timeout, which confirmations shorten logarithmically (Lifeguard).

        It is the minimum from the start if local health is disabled or there is no third root that
        could confirm the suspicion.
        """
        min_us = self.min_suspicion_timeout_us()
        size = self.cluster_size()
        if not self.settings.local_health or size <= 2:
            return min_us
        confirmed = max(0, len(member.suspected_by) - 1)
        max_us = min_us * self.settings.suspicion_max_multiple
        needed = max(1, min(self.settings.suspicion_confirmations, size - 2))
        reduction_us = (max_us - min_us) * math.log(confirmed + 1) / math.log(needed + 1)
        return max(min_us, max_us - reduction_us)

    def extend_suspicions(self, extension_us: int) -> None:
        """Extend each suspicion by the time that this root was paused."""
        for member in self.members.values():
            if member.claim.state == SUSPECT:
                member.state_deadline_us += extension_us

    def expire(self, now_us: int) -> None:
        """Declare members gone whose suspicion has expired, and remove long gone ones.

        An expired suspicion is extended instead if this root is recovering or isolated, or has
        heard the member since the suspicion started.
        """
        for name, member in list(self.members.items()):
            if member.state_deadline_us > now_us:
                continue
            if member.claim.state == SUSPECT:
                if (
                    self._health.is_recovering
                    or self._health.is_isolated
                    or member.heard_while_suspected()
                ):
                    member.state_deadline_us = now_us + self.min_suspicion_timeout_us()
                else:
                    self._counts["gone"] += 1
                    self.apply_claim(member.claim.with_state(GONE), now_us)
            elif member.claim.state == GONE:
                del self.members[name]
                self._updates.discard(name)
                self._remember_departed(member.claim)

    # ---- table updates ----

    def _remember_departed(self, claim: Claim) -> None:
        """Remember the last claim on a removed member, so that no older claim adds it again."""
        self.departed.pop(claim.name, None)
        self.departed[claim.name] = claim
        while len(self.departed) > self.settings.max_departed:
            del self.departed[next(iter(self.departed))]

    def apply_claim(self, claim: Claim, now_us: int, direct: bool = False) -> None:
        """Apply a claim about another root if it overrides the current one.

        `direct` tells whether the root made the claim itself.
        """
        member = self.members.get(claim.name)
        if member is None:
            is_applied = self._add_member(claim, now_us, direct)
        elif claim.incarnation < member.claim.incarnation:
            is_applied = False
        elif claim.incarnation > member.claim.incarnation:
            self._replace_member(claim, now_us)
            is_applied = True
        else:
            is_applied = self._update_member(member, claim, now_us, direct)
        if is_applied:
            self._updates.add(self.members[claim.name].claim)

    def _add_member(self, claim: Claim, now_us: int, direct: bool) -> bool:
        """Add a member that is not in the table; return whether it was added.

        A removed member returns only by a claim above its last one, or by a message of its own. A
        claim that a root is gone adds no member, but is remembered.
        """
        departed = self.departed.get(claim.name)
        if (
            departed is not None
            and (claim.incarnation, claim.precedence) <= (departed.incarnation, departed.precedence)
            and not (direct and claim.incarnation == departed.incarnation)
        ):
            return False
        if claim.state == GONE:
            self._remember_departed(claim)
            return False
        if len(self.members) >= self.settings.max_members:
            self._counts["full"] += 1
            self._report(ChangeKind.TABLE_FULL, claim)
            return False
        self.departed.pop(claim.name, None)
        self.members[claim.name] = Member(claim, now_us)
        self._probe_order.insert(claim.name)
        self._report(ChangeKind.JOINED, claim)
        return True

    def _replace_member(self, claim: Claim, now_us: int) -> None:
        """Replace a member by its newer incarnation; nothing of the older one is kept."""
        member = Member(claim, now_us)
        self.members[claim.name] = member
        self._report(ChangeKind.NEW_INCARNATION, claim)
        if claim.state == GONE:
            member.state_deadline_us = now_us + self.settings.gone_retention_us

    def _update_member(self, member: Member, claim: Claim, now_us: int, direct: bool) -> bool:
        """Apply a claim about the current incarnation; return whether it had an effect.

        A message from the member itself at another address changes its address; claims of others
        do not, once the member itself was heard. A gone member needs a higher refutation to become
        alive again.
        """
        current = member.claim
        is_address_changed = direct and claim.address != current.address
        if claim.precedence <= current.precedence and not is_address_changed:
            return False
        if claim.precedence <= current.precedence:
            claim = Claim(
                claim.name, claim.incarnation, current.refutation, current.state, claim.address
            )
        elif not direct and member.heard_us is not None:
            claim = Claim(
                claim.name, claim.incarnation, claim.refutation, claim.state, current.address
            )
        member.claim = claim
        if claim.state != current.state:
            self._enter_state(member, now_us)
        return True

    def _enter_state(self, member: Member, now_us: int) -> None:
        """Initialize the state that the member's claim now has."""
        member.since_us = now_us
        member.suspected_by = set()
        member.state_deadline_us = math.inf
        if member.claim.state == SUSPECT:
            member.suspected_at_us = now_us
            self._counts["suspected"] += 1
        elif member.claim.state == GONE:
            member.state_deadline_us = now_us + self.settings.gone_retention_us
        self._report(_CHANGE_KIND_BY_STATE[member.claim.state], member.claim)
