"""Planted defects, at least one for each rule; the audit has to detect each of them.

The `breach` of a scenario selects one by its name, which is the name of a function here. A defect
patches a root, or the leaves, so that they behave as if the code had that defect.
"""

import dataclasses

from mothnotch.decisions import interface as i
from mothnotch.root.core import Attempt


def plant(name, root):
    """Plant a defect in a root before it starts, or disable a part of it (`without_PART`)."""
    if name:
        ROOT_DEFECTS.get(name, lambda root: None)(root)


def plant_in_leaves(name, run):
    """Plant a defect in the leaves of a scenario run."""
    if name == "keys_dropped":
        run.store.allow_duplicate_keys = True


def late_sends(root):
    """Send a part again after its query was answered."""
    core, close = root.core, root.core.close

    def close_and_resend(query, outcome):
        close(query, outcome)
        part = query.parts[0]
        if part.attempt_count and part.rows is not None:
            server = next(iter(root.leaves.leaves))

            class LateAttempt(Attempt):
                def complete(self, result, rows=None, report=None):
                    self.ended = True

                def add_row(self, row, size):
                    pass

            root.leaves.nursery.start_soon(
                send_after_delay, root, server, LateAttempt(core, part, 99, server, 500_000)
            )

    core.close = close_and_resend


async def send_after_delay(root, server, attempt):
    """Send an attempt 50 ms later."""
    import trio

    await trio.sleep(0.05)
    root.leaves.send(server, [attempt])


def ignores_drains(root):
    """Treat every listed leaf as up."""
    on_watch_event = root.core.on_watch_event

    def treat_as_up(event):
        on_watch_event(
            dataclasses.replace(
                event, entries=tuple(dataclasses.replace(e, state="up") for e in event.entries)
            )
        )

    update = root.leaves.update_endpoints
    root.leaves.update_endpoints = lambda addresses, closing: update(
        {**{n: x.address for n, x in root.leaves.leaves.items()}, **addresses}
    )
    root.core.on_watch_event = treat_as_up


def late_news(root):
    """Apply updates from the catalogue half a second late."""
    publish = root.watch.publish

    async def publish_later():
        import trio

        await trio.sleep(0.5)
        publish()

    root.watch.publish = lambda: root.leaves.nursery.start_soon(publish_later)


def half_as_whole(root):
    """Answer from less than the minimum share of the class, without naming the missing ranges."""
    settings = root.core.balancer.settings
    for name, request_class in settings.classes.items():
        if request_class.idempotency is i.Idempotency.IDEMPOTENT:
            settings.classes[name] = dataclasses.replace(
                request_class, min_answer_weight=0.2, complete_weight=0.5
            )


def many_attempts(root):
    """Ignore the retry budget, and hedge early."""
    limits = root.core.balancer.retry_limits
    limits.rules = dataclasses.replace(limits.rules, retry_budget_ratio=None)
    limits.bucket.size = limits.bucket.tokens = 10_000
    limits.burst = 0


def no_cold(root):
    """Treat a leaf that has just started as one that has been up for long."""
    on_watch_event = root.core.on_watch_event
    root.core.on_watch_event = lambda event: on_watch_event(
        dataclasses.replace(
            event, entries=tuple(dataclasses.replace(e, started_us=0) for e in event.entries)
        )
    )


def silent(root):
    """Send no refusals and no errors, so that those clients get no reply in time."""
    root.core.handlers[i.Reject] = root.core.handlers[i.Fail] = lambda action: None
    root.core.enforce_deadlines = False


def double(root):
    """Send the answer to every eighth statement twice."""
    from mothnotch.fronts import pg

    async def serve_client(stream):
        client = pg.Client(root.front, stream)
        on_execute, count = client.on_execute, [0]

        async def execute_and_repeat(event):
            count[0] += 1
            before = len(client.output)
            await on_execute(event)
            if count[0] % 8 == 0:
                client.output += client.output[before:]

        client.on_execute = execute_and_repeat
        await client.run()

    root.front.serve_client = serve_client


def old_life(root):
    """Believe claims of old incarnations: of two incarnations, the last one heard counts."""

    def patch(protocol):
        membership, apply_claim = protocol.swim.membership, protocol.swim.membership.apply_claim
        membership.incarnation_of = lambda name: None

        def apply_any_claim(claim, now, direct=False):
            peer = membership.members.get(claim.name)
            if peer is not None and claim.incarnation < peer.claim.incarnation:
                del membership.members[claim.name]
            apply_claim(claim, now, direct)

        membership.apply_claim = apply_any_claim

    root.peers.on_protocol_created = patch


def young_facts(root):
    """Count the age of a fact from its arrival."""

    def patch(protocol):
        receive = protocol.store.receive
        protocol.store.receive = lambda facts, transit, now, incarnation_of: receive(
            [dataclasses.replace(f, age_us=0) for f in facts], 0, now, incarnation_of
        )

    root.peers.on_protocol_created = patch


def never_gone(root):
    """Never declare a dead root gone."""

    def patch(protocol):
        protocol.swim.membership.expire = lambda now: None
        protocol.swim.membership.on_claim = lambda claim, by, now: None

    root.peers.on_protocol_created = patch


def hasty(root):
    """Declare a suspected root gone at once, without indirect probes through other roots."""

    def patch(protocol):
        membership, detector = protocol.swim.membership, protocol.swim.failure_detector

        def check_probe(now, out):
            probe, detector.probe = detector.probe, None
            peer = membership.members.get(probe.name) if probe is not None else None
            if peer is not None:
                membership.apply_claim(dataclasses.replace(peer.claim, state="gone"), now)

        detector.check_probe = check_probe

    root.peers.on_protocol_created = patch


def without_health(root):
    """Disable Lifeguard's local health, by which a root lengthens its own timeouts."""
    root.peers.settings = dataclasses.replace(root.peers.settings, local_health=False)


def without_streams(root):
    """Disable the exchange over streams, so that roots learn of each other by datagrams only."""

    def patch(protocol):
        protocol.choose_sync_partner = lambda now: None

    root.peers.on_protocol_created = patch


ROOT_DEFECTS = {
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
