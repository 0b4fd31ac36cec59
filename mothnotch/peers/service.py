"""The datagrams of a root's talk with the others, over the seam `post.py`. What is said stands in decisions/fleet/.

Bounds: datagrams of codec.MOST bytes; `intake` says how many a second are read for what they hold, so that a flood costs
no more than taking them from the socket; one task reads and one keeps the time.
"""
import trio

from mothnotch.decisions.fleet import facts, peers, talk
from mothnotch.decisions.fleet.intake import Intake
from mothnotch.peers.codec import MOST, Codec, Dropped


def now_us():
    return int(trio.current_time() * 1e6)


class Service:
    """`life`: (number, nonce) of this process; `seeds`: addresses that are called until somebody answers there."""

    def __init__(self, post, log, name, life, listen, seeds, fleet, keys, random, settings=None):
        self.post, self.log, self.name, self.life, self.listen = post, log, name, life, listen
        self.seeds, self.codec, self.random = seeds, Codec(fleet, keys), random
        self.settings = settings or peers.Settings()
        self.intake, self.dropped, self.sent, self.read = Intake(), {}, 0, 0
        self.socket = self.talk = None
        self.earlier = trio.Event()

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        """Runs until cancelled; started once it is bound."""
        self.socket = await self.post.datagrams(self.listen)
        try:
            view = peers.Peers(self.name, self.life, self.socket.name, self.seeds, self.settings, self.random, now_us())
            book = facts.Facts(self.name, self.life, facts.Settings())
            self.talk = talk.Talk(view, book, talk.Settings(), self.random, now_us())
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.hear)
                nursery.start_soon(self.keep_time)
                task_status.started(self)
        finally:
            self.socket.close()

    async def hear(self):
        while True:
            data, address = await self.socket.receive(MOST + 1)
            self.read += 1
            if not self.intake.takes(now_us()):
                self.drop("flood")
                continue
            try:
                envelope = self.codec.decode(data)
            except Dropped as dropped:
                self.drop(dropped.why)
                continue
            self.carry(self.talk.heard(now_us(), address, envelope))
            self.earlier.set()                     # what is due may be due sooner now

    async def keep_time(self):
        while True:
            self.earlier = trio.Event()
            with trio.move_on_at(max(trio.current_time() + 0.001, (self.talk.due() + 1) / 1e6)):
                await self.earlier.wait()
            if now_us() >= self.talk.due():
                self.carry(self.talk.tick(now_us()))

    def carry(self, sends):
        for send in sends:
            self.sent += 1
            self.socket.send(send.address, self.codec.encode(send.envelope))
        for news in self.talk.peers.take_news():
            self.log.info("peer", what=news.what, name=news.name, life=news.life)

    def drop(self, why):
        self.dropped[why] = self.dropped.get(why, 0) + 1
        if self.dropped[why] in (1, 100, 10_000):
            self.log.warning("datagrams dropped", why=why, count=self.dropped[why])

    # ---- for the program ----

    def say(self, key, value, span_us):
        """States a fact of this root's; facts.Facts.say names the bounds."""
        self.talk.facts.say(key, value, span_us, now_us())
        self.earlier.set()

    def known(self, key):
        """{root: facts.Known} of what still counts."""
        return self.talk.facts.known(key, now_us())

    def beliefs(self):
        return self.talk.peers.beliefs(now_us())
