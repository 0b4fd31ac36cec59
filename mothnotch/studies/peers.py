"""Roots' membership in virtual time: any number of `SwimNode`s over links that lose, delay and cut, and
what that shows.

    python -m mothnotch.studies.peers [--seed N] [--quick]     # the tables of docs/peers.md

Everything here is simulated: no socket, no process, a heap of events on one clock.
"""

import argparse
import heapq
import itertools
import math
import random
import statistics
from dataclasses import dataclass, field

from mothnotch.decisions.fleet import swim_messages as swim
from mothnotch.decisions.fleet.gossip_protocol import GossipProtocol, GossipSettings
from mothnotch.decisions.fleet.gossip_store import GossipStore, GossipStoreSettings
from mothnotch.decisions.fleet.swim_node import SwimNode
from mothnotch.peers.codec import Codec, InvalidMessageError

SECOND = 1_000_000
KEY = b"a key of the virtual fleet"


@dataclass
class Link:
    """What happens to messages from one root to another."""

    loss: float = 0.0
    delay_us: int = 500
    jitter_us: int = 500
    cut: bool = False
    twice: float = 0.0


@dataclass
class Root:
    name: str
    address: str
    number: int  # of its next life
    codec: Codec = None
    talk: object = None  # a GossipProtocol
    up: bool = False
    paused: bool = False
    inbox: list = field(default_factory=list)  # what comes while it is paused
    born: int = 0
    called: str = ""  # what it calls itself, where that is not its name here

    @property
    def swim(self):
        return self.talk.swim

    @property
    def membership(self):
        return self.talk.swim.membership

    @property
    def facts(self):
        return self.talk.store


class Fleet:
    """`links[a, b]` overrides `link`. `step` runs until a time; `log` keeps (time, root, news)."""

    def __init__(self, count, seed=1, link=None, settings=None):
        self.random, self.settings, self.link = (
            random.Random(seed),
            settings or swim.SwimSettings(),
            link or Link(),
        )
        self.now, self.heap, self.order, self.links, self.log = 0, [], itertools.count(), {}, []
        self.sent, self.bytes, self.delivered, self.dropped = 0, 0, [], []
        self.roots = {
            f"r{n}": Root(f"r{n}", f"a{n}", 1, Codec("virtual", [KEY])) for n in range(count)
        }
        self.seeds = [root.address for root in list(self.roots.values())[:3]]
        self.keep = False  # whether delivered messages are kept

    # ---- what happens to roots ----

    def start(self, *names):
        for name in names or self.roots:
            root = self.roots[name]
            root.number, root.up, root.paused, root.inbox, root.born = (
                root.number + 1,
                True,
                False,
                [],
                self.now,
            )
            life, drawn = (
                (root.number, self.random.getrandbits(32)),
                random.Random(self.random.random()),
            )
            called = root.called or name
            view = SwimNode(called, life, root.address, self.seeds, self.settings, drawn, self.now)
            root.talk = GossipProtocol(
                view,
                GossipStore(called, life, GossipStoreSettings()),
                GossipSettings(),
                drawn,
                self.now,
            )
            self.wake(root)

    def kill(self, *names):
        for name in names:
            self.roots[name].up = False

    def pause(self, *names):
        for name in names:
            self.roots[name].paused = True

    def resume(self, *names):
        for name in names:
            root = self.roots[name]
            root.paused = False
            for address, data in root.inbox:
                self.give(root, address, data)
            root.inbox = []
            self.carry(root, root.talk.tick(self.now))

    def cut(self, names, both=True, on=True):
        """Cuts the links out of a set of roots (and into it)."""
        inside = set(names)
        for a, b in itertools.permutations(self.roots, 2):
            if (a in inside) != (b in inside) and (both or a in inside):
                self.links.setdefault((a, b), Link(**vars(self.link))).cut = on

    # ---- time ----

    def wake(self, root):
        life, at = (
            root.membership.own_claim.incarnation[1],
            max(self.now + 1, int(root.talk.due_us()) + 1),
        )
        heapq.heappush(self.heap, (at, next(self.order), "wake", root, life))

    def carry(self, root, sends):
        for send in sends:
            data = root.codec.encode(send.envelope)
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
            target = next((r for r in self.roots.values() if r.address == send.address), None)
            if target is None:
                continue
            link = self.links.get((root.name, target.name), self.link)
            if link.cut or self.random.random() < link.loss:
                continue
            for _ in range(1 + (self.random.random() < link.twice)):
                at = self.now + link.delay_us + int(self.random.random() * link.jitter_us)
                heapq.heappush(
                    self.heap, (at, next(self.order), "message", target, (root.address, data))
                )
        self.news(root)

    def exchange(self, root):
        """An exchange of all that is held, as over a stream: what is lost there comes 200 ms later."""
        partner = root.talk.choose_sync_partner(self.now)
        if partner is None:
            return
        target = next((r for r in self.roots.values() if r.address == partner[1]), None)
        links = self.both_ways(root, target) if target is not None else []
        sound = (
            target is not None
            and target.up
            and not target.paused
            and not any(link.cut for link in links)
        )
        late = sum(200_000 for _ in range(4) for link in links if self.random.random() < link.loss)
        took = min(
            2 * SECOND, 2 * sum(link.delay_us for link in links) + late if sound else 2 * SECOND
        )
        heapq.heappush(
            self.heap,
            (
                self.now + took,
                next(self.order),
                "whole",
                root,
                (took < 2 * SECOND, target, self.now),
            ),
        )

    def both_ways(self, root, target):
        return [
            self.links.get((a.name, b.name), self.link) for a, b in ((root, target), (target, root))
        ]

    def exchanged(self, root, done, target, began):
        if (
            not done
            or not target.up
            or target.paused
            or any(link.cut for link in self.both_ways(root, target))
        ):
            root.talk.on_sync_failed(self.now)
            return
        hello = root.talk.full_state(began)
        if not target.talk.merge_full_state(self.now, hello):
            return
        ours = target.talk.full_state(self.now, hello.stamp)
        root.talk.merge_full_state(self.now, ours)
        theirs = root.talk.full_state(self.now, ours.stamp)
        target.talk.merge_full_state(self.now, theirs)
        self.sent, self.bytes = (
            self.sent + 3,
            self.bytes + sum(len(root.codec.encode_full_state(w)) for w in (hello, ours, theirs)),
        )
        self.news(root)
        self.news(target)

    def news(self, root):
        for news in root.swim.take_changes():
            self.log.append((self.now, root.name, news))

    def give(self, root, address, data):
        try:
            envelope = root.codec.decode(data)
        except InvalidMessageError as dropped:
            self.dropped.append((root.name, dropped.reason))
            return
        if self.keep:
            self.delivered.append((self.now, root.name, address, envelope.message))
        self.carry(root, root.talk.on_envelope(self.now, address, envelope))

    def step(self, until):
        while self.heap and self.heap[0][0] <= until:
            self.now, _, kind, root, what = heapq.heappop(self.heap)
            if kind == "wake":
                if root.up and root.membership.own_claim.incarnation[1] == what:
                    if not root.paused:
                        self.carry(root, root.talk.tick(self.now))
                        self.exchange(root)
                    heapq.heappush(
                        self.heap,
                        (
                            max(
                                self.now + 1,
                                int(root.talk.due_us()) + 1
                                if not root.paused
                                else self.now + 100_000,
                            ),
                            next(self.order),
                            "wake",
                            root,
                            what,
                        ),
                    )
            elif kind == "whole":
                if root.up and not root.paused:
                    self.exchanged(root, *what)
            elif root.up and root.paused:
                if len(root.inbox) < 1000:  # as a socket's buffer does
                    root.inbox.append(what)
            elif root.up:
                self.give(root, *what)
        self.now = until

    # ---- what is believed ----

    def states(self, name):
        """What each live root holds a name for."""
        return {
            r.name: (
                r.membership.members[name].claim.state if name in r.membership.members else None
            )
            for r in self.roots.values()
            if r.up and r.name != name
        }

    def agreed(self, sure=True):
        """Whether all that are up hold each other, and nobody else, for there, in the life that
        each has; `sure`: and nobody under suspicion.
        """
        up = {r.name: r.membership.own_claim.incarnation for r in self.roots.values() if r.up}
        return all(
            {
                n: r.membership.members[n].claim.incarnation
                for n in r.membership.live_members()
                if not sure or r.membership.members[n].claim.state == swim.ALIVE
            }
            == {n: v for n, v in up.items() if n != r.name}
            and len(r.membership.live_members()) == len(up) - 1
            for r in self.roots.values()
            if r.up
        )

    def until(self, true, most_us, step_us=50_000):
        """Runs until something holds; gives how long that took, or None."""
        began = self.now
        while self.now - began < most_us:
            if true():
                return self.now - began
            self.step(self.now + step_us)
        return None


def joined(count, seed, loss=0.0, settings=None):
    fleet = Fleet(count, seed, Link(loss=loss), settings)
    fleet.start()
    took = fleet.until(lambda: fleet.agreed(sure=False), 300 * SECOND)
    return fleet, took


def spread(count, seed, loss, cut_s=0):
    """One root states a fact (while half is cut off, for so long): seconds until all know it, from
    then or the cut's end.
    """
    fleet, _ = joined(count, seed)
    fleet.link.loss = loss
    half = list(fleet.roots)[: count // 2]
    if cut_s:
        fleet.cut(half)
    fleet.roots["r0"].facts.publish("demand", b"x" * 32, 300 * SECOND, fleet.now)
    if cut_s:
        fleet.step(fleet.now + cut_s * SECOND)
        fleet.cut(half, on=False)
    return fleet.until(
        lambda: all("r0" in r.facts.known_facts("demand", fleet.now) for r in fleet.roots.values()),
        300 * SECOND,
    )


def detection(count, seed, loss):
    """One root killed: seconds until the first and until all others hold it for gone, and bytes a
    second a root.
    """
    fleet, took = joined(count, seed, loss)
    before, began = fleet.bytes, fleet.now
    fleet.step(fleet.now + 20 * SECOND)
    rate = (fleet.bytes - before) / (fleet.now - began) * SECOND / count
    victim = f"r{count - 1}"
    fleet.kill(victim)

    def gone(every):
        held = [state in (swim.GONE, None) for state in fleet.states(victim).values()]
        return all(held) if every else any(held)

    first = fleet.until(lambda: gone(False), 120 * SECOND)
    rest = fleet.until(lambda: gone(True), 120 * SECOND)
    return took, first, None if rest is None or first is None else first + rest, rate


def wrongly_gone(count, seed, span_s, loss, jitter_us, paused=0, health=True):
    """Sound roots held for gone by anybody, and suspicions, in a span: with loss, jitter and some
    roots that stand still for half of each second.
    """
    fleet = Fleet(count, seed, Link(loss=0.0), swim.SwimSettings(local_health=health))
    fleet.start()
    fleet.until(fleet.agreed, 120 * SECOND)
    fleet.link.loss, fleet.link.jitter_us = loss, jitter_us
    slow = list(fleet.roots)[:paused]
    fleet.log.clear()
    end = fleet.now + span_s * SECOND
    while fleet.now < end:
        if slow:
            fleet.pause(*slow)
            fleet.step(fleet.now + int(fleet.random.uniform(0.3, 1.5) * SECOND))
            fleet.resume(*slow)
        fleet.step(fleet.now + SECOND // 2)
    sound = [news for _, _, news in fleet.log if news.name not in slow]
    return sum(n.kind == "gone" for n in sound), sum(n.kind == "suspect" for n in sound)


def seconds(us):
    return "not in time" if us == math.inf else f"{us / SECOND:.1f}"


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true")
    options = parser.parse_args()
    counts, seeds = ((3, 10), 2) if options.quick else ((3, 10, 30, 100, 200), 3)
    print(
        "| roots | loss | all know all, s | first holds it for gone, s | all do, s | bytes a second a root |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for count in counts:
        for loss in (0.0, 0.1, 0.3):
            found = [
                detection(count, options.seed + k, loss) for k in range(seeds if count < 100 else 1)
            ]
            middle = [
                statistics.median([math.inf if f[k] is None else f[k] for f in found])
                for k in range(4)
            ]
            print(
                f"| {count} | {loss:.0%} | {' | '.join(seconds(m) for m in middle[:3])} | {middle[3]:.0f} |"
            )
    print()
    print(
        "| roots | a fact known to all: no loss, s | 10% lost | 30% lost | after a cut of half for 30 s |"
    )
    print("| --- | --- | --- | --- | --- |")
    for count in counts:
        found = [
            [spread(count, options.seed + k, loss, cut) for k in range(seeds if count < 100 else 1)]
            for loss, cut in ((0.0, 0), (0.1, 0), (0.3, 0), (0.0, 30))
        ]
        most = [max(math.inf if x is None else x for x in f) for f in found]
        print(f"| {count} | {' | '.join(seconds(m) for m in most)} |")
    print()
    print(
        "| roots | standing still by turns | local health | sound held for gone | suspicions of sound ones |"
    )
    print("| --- | --- | --- | --- | --- |")
    span = 60 if options.quick else 600
    for count, paused in (
        ((10, 0), (10, 2)) if options.quick else ((10, 0), (30, 0), (10, 2), (30, 4))
    ):
        for health in (True, False):
            gone, suspected = wrongly_gone(count, options.seed, span, 0.3, 200_000, paused, health)
            print(f"| {count} | {paused} | {'on' if health else 'off'} | {gone} | {suspected} |")


if __name__ == "__main__":
    main()
