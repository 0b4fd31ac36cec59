"""What a root says to the others: the membership's messages, with facts and digests along, and what it makes of theirs.

Pure, as peers.py and facts.py, which it joins: envelopes and the clock in, envelopes out. A fact is taken with the
bound on its message's age that the membership works out; the membership's lives go before those that facts state.

Bounds: `room` bytes of facts an envelope, one digest a `digest_us`; a digest is answered by two envelopes at most.
"""
import math
from dataclasses import dataclass

from mothnotch.decisions.fleet import peers as membership
from mothnotch.decisions.fleet.facts import Fact, Mark


@dataclass(slots=True, frozen=True)
class Settings:
    room: int = 700                # bytes of facts in an envelope
    digest_us: int = 1_000_000
    marks: int = 16                # of an envelope that came; more are not looked at
    facts: int = 64


@dataclass(slots=True, frozen=True)
class Envelope:
    """`marks`: a digest, to be answered; `wanted`: what the sender has of origins of which it lacks something."""
    message: membership.Message
    facts: tuple[Fact, ...] = ()
    marks: tuple[Mark, ...] = ()
    wanted: tuple[Mark, ...] = ()


@dataclass(slots=True, frozen=True)
class Send:
    address: str
    envelope: Envelope


class Talk:
    """One root's side. Gives `Send`s; `due` is when `tick` has to come at the latest."""

    def __init__(self, peers, facts, settings, random, now):
        self.peers, self.facts, self.s, self.random, self.digest_at = peers, facts, settings, random, now
        self.life = peers.me.life

    def due(self):
        return min(self.peers.due(), self.digest_at if self.peers.peers else math.inf)

    def tick(self, now):
        out = self.wrapped(self.peers.tick(now), now)
        self.facts.sweep(now)
        if now >= self.digest_at:
            self.digest_at = now + self.s.digest_us
            others = self.peers.live()
            if others:
                name = self.random.choice(others)
                out.append(self.say(name, now, marks=self.facts.digest()))
        return out

    def heard(self, now, address, envelope):
        """Takes what came from an address; gives what is to be sent."""
        message, sender = envelope.message, envelope.message.sender
        bound = self.peers.age_bound(message, now)
        out = self.wrapped(self.peers.heard(now, address, message), now)
        peer = self.peers.peers.get(sender.name)
        if peer is None or peer.claim.life != sender.life:
            return out                               # not one this root speaks with, or an old life of it
        self.facts.follow(sender.name, sender.life)
        if envelope.facts:
            self.facts.take(envelope.facts[:self.s.facts], bound, now, self.peers.life_of)
        if envelope.marks:
            found, wanted = self.facts.lacking(envelope.marks[:self.s.marks], self.s.room, now)
            if found or wanted:
                out.append(self.say(sender.name, now, facts=found, wanted=wanted))
        if envelope.wanted:
            found, _ = self.facts.lacking(envelope.wanted[:self.s.marks], self.s.room, now)
            if found:
                out.append(self.say(sender.name, now, facts=found))
        return out

    def say(self, name, now, **more):
        self.peers.now = now
        send = self.peers.send(self.peers.peers[name].claim.address, membership.SAY, name, 0)
        return Send(send.address, Envelope(send.message, **more))

    def wrapped(self, sends, now):
        """The membership's messages, with facts that are still to be passed on. Its changes of life are the facts', too."""
        if self.life != self.peers.me.life:
            self.life = self.peers.me.life
            self.facts.reborn(self.life)
        size = self.peers.size()
        return [Send(s.address, Envelope(s.message, self.facts.riding(self.s.room, size, now) if s.message.echo else ()))
                for s in sends]
