"""Watches over the list that break, fall silent, lag or are cut: pure decisions at random, and a
root on a virtual clock.
"""

import json
from random import Random

import msgspec
import pytest
import trio

from mothnotch.decisions import endpoint_list, watch_policy
from mothnotch.node import listing
from mothnotch.standins import platform
from mothnotch.standins.platform_settings import options
from tests.support.platform_environment import run_on_virtual_clock

TOLD_S, GRACE_S = (
    6.0,
    0.25,
)  # a silent watch's news counts as told so long after it fell silent; a drain's shortest grace


# ---- when another watch is opened ----


def test_a_silent_watch_is_noticed_before_what_it_misses_counts_as_told():
    """The worst case: a line just before it falls silent, then one connect that never comes up."""
    renewal = watch_policy.WatchPolicy(Random(1).random, 0.0)
    renewal.on_opened(0.0)
    renewal.on_message(10.0)
    assert (
        renewal.next_open_s + renewal.connect_timeout_s + watch_policy.MAX_REOPEN_DELAY_S
        < 10.0 + TOLD_S
    )


@pytest.mark.parametrize("seed", range(20))
def test_at_any_order_of_ends_a_watch_is_due_soon_and_never_in_a_tight_loop(seed):
    rng, now, opened = Random(seed), 0.0, []
    renewal, standing = watch_policy.WatchPolicy(rng.random, now), 0
    for _ in range(3000):
        if renewal.next_open_s <= now:
            renewal.on_opened(now)
            opened.append(now)
            standing += 1
            if standing > renewal.max_open:
                renewal.on_broken(now)
                standing -= 1
        what = rng.choice(
            ["heard", "broke", "broke", "nothing", "moved"]
            if rng.random() < 0.05
            else ["broke", "nothing"]
        )
        if what == "heard" and standing:
            renewal.on_message(now)
            standing = 1
        elif what == "broke" and standing:
            renewal.on_broken(now)
            standing -= 1
        elif what == "moved":
            renewal.on_agent_changed(now)
            standing = 0
        assert renewal.open_count == standing <= renewal.max_open
        assert renewal.next_open_s - now <= watch_policy.MAX_FIRST_MESSAGE_TIMEOUT_S + 1e-6
        assert standing or renewal.next_open_s - now <= watch_policy.MAX_REOPEN_DELAY_S + 1e-6
        now += rng.choice([0.001, 0.01, 0.1])
    busiest = max(sum(at <= t < at + 1 for t in opened) for at in opened)
    assert busiest <= 1 / (watch_policy.REOPEN_DELAY_S / 2) + 1


# ---- what an older list may not take back ----


@pytest.mark.parametrize("seed", range(20))
def test_an_older_list_never_brings_back_a_leaf_told_to_drain(seed):
    rng, told, drained = Random(seed), endpoint_list.EndpointTracker(), {}
    for _ in range(500):
        if rng.random() < 0.1:
            told.on_agent_changed()
        rev, whole = rng.randrange(1, 60), rng.random() < 0.5
        leaves = [
            endpoint_list.Leaf(
                f"s{n}",
                "a",
                "z",
                0,
                rng.choice(endpoint_list.STATES),
                started=rng.choice([1.0, 2.0]),
            )
            for n in rng.sample(range(6), rng.randrange(1, 6))
        ]
        if told.is_stale_delta(rev, whole):
            continue
        before, found = told.version, told.apply(rev, whole, leaves)
        if found is None:
            assert not whole and rev <= before
            continue
        for said, leaf in zip(leaves, found, strict=True):
            at, started = drained.get(leaf.name, (0, None))
            if leaf.state == "up":
                assert rev >= at or said.started != started
                drained.pop(leaf.name, None)
            elif said.state != "up" and rev >= at:
                drained[leaf.name] = rev, said.started


def test_leaves_that_are_gone_are_remembered_up_to_a_bound():
    told = endpoint_list.EndpointTracker(max_departed=3)
    for n in range(10):
        told.apply(n + 1, False, [endpoint_list.Leaf(f"s{n}", "a", "z", 0, "removed")])
    assert list(told.departed) == ["s7", "s8", "s9"]


# ---- lists out of bytes ----

LIST = {
    "rev": 43,
    "all": True,
    "targets": [{"uid": 's-"{[\\', "endpoint": "h:1", "pod_group": 3, "state": "Ready"}],
}


@pytest.mark.parametrize("indent", [None, 0, 2])
def test_a_list_is_read_however_it_is_indented_and_wherever_it_is_cut_into_pieces(indent):
    text = b"\n" + json.dumps(LIST, indent=indent).encode() + b"\n\n"
    want = [None, listing.decode(json.dumps(LIST).encode()), None]
    for at in range(len(text)):
        lines = listing.ListingReader(1000)
        assert lines.feed(text[:at]) + lines.feed(text[at:]) == want
    lines = listing.ListingReader(1000)
    assert [found for n in range(len(text)) for found in lines.feed(text[n : n + 1])] == want


@pytest.mark.parametrize(
    "text",
    [b"{\n\n", b"}\n", b'{"rev":1,\n"targets":[\n\n', b'{"rev":"x","targets":[]}\n', b"noise\n"],
)
def test_a_list_that_is_cut_or_none_is_an_error_and_not_the_beginning_of_the_next(text):
    with pytest.raises(msgspec.DecodeError):
        listing.ListingReader(1000).feed(text)


def test_a_list_that_never_ends_holds_no_more_than_its_bound():
    lines = listing.ListingReader(1000)
    with pytest.raises(EOFError):
        for _ in range(100):
            lines.feed(b"{\n" + b" " * 60)
    assert len(lines.buffered) < 1100


# ---- a root ----


def test_drains_that_a_silent_watch_misses_are_known_before_they_count():
    async def test(env):
        await trio.sleep(1)
        env.discovery.silent = True
        await trio.sleep(2.1)  # the open watch has fallen silent for good
        silent_at, env.discovery.silent = trio.current_time() - 2.1, False
        env.set_leaf_state(env.leaves[0], "Terminating")
        await trio.sleep_until(silent_at + TOLD_S)
        assert not env.root.core.balancer.servers["s0"].up and len(env.root.watch.open_scopes) == 1

    run_on_virtual_clock(test)


@pytest.mark.parametrize("down_s", [0.3, 1.0, 3.0, 20.0])
def test_a_drain_is_known_within_its_grace_once_an_agent_that_turned_watches_away_is_back(down_s):
    async def test(env):
        await trio.sleep(1)
        listener = env.network.listeners.pop(env.discovery.address)
        env.discovery.drop()
        await trio.sleep(down_s)
        assert len(env.discovery.asked) == 1
        env.set_leaf_state(env.leaves[0], "Terminating")
        env.network.listeners[env.discovery.address] = listener
        await trio.sleep(GRACE_S)
        assert not env.root.core.balancer.servers["s0"].up

    run_on_virtual_clock(test)


def test_a_watch_that_comes_up_silent_is_answered_when_its_agent_is_back_and_others_were_asked_beside_it():
    """Guards both ways in which an agent may come back: answering what waits, or only what is new."""

    async def test(env):
        env.discovery.silent = True
        env.discovery.drop()
        await trio.sleep(5)
        assert 1 < len(env.root.watch.open_scopes) <= env.root.watch.policy.max_open
        env.discovery.silent = False
        env.set_leaf_state(env.leaves[0], "Terminating")
        await trio.sleep(6.1)
        assert not env.root.core.balancer.servers["s0"].up and len(env.root.watch.open_scopes) == 1

    run_on_virtual_clock(test)


def test_a_move_takes_place_at_once_even_between_two_watches(tmp_path):
    async def test(env):
        await trio.sleep(1)
        del env.network.listeners[env.discovery.address]
        env.discovery.drop()
        await trio.sleep(1.03)
        new = platform.Discovery(env.network, list(env.discovery.targets.values()))
        await env.nursery.start(new.run)
        new.rev = 50
        env.root.watch.change_address(new.address)
        await trio.sleep(0.01)
        assert new.asked

    run_on_virtual_clock(test)


@pytest.mark.parametrize("whole", [True, False])
def test_an_agent_whose_versions_are_lower_is_heard_and_takes_no_drain_back(whole):
    async def test(env):
        await trio.sleep(0.1)
        env.set_leaf_state(env.leaves[0], "Terminating")  # version 41
        await trio.sleep(0.1)
        ready = {**env.discovery.targets, "s0": env.target(env.leaves[0])}
        new = platform.Discovery(env.network, list(ready.values()))
        new.rev = 7
        if not whole:  # an agent that answers an index with changes, whatever it is
            say = new.chunk

            async def chunk(stream, text):
                await say(
                    stream,
                    text.replace('"all": true', '"all": false')
                    if "index" in new.asked[-1]
                    else text,
                )

            new.chunk = chunk
        await env.nursery.start(new.run)
        env.root.watch.change_address(new.address)
        await trio.sleep(0.2)
        servers = env.root.core.balancer.servers
        assert not servers["s0"].up and servers["s1"].up
        new.say(False, env.target(env.leaves[1], "Terminating"))
        await trio.sleep(0.1)
        assert not servers["s1"].up
        assert len(new.asked) == 1 + (not whole) and ("index" in new.asked[-1]) == whole

    run_on_virtual_clock(test)


def test_a_root_is_ready_with_its_agents_list_or_after_eight_seconds_without():
    async def ready(env):
        client = await env.client()
        await client.say(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        return (await client.answer())[0]

    async def test(env):
        assert await ready(env) == 503  # what was known when it was started may be old
        await trio.sleep(0.05)
        assert await ready(env) == 200

    async def alone(env):
        env.discovery.silent = True
        env.discovery.drop()
        await trio.sleep(7.5)
        assert await ready(env) == 503
        await trio.sleep(0.6)
        assert await ready(env) == 200
        assert (await (await env.client()).ask("r1", "read", (0, 1)))[0] == 200

    run_on_virtual_clock(test)
    run_on_virtual_clock(alone, silent=True)


def test_nothing_of_two_configurations_mixes(tmp_path):
    """A new file moves discovery and nothing else, whatever it says beside that."""

    async def test(env):
        path = tmp_path / "config.json"
        env.root.path = str(path)
        lanes = [{"name": "new", "aimUs": 1, "deadlineUs": 2, "worth": 1, "semantics": "pure"}]
        path.write_text(
            json.dumps(
                {
                    "name": "other",
                    "listen": "root:81",
                    "discovery": "nobody:1",
                    "seed": "2",
                    "settings": options(lanes=lanes, tenants=[]),
                }
            )
        )
        before = env.root.config, env.root.core.settings, env.root.resource_limits
        await env.root.reload()
        assert env.root.watch.address == "nobody:1"
        assert before == (env.root.config, env.root.core.settings, env.root.resource_limits)
        assert (await (await env.client()).ask("r1", "read", (0, 1)))[0] == 200

    run_on_virtual_clock(test)
