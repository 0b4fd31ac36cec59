"""Membership claims, the messages that carry them, and the settings of the SWIM protocol.

Kinds and states are plain strings because they are read from the wire: a value that this release
does not know must decode, so that the message can be counted and dropped.
"""

from dataclasses import dataclass

ALIVE = "alive"
SUSPECT = "suspect"
GONE = "gone"
STATES = (ALIVE, SUSPECT, GONE)  # at equal refutation numbers, the later state takes precedence

PING = "ping"
ACK = "ack"
PING_REQUEST = "ask"
NACK = "nack"
GOSSIP = "say"
KINDS = frozenset((PING, ACK, PING_REQUEST, NACK, GOSSIP))


@dataclass(slots=True, frozen=True)
class SwimSettings:
    """Settings of membership and failure detection. Times are in microseconds.

    One member is probed per protocol period. A direct ack is awaited for `ack_timeout_us`, an
    indirect one until the period ends.
    """

    period_us: int = 500_000
    ack_timeout_us: int = 200_000
    indirect_probes: int = 3
    # While claims are queued, they are sent to `gossip_fanout` random members at this interval.
    gossip_interval_us: int = 200_000
    gossip_fanout: int = 2
    # Suspects that are pinged again in each period.
    max_reprobed_suspects: int = 4
    # The minimum suspicion timeout in periods, multiplied by max(1, log10 of the fleet size).
    suspicion_periods: float = 6.0
    # The timeout of an unconfirmed suspicion, as a multiple of the minimum.
    suspicion_max_multiple: float = 6.0
    # Independent confirmations that shorten a suspicion to the minimum timeout.
    suspicion_confirmations: int = 3
    # A claim is piggybacked at most this many times log2 of the fleet size.
    retransmit_multiple: float = 3.0
    claims_per_message: int = 8
    max_members: int = 256
    # Incarnations remembered for members that were removed from the table.
    max_departed: int = 512
    # How long a gone member stays in the table.
    gone_retention_us: int = 60_000_000
    # How often a seed address is pinged until a member answers from it.
    seed_interval_us: int = 2_000_000
    name_conflict_window_us: int = 30_000_000
    # Lifeguard's local health; disabled only to measure its effect.
    local_health: bool = True


@dataclass(slots=True, frozen=True)
class Claim:
    """A statement about the state of one incarnation of a root.

    An incarnation is one process, identified by (number, nonce); the higher is the newer. Within
    it, `refutation` has the role of SWIM's incarnation number: the root raises it whenever it
    refutes a claim that it is suspect or gone. Of two claims about the same incarnation, the one
    with the higher refutation takes precedence; at equal refutations the order is gone, suspect,
    alive.
    """

    name: str
    incarnation: tuple[int, int]
    refutation: int
    state: str
    address: str

    @property
    def precedence(self) -> tuple[int, int]:
        """Return the precedence among claims about one incarnation; the higher overrides."""
        return self.refutation, STATES.index(self.state)

    def with_state(self, state: str) -> "Claim":
        """Return a copy of the claim with another state."""
        return Claim(self.name, self.incarnation, self.refutation, state, self.address)


@dataclass(slots=True, frozen=True)
class Message:
    """One protocol message.

    `to` names the intended receiver, "" if only its address is known. `target` is the member to
    probe in a ping request, and the member that answered in a relayed ack. `address` is the
    target's address in a ping request. `stamp` is the sender's clock. `echo` is the latest stamp
    received from the receiver, and how long ago that was.
    """

    kind: str
    number: int
    sender: Claim
    to: str = ""
    target: str = ""
    address: str = ""
    stamp: int = 0
    echo: tuple[int, int] | None = None
    claims: tuple[Claim, ...] = ()


@dataclass(slots=True, frozen=True)
class Send:
    """A message to send to an address."""

    address: str
    message: Message


def age_bound_us(message: Message, now_us: int) -> int | None:
    """Return an upper bound on a received message's time in transit, by the receiver's clock.

    Return None if the message has no valid echo: then nothing bounds its age.
    """
    if message.echo is None:
        return None
    stamp, elapsed_us = message.echo
    return now_us - stamp - elapsed_us if 0 <= elapsed_us <= now_us - stamp else None
