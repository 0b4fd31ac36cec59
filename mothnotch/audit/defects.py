"""Breaches planted on purpose, one a rule at least: the auditor has to catch each of them.

They are switched on by a script's `breach` and reach into a root, or the leaves, the way a defect
would.
"""

import dataclasses

from mothnotch.decisions import interface as i
from mothnotch.root.core import Attempt


def plant(name, root):
    """Breaks a root that has not started, or leaves out a part of it (`without_PART`)."""
    if name:
        ROOTS.get(name, lambda root: None)(root)


def plant_in_leaves(name, day):
    if name == "keys_dropped":
        day.store.broken_keys = True


def late_sends(root):
    """Sends a part again after its query was answered."""
    core, close = root.core, root.core.close

    def closing(query, outcome):
        close(query, outcome)
        part = query.parts[0]
        if part.attempt_count and part.rows is not None:
            server = next(iter(root.leaves.leaves))

            class Late(Attempt):
                def complete(self, result, rows=None, report=None):
                    self.ended = True

                def add_row(self, row, size):
                    pass

            root.leaves.nursery.start_soon(
                later, root, server, Late(core, part, 99, server, 500_000)
            )

    core.close = closing


async def later(root, server, attempt):
    import trio

    await trio.sleep(0.05)
    root.leaves.send(server, [attempt])


def ignores_drains(root):
    """Takes every leaf that is named for one that is up."""
    news = root.core.on_watch_event

    def told(event):
        news(
            dataclasses.replace(
                event, entries=tuple(dataclasses.replace(e, state="up") for e in event.entries)
            )
        )

    follow = root.leaves.update_endpoints
    root.leaves.update_endpoints = lambda addresses, closing: follow(
        {**{n: x.address for n, x in root.leaves.leaves.items()}, **addresses}
    )
    root.core.on_watch_event = told


def late_news(root):
    """Acts on what the catalogue told it half a second late."""
    publish = root.watch.publish

    async def later():
        import trio

        await trio.sleep(0.5)
        publish()

    root.watch.publish = lambda: root.leaves.nursery.start_soon(later)


def half_as_whole(root):
    """Answers from less than the class's least share, and says nothing of what is missing."""
    settings = root.core.balancer.settings
    for name, kind in settings.classes.items():
        if kind.idempotency is i.Idempotency.IDEMPOTENT:
            settings.classes[name] = dataclasses.replace(
                kind, min_answer_weight=0.2, complete_weight=0.5
            )


def many_attempts(root):
    """Knows of no budget, and copies early."""
    limits = root.core.balancer.retry_limits
    limits.rules = dataclasses.replace(limits.rules, retry_budget_ratio=None)
    limits.bucket.size = limits.bucket.tokens = 10_000
    limits.burst = 0


def no_cold(root):
    """Takes a leaf that has just started for one long up."""
    news = root.core.on_watch_event
    root.core.on_watch_event = lambda event: news(
        dataclasses.replace(
            event, entries=tuple(dataclasses.replace(e, started_us=0) for e in event.entries)
        )
    )


def silent(root):
    """Does not pass on refusals: those clients hear nothing in time."""
    root.core.handlers[i.Reject] = root.core.handlers[i.Fail] = lambda action: None
    root.core.enforce_deadlines = False


def double(root):
    """Answers every eighth statement twice."""
    from mothnotch.fronts import pg

    async def client(stream):
        made = pg.Client(root.front, stream)
        run, count = made.on_execute, [0]

        async def twice(event):
            count[0] += 1
            before = len(made.out)
            await run(event)
            if count[0] % 8 == 0:
                made.out += made.out[before:]

        made.on_execute = twice
        await made.run()

    root.front.client = client


def old_life(root):
    """Believes an old life's word: of two lives, the one that speaks last counts."""

    def made(talk):
        view, believe = talk.swim.membership, talk.swim.membership.apply_claim
        view.incarnation_of = lambda name: None

        def trusting(claim, now, direct=False):
            peer = view.members.get(claim.name)
            if peer is not None and claim.incarnation < peer.claim.incarnation:
                del view.members[claim.name]
            believe(claim, now, direct)

        view.apply_claim = trusting

    root.peers.on_protocol_created = made


def young_facts(root):
    """Counts a fact's age from when it came."""

    def made(talk):
        take = talk.store.receive
        talk.store.receive = lambda facts, transit, now, life_of: take(
            [dataclasses.replace(f, age_us=0) for f in facts], 0, now, life_of
        )

    root.peers.on_protocol_created = made


def never_gone(root):
    """Waits for ever for a root that is dead."""

    def made(talk):
        talk.swim.membership.expire = lambda now: None
        talk.swim.membership.on_claim = lambda claim, by, now: None

    root.peers.on_protocol_created = made


def hasty(root):
    """Holds whoever it suspects for gone at once, and asks nobody else first."""

    def made(talk):
        view, detector = talk.swim.membership, talk.swim.failure_detector

        def check_probe(now, out):
            probe, detector.probe = detector.probe, None
            peer = view.members.get(probe.name) if probe is not None else None
            if peer is not None:
                view.apply_claim(dataclasses.replace(peer.claim, state="gone"), now)

        detector.check_probe = check_probe

    root.peers.on_protocol_created = made


def without_health(root):
    """Lifeguard's local health is off: a root does not doubt itself."""
    root.peers.settings = dataclasses.replace(root.peers.settings, local_health=False)


def without_streams(root):
    """Nothing is exchanged over streams: what roots know of each other comes by datagrams alone."""

    def made(talk):
        talk.choose_sync_partner = lambda now: None

    root.peers.on_protocol_created = made


ROOTS = {
    f.__name__: f
    for f in (
        late_sends,
        ignores_drains,
        late_news,
        half_as_whole,
        many_attempts,
        no_cold,
        silent,
        double,
        old_life,
        young_facts,
        never_gone,
        hasty,
        without_health,
        without_streams,
    )
}
