"""Builds one root's messages, with its stamp, the echo of the receiver's, and queued claims."""

from mothnotch.decisions.fleet.membership import Membership
from mothnotch.decisions.fleet.swim_messages import ALIVE, Message, Send
from mothnotch.decisions.fleet.update_queue import UpdateQueue


class MessageBuilder:
    """Builds messages. Each consumes transmissions of queued claims, so it has to be sent."""

    def __init__(self, membership: Membership, updates: UpdateQueue):
        """Create a builder for the root that owns the table."""
        self._membership = membership
        self._updates = updates

    def build(
        self,
        now_us: int,
        address: str,
        kind: str,
        to: str,
        number: int,
        target: str = "",
        target_address: str = "",
    ) -> Send:
        """Return a message for the root `to` ("" if its name is unknown) at an address.

        If the receiver is suspect or gone in the table, that claim comes first in the message, so
        that the receiver can refute it (Lifeguard's buddy system).
        """
        member = self._membership.members.get(to)
        echo = None
        first_claim = None
        if member is not None:
            if member.stamp is not None:
                echo = (member.stamp, now_us - member.stamp_received_us)
            if member.claim.state != ALIVE:
                first_claim = member.claim
        claims = self._updates.take(first_claim, self._membership.cluster_size())
        own = self._membership.own_claim
        message = Message(kind, number, own, to, target, target_address, now_us, echo, claims)
        return Send(address, message)
