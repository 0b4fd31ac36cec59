"""Calls to the leaves: connections that carry many parts at once.

What an attempt ends with follows the platform's table; it turns on whether the last byte of its frame was taken by
the socket: before that it never ran (UNREACHABLE), from then on it may have (BROKEN, TIMEOUT). Bounds: `streams`
parts on a connection, `most` connections in all, past which an attempt ends UNSENT and the module is asked again;
ids given up are kept by connection, SPENT at most.
"""
from collections import deque

import trio

from mothnotch.decisions import interface as i
from mothnotch.decisions.links import Hearing
from mothnotch.leaves.timeouts import Timeouts
from mothnotch.net import shut
from mothnotch.node import frames
from mothnotch.outgoing import GONE, Outgoing

READ = 1 << 15                   # bytes read at once
SPENT = 1024                     # ids given up and not answered yet that a connection may have
RESULTS = {"good": i.Result.OK, "bad": i.Result.ERROR, "later": i.Result.REJECTED}
SWEEP_S = 0.5


class Leaf:
    def __init__(self, name, address):
        self.name, self.address, self.takes_new, self.links = name, address, True, []


class Link(Outgoing):
    """One connection to a leaf, under way or made."""

    __slots__ = ("calls", "leaf", "address", "reader", "out", "spent", "waiting", "given", "ends", "probes", "idle_since",
                 "no_more", "heard_us")

    def __init__(self, calls, leaf):
        super().__init__(calls.network, calls.nursery, None)
        self.calls, self.leaf, self.address, self.reader = calls, leaf, leaf.address, frames.Reader()
        self.out, self.spent = {}, {}        # wire id -> attempt; ids given up whose answer may still come
        self.waiting = []                    # attempts for whom the connection is being made
        self.given, self.ends = 0, deque()   # bytes the socket took; (offset of a frame's end, attempts) still to come
        self.probes = deque()                # (sent_us, post) of the probes out
        self.idle_since, self.no_more, self.heard_us = trio.current_time(), False, 0

    @property
    def load(self):
        return len(self.out) + len(self.waiting)

    def call(self, attempts, data):
        """Sends the frame of a call."""
        self.ends.append((self.given + len(self.rest) + len(data), attempts))
        self.send(data)

    def took(self, n):
        """Frames that are out whole may run from now on."""
        self.given += n
        while self.ends and self.ends[0][0] <= self.given:
            went = int(trio.current_time() * 1e6)
            for attempt in self.ends.popleft()[1]:
                attempt.went_us, attempt.call.went = went, True

    def withdrawn(self):
        """Told that the leaf drains while a frame is not out whole: the connection goes, and that frame never ran."""
        if self.leaf.takes_new or not self.ends:
            return False
        self.lost()
        return True

    def lost(self):
        self.calls.lost(self)


class Ticket:
    """What an attempt knows of the connection it is on."""

    __slots__ = ("calls", "link", "wire_id", "went")

    def __init__(self, calls, link, wire_id):
        self.calls, self.link, self.wire_id, self.went = calls, link, wire_id, False

    def dropped(self, attempt):
        """The attempt was called off."""
        self.calls.give_up(self, attempt)


class Calls:
    """All leaves. `send`, `disconnect` and `probe` are what the core uses."""

    def __init__(self, network, log, streams, per_call, most, idle_s, connect_s):
        self.network, self.log, self.streams, self.per_call = network, log, streams, max(1, per_call)
        self.most, self.idle_s, self.connect_s = most, idle_s, connect_s
        self.leaves, self.open = {}, 0
        self.timeouts, self.hearing = Timeouts(self.timed_out), Hearing()
        self.counts = {"connects": 0, "connects_failed": 0, "frames": 0, "given_up": 0, "spoilt": 0, "over_most": 0,
                       "late": 0, "silent": 0}

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Runs until cancelled; every connection's task lives in its nursery."""
        async with trio.open_nursery() as self.nursery:
            self.nursery.start_soon(self.timeouts.run)
            self.nursery.start_soon(self.sweep)
            task_status.started()
            await trio.sleep_forever()

    # ---- the list ----

    def follow(self, leaves, whole):
        """The list's leaves, or those of it that changed."""
        gone = set(self.leaves) - {leaf.name for leaf in leaves} if whole else set()
        for leaf in leaves:
            if leaf.state == "removed":
                gone.add(leaf.name)
                continue
            known = self.leaves.get(leaf.name)
            if known is None:
                known = self.leaves[leaf.name] = Leaf(leaf.name, leaf.address)
            elif known.address != leaf.address:
                known.address = leaf.address
                self.retire(known)
            known.takes_new = leaf.state == "up"
        for name in gone:
            leaf = self.leaves.pop(name, None)
            if leaf is not None:
                leaf.takes_new = False
                self.retire(leaf)

    def retire(self, leaf):
        """Its connections carry nothing new; they go once nothing is out on them."""
        for link in list(leaf.links):
            link.no_more = True
            self.close_if_idle(link)

    def disconnect(self, name):
        leaf = self.leaves.get(name)
        for link in list(leaf.links) if leaf else ():
            self.close_if_idle(link)

    def close_if_idle(self, link):
        if link.stream is not None and not link.out and not link.waiting:
            self.lost(link)

    # ---- sending ----

    def send(self, name, attempts):
        """Sends what one turn has for a leaf. Each attempt ends exactly once, whatever comes."""
        leaf = self.leaves.get(name)
        if leaf is None:
            for attempt in attempts:
                attempt.end(i.Result.UNREACHABLE)
            return
        for attempt in attempts:
            self.timeouts.put(attempt)
        for at in range(0, len(attempts), self.per_call):
            self.place(leaf, attempts[at:at + self.per_call])

    def place(self, leaf, attempts):
        ids = [attempt.payload.wire_id for attempt in attempts]
        link = next((k for k in leaf.links if not k.no_more and k.load + len(ids) <= self.streams
                     and not any(x in k.spent or x in k.out for x in ids)), None)
        if link is None:
            if self.open >= self.most:
                self.counts["over_most"] += 1
                for attempt in attempts:
                    attempt.end(i.Result.UNSENT)
                return
            link = Link(self, leaf)
            leaf.links.append(link)
            self.open += 1
            self.nursery.start_soon(self.connect, link)
        for attempt, wire_id in zip(attempts, ids, strict=True):
            attempt.call = Ticket(self, link, wire_id)
        if link.stream is None:
            link.waiting += attempts
        else:
            self.write(link, attempts)

    def write(self, link, attempts):
        """Writes one call's frame."""
        if not link.leaf.takes_new:
            # Told while the connection was made: nothing has gone out yet, and nothing may any more.
            for attempt in attempts:
                attempt.end(i.Result.UNSENT)
            return
        now, parts = trio.current_time(), []
        for attempt in attempts:
            link.out[attempt.call.wire_id] = attempt
            ms = max(1, int((attempt.deadline - now) * 1000))
            parts.append((attempt.call.wire_id, attempt.part.spec.shard, ms, attempt.payload.key, attempt.payload.text))
        self.counts["frames"] += 1
        link.call(attempts, frames.call(parts))

    # ---- answers ----

    async def read(self, link):
        """The task of a connection: takes in what the leaf says until it is gone."""
        try:
            while not link.dead:
                data, at = await self.network.receive(link.stream, READ)
                if link.dead:
                    return
                if not data:
                    break
                link.heard_us = int(at * 1e6)
                found, error = link.reader.feed(data)
                for letter, rest in found:
                    self.take(link, letter, rest, int(at * 1e6))
                if error is not None:
                    raise error
        except frames.FrameError as error:
            self.counts["spoilt"] += 1
            self.log.warning("leaf broke the protocol", leaf=link.leaf.name, error=str(error))
        except GONE:
            pass
        self.lost(link)

    def take(self, link, letter, rest, at_us):
        if letter == b"q":
            wire_id, end, report, value = frames.answer(rest)
            attempt = link.out.pop(wire_id, None)
            if attempt is None:
                if wire_id not in link.spent:
                    raise frames.FrameError("an answer to nothing that is out")
                del link.spent[wire_id]           # given up before: it counts for nothing
                self.counts["late"] += 1
            elif not attempt.call.went:
                link.out[wire_id] = attempt
                raise frames.FrameError("an answer to what has not gone out")
            else:
                self.hearing.answered(at_us - attempt.went_us)
                attempt.end(RESULTS[end], value, report, at_us)
            self.rested(link)
        elif letter in b"op" and link.probes:
            sent_us, post = link.probes.popleft()
            result = i.Result.ERROR if rest == b"bad" else i.Result.OK
            post(i.ProbeEnded(link.leaf.name, result, max(0, at_us - sent_us), frames.report(rest)))
        else:
            raise frames.FrameError(f"an unexpected frame {letter!r}: {rest[:80]!r}")

    def rested(self, link):
        if not link.out and not link.dead:
            link.idle_since = trio.current_time()
            if link.no_more:
                self.lost(link)

    # ---- ends ----

    def give_up(self, ticket, attempt):
        """Nobody waits for an attempt any more: the leaf is told, unless its frame never left."""
        link, wire_id = ticket.link, ticket.wire_id
        if attempt in link.waiting:
            link.waiting.remove(attempt)
            return
        if link.dead or link.out.get(wire_id) is not attempt:
            return
        del link.out[wire_id]
        self.counts["given_up"] += 1
        if ticket.went and not link.no_more and self.hearing.silent(
                attempt.went_us, link.heard_us, int(trio.current_time() * 1e6)):
            link.no_more = True                   # what is sent next opens a connection of its own
            self.counts["silent"] += 1
        link.spent[wire_id] = None
        if len(link.spent) > SPENT:
            del link.spent[next(iter(link.spent))]
        if link.rest:
            # The word cannot leave at once, and the next attempt would overtake it: only a close is as quick.
            self.lost(link)
            return
        link.send(frames.give_up(wire_id))
        self.rested(link)

    def timed_out(self, attempt, now):
        ticket = attempt.call
        attempt.end(i.Result.TIMEOUT if ticket.went else i.Result.UNREACHABLE)
        self.give_up(ticket, attempt)

    def lost(self, link):
        """The connection is gone: what went out on it is reset, the rest never ran."""
        if link.dead:
            return
        link.dead = True
        self.open -= 1
        link.leaf.links.remove(link)
        if link.stream is not None:
            shut(link.stream)
        out, link.out = link.out, {}
        for attempt in out.values():
            attempt.end(i.Result.BROKEN if attempt.call.went else i.Result.UNREACHABLE)
        waiting, link.waiting = link.waiting, []
        for attempt in waiting:
            attempt.end(i.Result.UNREACHABLE)
        while link.probes:
            sent_us, post = link.probes.popleft()
            post(i.ProbeEnded(link.leaf.name, i.Result.BROKEN, 0, None))

    # ---- probes ----

    def probe(self, name, post):
        """Asks a leaf for its load over a connection that stands; without one there is no probe."""
        leaf = self.leaves.get(name)
        link = next((k for k in leaf.links if k.stream is not None and not k.no_more), None) if leaf else None
        if link is None or len(link.probes) >= self.streams:
            post(i.ProbeEnded(name, i.Result.UNSENT, 0, None))
            return
        link.probes.append((int(trio.current_time() * 1e6), post))
        link.send(frames.frame(b"p"))

    # ---- connections ----

    async def connect(self, link):
        self.counts["connects"] += 1
        stream = None
        try:
            with trio.move_on_after(self.connect_s):
                stream = await self.network.open(link.address)
        except (OSError, trio.BrokenResourceError):
            pass
        if stream is None or link.dead:
            self.counts["connects_failed"] += 1
            if stream is not None:
                shut(stream)
            self.lost(link)
            return
        self.network.prepare(stream)
        link.stream = stream
        waiting, link.waiting = link.waiting, []
        link.idle_since = trio.current_time()
        live = [attempt for attempt in waiting if not attempt.ended]
        for at in range(0, len(live), self.per_call):
            if not link.dead:
                self.write(link, live[at:at + self.per_call])
        if link.dead:
            for attempt in live:
                attempt.end(i.Result.UNREACHABLE)
            return
        if link.no_more:
            self.close_if_idle(link)
        await self.read(link)

    async def sweep(self):
        """Closes connections that nobody used for long."""
        while True:
            await trio.sleep(SWEEP_S)
            before = trio.current_time() - self.idle_s
            for leaf in list(self.leaves.values()):
                for link in list(leaf.links):
                    if link.idle_since < before and not link.out:
                        self.close_if_idle(link)
