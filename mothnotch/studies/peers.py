"""Simulate the membership protocol of roots over links that lose, delay and duplicate messages.

    python -m mothnotch.studies.peers [--seed N] [--quick]     # the tables of docs/peers.md

The simulation uses no sockets and no processes: all events are in a heap, ordered by virtual time.
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
    """The faults and delays of messages from one root to another.

    `loss` and `duplicate` are probabilities; a `cut` link delivers nothing.
    """

    loss: float = 0.0
    delay_us: int = 500
    jitter_us: int = 500
    cut: bool = False
    duplicate: float = 0.0


@dataclass
class Root:
    """A simulated root and its connection to the fleet."""

    name: str
    address: str
    number: int  # of its current incarnation; raised at each start
    codec: Codec = None
    protocol: object = None  # a GossipProtocol
    up: bool = False
    paused: bool = False
    inbox: list = field(default_factory=list)  # messages received while it is paused
    started_us: int = 0
    announced_name: str = ""  # the name that it claims, if that is not `name`

    @property
    def swim(self):
        """The root's SwimNode."""
        return self.protocol.swim

    @property
    def membership(self):
        """The root's view of the members."""
        return self.protocol.swim.membership

    @property
    def facts(self):
        """The root's GossipStore."""
        return self.protocol.store


class Fleet:
    """Simulated roots, their links and the events between them, in virtual microseconds.

    `links[a, b]` overrides `link` for messages from root a to root b. `log` is a list of (time,
    root, membership change).
    """

    def __init__(self, count, seed=1, link=None, settings=None):
        """Create `count` roots that are not started."""
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
        self.record_deliveries = False  # whether delivered messages are recorded in `delivered`

    # ---- changes of roots and links ----

    def start(self, *names):
        """Start roots, by default all, each as a new incarnation."""
        for name in names or self.roots:
            root = self.roots[name]
            root.number, root.up, root.paused, root.inbox, root.started_us = (
                root.number + 1,
                True,
                False,
                [],
                self.now,
            )
            incarnation, generator = (
                (root.number, self.random.getrandbits(32)),
                random.Random(self.random.random()),
            )
            announced_name = root.announced_name or name
            node = SwimNode(
                announced_name,
                incarnation,
                root.address,
                self.seeds,
                self.settings,
                generator,
                self.now,
            )
            root.protocol = GossipProtocol(
                node,
                GossipStore(announced_name, incarnation, GossipStoreSettings()),
                GossipSettings(),
                generator,
                self.now,
            )
            self.schedule_wake(root)

    def kill(self, *names):
        """Stop roots without notice to the others."""
        for name in names:
            self.roots[name].up = False

    def pause(self, *names):
        """Suspend roots, as if their processes were not scheduled."""
        for name in names:
            self.roots[name].paused = True

    def resume(self, *names):
        """Resume paused roots, which then process the messages received meanwhile."""
        for name in names:
            root = self.roots[name]
            root.paused = False
            for address, data in root.inbox:
                self.deliver(root, address, data)
            root.inbox = []
            self.transmit(root, root.protocol.tick(self.now))

    def cut(self, names, both=True, on=True):
        """Cut the links out of a set of roots, and with `both` also those into it.

        With `on` False, restore them.
        """
        inside = set(names)
        for a, b in itertools.permutations(self.roots, 2):
            if (a in inside) != (b in inside) and (both or a in inside):
                self.links.setdefault((a, b), Link(**vars(self.link))).cut = on

    # ---- events ----

    def schedule_wake(self, root):
        """Schedule the first timer event of a root's current incarnation."""
        incarnation_tag, at_us = (
            root.membership.own_claim.incarnation[1],
            max(self.now + 1, int(root.protocol.due_us()) + 1),
        )
        heapq.heappush(self.heap, (at_us, next(self.order), "wake", root, incarnation_tag))

    def transmit(self, root, sends):
        """Send a root's messages over its links and record its membership changes."""
        for send in sends:
            data = root.codec.encode(send.envelope)
            self.sent, self.bytes = self.sent + 1, self.bytes + len(data)
            target = next((r for r in self.roots.values() if r.address == send.address), None)
            if target is None:
                continue
            link = self.links.get((root.name, target.name), self.link)
            if link.cut or self.random.random() < link.loss:
                continue
            for _ in range(1 + (self.random.random() < link.duplicate)):
                at = self.now + link.delay_us + int(self.random.random() * link.jitter_us)
                heapq.heappush(
                    self.heap, (at, next(self.order), "message", target, (root.address, data))
                )
        self.record_changes(root)

    def start_sync(self, root):
        """Start an exchange of full states, as over a TCP stream.

        Each lost message delays the exchange by 200 ms, as a retransmission does.
        """
        partner = root.protocol.choose_sync_partner(self.now)
        if partner is None:
            return
        target = next((r for r in self.roots.values() if r.address == partner[1]), None)
        links = self.both_links(root, target) if target is not None else []
        reachable = (
            target is not None
            and target.up
            and not target.paused
            and not any(link.cut for link in links)
        )
        retransmission_us = sum(
            200_000 for _ in range(4) for link in links if self.random.random() < link.loss
        )
        took_us = min(
            2 * SECOND,
            2 * sum(link.delay_us for link in links) + retransmission_us
            if reachable
            else 2 * SECOND,
        )
        heapq.heappush(
            self.heap,
            (
                self.now + took_us,
                next(self.order),
                "whole",
                root,
                (took_us < 2 * SECOND, target, self.now),
            ),
        )

    def both_links(self, root, target):
        """Return the links between two roots, in both directions."""
        return [
            self.links.get((a.name, b.name), self.link) for a, b in ((root, target), (target, root))
        ]

    def finish_sync(self, root, done, target, began):
        """Exchange the full states at the end of a sync; fail it if the target is unreachable."""
        if (
            not done
            or not target.up
            or target.paused
            or any(link.cut for link in self.both_links(root, target))
        ):
            root.protocol.on_sync_failed(self.now)
            return
        request = root.protocol.full_state(began)
        if not target.protocol.merge_full_state(self.now, request):
            return
        response = target.protocol.full_state(self.now, request.stamp)
        root.protocol.merge_full_state(self.now, response)
        confirmation = root.protocol.full_state(self.now, response.stamp)
        target.protocol.merge_full_state(self.now, confirmation)
        self.sent, self.bytes = (
            self.sent + 3,
            self.bytes
            + sum(
                len(root.codec.encode_full_state(state))
                for state in (request, response, confirmation)
            ),
        )
        self.record_changes(root)
        self.record_changes(target)

    def record_changes(self, root):
        """Append a root's new membership changes to the log."""
        for change in root.swim.take_changes():
            self.log.append((self.now, root.name, change))

    def deliver(self, root, address, data):
        """Let a root process a received message, or record why it dropped it."""
        try:
            envelope = root.codec.decode(data)
        except InvalidMessageError as error:
            self.dropped.append((root.name, error.reason))
            return
        if self.record_deliveries:
            self.delivered.append((self.now, root.name, address, envelope.message))
        self.transmit(root, root.protocol.on_envelope(self.now, address, envelope))

    def step(self, end_us):
        """Process all events up to the time `end_us`."""
        while self.heap and self.heap[0][0] <= end_us:
            self.now, _, kind, root, payload = heapq.heappop(self.heap)
            if kind == "wake":
                if root.up and root.membership.own_claim.incarnation[1] == payload:
                    if not root.paused:
                        self.transmit(root, root.protocol.tick(self.now))
                        self.start_sync(root)
                    heapq.heappush(
                        self.heap,
                        (
                            max(
                                self.now + 1,
                                int(root.protocol.due_us()) + 1
                                if not root.paused
                                else self.now + 100_000,
                            ),
                            next(self.order),
                            "wake",
                            root,
                            payload,
                        ),
                    )
            elif kind == "whole":
                if root.up and not root.paused:
                    self.finish_sync(root, *payload)
            elif root.up and root.paused:
                if len(root.inbox) < 1000:  # bounded, like a socket's buffer
                    root.inbox.append(payload)
            elif root.up:
                self.deliver(root, *payload)
        self.now = end_us

    # ---- views of the roots ----

    def states_of(self, name):
        """Return the state of the member `name` in the view of each other running root."""
        return {
            r.name: (
                r.membership.members[name].claim.state if name in r.membership.members else None
            )
            for r in self.roots.values()
            if r.up and r.name != name
        }

    def views_agree(self, no_suspects=True):
        """Return whether the views of all running roots match the roots that are running.

        The incarnations must match too. With `no_suspects`, a suspected member counts as missing.
        """
        up = {r.name: r.membership.own_claim.incarnation for r in self.roots.values() if r.up}
        return all(
            {
                n: r.membership.members[n].claim.incarnation
                for n in r.membership.live_members()
                if not no_suspects or r.membership.members[n].claim.state == swim.ALIVE
            }
            == {n: v for n, v in up.items() if n != r.name}
            and len(r.membership.live_members()) == len(up) - 1
            for r in self.roots.values()
            if r.up
        )

    def run_until(self, condition, timeout_us, step_us=50_000):
        """Run until `condition()` is true; return how long that took, or None after the timeout."""
        began = self.now
        while self.now - began < timeout_us:
            if condition():
                return self.now - began
            self.step(self.now + step_us)
        return None


def joined_fleet(count, seed, loss=0.0, settings=None):
    """Return a fleet whose roots have all joined, and how long that took (None: timeout)."""
    fleet = Fleet(count, seed, Link(loss=loss), settings)
    fleet.start()
    join_us = fleet.run_until(lambda: fleet.views_agree(no_suspects=False), 300 * SECOND)
    return fleet, join_us


def measure_spread(count, seed, loss, cut_s=0):
    """Return the microseconds until all roots know a fact that one root publishes, or None.

    With `cut_s`, half of the roots are cut off for that long from the publication on, and the time
    is measured from the end of the cut.
    """
    fleet, _ = joined_fleet(count, seed)
    fleet.link.loss = loss
    half = list(fleet.roots)[: count // 2]
    if cut_s:
        fleet.cut(half)
    fleet.roots["r0"].facts.publish("demand", b"x" * 32, 300 * SECOND, fleet.now)
    if cut_s:
        fleet.step(fleet.now + cut_s * SECOND)
        fleet.cut(half, on=False)
    return fleet.run_until(
        lambda: all("r0" in r.facts.known_facts("demand", fleet.now) for r in fleet.roots.values()),
        300 * SECOND,
    )


def measure_detection(count, seed, loss):
    """Kill one root and measure its detection.

    Return four values: the microseconds until all roots have joined; those from the kill until the
    first root, and until every root, regards the killed one as gone (None: timeout); and the bytes
    sent per second and root.
    """
    fleet, join_us = joined_fleet(count, seed, loss)
    before, began = fleet.bytes, fleet.now
    fleet.step(fleet.now + 20 * SECOND)
    rate = (fleet.bytes - before) / (fleet.now - began) * SECOND / count
    victim = f"r{count - 1}"
    fleet.kill(victim)

    def is_gone(every):
        verdicts = [state in (swim.GONE, None) for state in fleet.states_of(victim).values()]
        return all(verdicts) if every else any(verdicts)

    first = fleet.run_until(lambda: is_gone(False), 120 * SECOND)
    rest = fleet.run_until(lambda: is_gone(True), 120 * SECOND)
    return join_us, first, None if rest is None or first is None else first + rest, rate


def count_false_detections(count, seed, span_s, loss, jitter_us, paused=0, health=True):
    """Return how often running roots were wrongly declared gone and how often suspected.

    During `span_s` seconds, messages are lost and delayed, and the first `paused` roots are paused
    repeatedly for 0.3 to 1.5 s; verdicts about these are not counted.
    """
    fleet = Fleet(count, seed, Link(loss=0.0), swim.SwimSettings(local_health=health))
    fleet.start()
    fleet.run_until(fleet.views_agree, 120 * SECOND)
    fleet.link.loss, fleet.link.jitter_us = loss, jitter_us
    paused_names = list(fleet.roots)[:paused]
    fleet.log.clear()
    end = fleet.now + span_s * SECOND
    while fleet.now < end:
        if paused_names:
            fleet.pause(*paused_names)
            fleet.step(fleet.now + int(fleet.random.uniform(0.3, 1.5) * SECOND))
            fleet.resume(*paused_names)
        fleet.step(fleet.now + SECOND // 2)
    changes = [change for _, _, change in fleet.log if change.name not in paused_names]
    return sum(n.kind == "gone" for n in changes), sum(n.kind == "suspect" for n in changes)


def seconds(us):
    """Format a time in seconds; infinity stands for a timeout."""
    return "not in time" if us == math.inf else f"{us / SECOND:.1f}"


def main():
    """Run the simulations and print the tables."""
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
            results = [
                measure_detection(count, options.seed + k, loss)
                for k in range(seeds if count < 100 else 1)
            ]
            medians = [
                statistics.median([math.inf if times[k] is None else times[k] for times in results])
                for k in range(4)
            ]
            print(
                f"| {count} | {loss:.0%} | {' | '.join(seconds(m) for m in medians[:3])} | {medians[3]:.0f} |"
            )
    print()
    print(
        "| roots | a fact known to all: no loss, s | 10% lost | 30% lost | after a cut of half for 30 s |"
    )
    print("| --- | --- | --- | --- | --- |")
    for count in counts:
        results = [
            [
                measure_spread(count, options.seed + k, loss, cut)
                for k in range(seeds if count < 100 else 1)
            ]
            for loss, cut in ((0.0, 0), (0.1, 0), (0.3, 0), (0.0, 30))
        ]
        worst = [max(math.inf if x is None else x for x in times) for times in results]
        print(f"| {count} | {' | '.join(seconds(m) for m in worst)} |")
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
            gone, suspected = count_false_detections(
                count, options.seed, span, 0.3, 200_000, paused, health
            )
            print(f"| {count} | {paused} | {'on' if health else 'off'} | {gone} | {suspected} |")


if __name__ == "__main__":
    main()
