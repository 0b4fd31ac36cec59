"""Discovery watches that fail, fall silent, lag or are cut off: randomized tests of the pure
decisions, and a root on a virtual clock.
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

# NOTIFIED_S: time after which a change that a silent watch missed counts as known to the root.
# GRACE_S: the shortest grace period of a drain in deploy/sites, with the platform's 50 ms.
NOTIFIED_S, GRACE_S = 6.0, 0.06 + 0.05


# ---- when another watch is opened ----


def test_silent_watch_is_replaced_before_missed_changes_count_as_known():
    """Worst case: a message just before the silence, then a connect that times out."""
    policy = watch_policy.WatchPolicy(Random(1).random, 0.0)
    policy.on_opened(0.0)
    policy.on_message(10.0)
    assert (
        policy.next_open_s + policy.connect_timeout_s + watch_policy.MAX_REOPEN_DELAY_S
        < 10.0 + NOTIFIED_S
    )


@pytest.mark.parametrize("seed", range(20))
def test_watch_is_reopened_soon_but_not_in_a_tight_loop_in_any_order_of_events(seed):
    rng, now_s, opened_s = Random(seed), 0.0, []
    policy, open_count = watch_policy.WatchPolicy(rng.random, now_s), 0
    for _ in range(3000):
        if policy.next_open_s <= now_s:
            policy.on_opened(now_s)
            opened_s.append(now_s)
            open_count += 1
            if open_count > policy.max_open:
                policy.on_broken(now_s)
                open_count -= 1
        what = rng.choice(
            ["message", "broken", "broken", "nothing", "agent changed"]
            if rng.random() < 0.05
            else ["broken", "nothing"]
        )
        if what == "message" and open_count:
            policy.on_message(now_s)
            open_count = 1
        elif what == "broken" and open_count:
            policy.on_broken(now_s)
            open_count -= 1
        elif what == "agent changed":
            policy.on_agent_changed(now_s)
            open_count = 0
        assert policy.open_count == open_count <= policy.max_open
        assert policy.next_open_s - now_s <= watch_policy.MAX_FIRST_MESSAGE_TIMEOUT_S + 1e-6
        assert open_count or policy.next_open_s - now_s <= watch_policy.MAX_REOPEN_DELAY_S + 1e-6
        now_s += rng.choice([0.001, 0.01, 0.1])
    max_per_second = max(sum(at <= t < at + 1 for t in opened_s) for at in opened_s)
    assert max_per_second <= 1 / (watch_policy.REOPEN_DELAY_S / 2) + 1


# Guards against sends to a leaf whose drain an agent held when it ended the watch without telling.
def test_watch_that_ends_after_a_while_is_reopened_at_once():
    policy = watch_policy.WatchPolicy(Random(1).random, 0.0)
    policy.on_opened(0.0)
    policy.on_message(0.1)
    policy.on_broken(1.0)
    assert policy.next_open_s == 1.0


# ---- older lists ----


@pytest.mark.parametrize("seed", range(20))
def test_older_list_never_reverts_a_drain(seed):
    rng, tracker, drained = Random(seed), endpoint_list.EndpointTracker(), {}
    for _ in range(500):
        if rng.random() < 0.1:
            tracker.on_agent_changed()
        version, is_complete = rng.randrange(1, 60), rng.random() < 0.5
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
        if tracker.is_stale_delta(version, is_complete):
            continue
        previous_version, applied = tracker.version, tracker.apply(version, is_complete, leaves)
        if applied is None:
            assert not is_complete and version <= previous_version
            continue
        for listed, leaf in zip(leaves, applied, strict=True):
            drained_version, started = drained.get(leaf.name, (0, None))
            if leaf.state == "up":
                assert version >= drained_version or listed.started != started
                drained.pop(leaf.name, None)
            elif listed.state != "up" and version >= drained_version:
                drained[leaf.name] = version, listed.started


def test_number_of_remembered_departed_leaves_is_bounded():
    tracker = endpoint_list.EndpointTracker(max_departed=3)
    for n in range(10):
        tracker.apply(n + 1, False, [endpoint_list.Leaf(f"s{n}", "a", "z", 0, "removed")])
    assert list(tracker.departed) == ["s7", "s8", "s9"]


# ---- decoding lists ----

LIST = {
    "rev": 43,
    "all": True,
    "targets": [{"uid": 's-"{[\\', "endpoint": "h:1", "pod_group": 3, "state": "Ready"}],
}


@pytest.mark.parametrize("indent", [None, 0, 2])
def test_list_is_decoded_with_any_indentation_and_any_split_into_chunks(indent):
    text = b"\n" + json.dumps(LIST, indent=indent).encode() + b"\n\n"
    expected = [None, listing.decode(json.dumps(LIST).encode()), None]
    for at in range(len(text)):
        reader = listing.ListingReader(1000)
        assert reader.feed(text[:at]) + reader.feed(text[at:]) == expected
    reader = listing.ListingReader(1000)
    assert [found for n in range(len(text)) for found in reader.feed(text[n : n + 1])] == expected


@pytest.mark.parametrize(
    "text",
    [b"{\n\n", b"}\n", b'{"rev":1,\n"targets":[\n\n', b'{"rev":"x","targets":[]}\n', b"noise\n"],
)
def test_truncated_or_invalid_list_is_an_error_and_not_joined_with_the_next(text):
    with pytest.raises(msgspec.DecodeError):
        listing.ListingReader(1000).feed(text)


def test_buffer_of_an_endless_list_is_bounded():
    reader = listing.ListingReader(1000)
    with pytest.raises(EOFError):
        for _ in range(100):
            reader.feed(b"{\n" + b" " * 60)
    assert len(reader.buffered) < 1100


# ---- a root ----


def test_drain_missed_by_a_silent_watch_is_known_in_time():
    async def test(env):
        await trio.sleep(1)
        env.discovery.silent = True
        await trio.sleep(2.1)  # the open watch stays silent from now on
        silent_since_s, env.discovery.silent = trio.current_time() - 2.1, False
        env.set_leaf_state(env.leaves[0], "Terminating")
        await trio.sleep_until(silent_since_s + NOTIFIED_S)
        assert not env.root.core.balancer.servers["s0"].up and len(env.root.watch.open_scopes) == 1

    run_on_virtual_clock(test)


@pytest.mark.parametrize("down_s", [0.3, 1.0, 3.0, 20.0])
def test_drain_is_known_within_its_grace_period_once_the_agent_accepts_watches_again(down_s):
    async def test(env):
        await trio.sleep(1)
        listener = env.network.listeners.pop(env.discovery.address)
        env.discovery.close_connections()
        await trio.sleep(down_s)
        assert len(env.discovery.requested_paths) == 1
        env.set_leaf_state(env.leaves[0], "Terminating")
        env.network.listeners[env.discovery.address] = listener
        await trio.sleep(GRACE_S)
        assert not env.root.core.balancer.servers["s0"].up

    run_on_virtual_clock(test)


def test_agent_that_was_silent_from_the_start_is_followed_once_it_answers():
    """Holds whether the agent then answers the waiting watches or only new ones."""

    async def test(env):
        env.discovery.silent = True
        env.discovery.close_connections()
        await trio.sleep(5)
        assert 1 < len(env.root.watch.open_scopes) <= env.root.watch.policy.max_open
        env.discovery.silent = False
        env.set_leaf_state(env.leaves[0], "Terminating")
        await trio.sleep(6.1)
        assert not env.root.core.balancer.servers["s0"].up and len(env.root.watch.open_scopes) == 1

    run_on_virtual_clock(test, silent=True, wait_until_ready=False)


def test_address_change_takes_effect_at_once_even_between_two_watches(tmp_path):
    async def test(env):
        await trio.sleep(1)
        del env.network.listeners[env.discovery.address]
        env.discovery.close_connections()
        await trio.sleep(1.03)
        new = platform.Discovery(env.network, list(env.discovery.targets.values()))
        await env.nursery.start(new.run)
        new.rev = 50
        env.root.watch.change_address(new.address)
        await trio.sleep(0.01)
        assert new.requested_paths

    run_on_virtual_clock(test)


@pytest.mark.parametrize("is_complete", [True, False])
def test_new_agent_with_lower_versions_is_followed_but_reverts_no_drain(is_complete):
    async def test(env):
        await trio.sleep(0.1)
        env.set_leaf_state(env.leaves[0], "Terminating")  # version 41
        await trio.sleep(0.1)
        ready = {**env.discovery.targets, "s0": env.target(env.leaves[0])}
        new = platform.Discovery(env.network, list(ready.values()))
        new.rev = 7
        if not is_complete:  # the agent answers a watch from any version with a delta
            send_chunk = new.send_chunk

            async def chunk(stream, text):
                await send_chunk(
                    stream,
                    text.replace('"all": true', '"all": false')
                    if "index" in new.requested_paths[-1]
                    else text,
                )

            new.send_chunk = chunk
        await env.nursery.start(new.run)
        env.root.watch.change_address(new.address)
        await trio.sleep(0.2)
        servers = env.root.core.balancer.servers
        assert not servers["s0"].up and servers["s1"].up
        new.publish(False, env.target(env.leaves[1], "Terminating"))
        await trio.sleep(0.1)
        assert not servers["s1"].up
        assert (
            len(new.requested_paths) == 1 + (not is_complete)
            and ("index" in new.requested_paths[-1]) == is_complete
        )

    run_on_virtual_clock(test)


def test_root_is_ready_with_the_agents_list_or_after_eight_seconds_without_one():
    async def ready_status(env):
        client = await env.client()
        await client.send(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
        return (await client.read_answer())[0]

    async def test(env):
        assert await ready_status(env) == 503  # the configured list may be outdated
        await trio.sleep(0.05)
        assert await ready_status(env) == 200

    async def without_agent(env):
        env.discovery.silent = True
        env.discovery.close_connections()
        await trio.sleep(7.5)
        assert await ready_status(env) == 503
        await trio.sleep(0.6)
        assert await ready_status(env) == 200
        assert (await (await env.client()).ask("r1", "read", (0, 1)))[0] == 200

    run_on_virtual_clock(test, wait_until_ready=False)
    run_on_virtual_clock(without_agent, silent=True, wait_until_ready=False)


def test_reload_changes_the_discovery_address_only(tmp_path):
    """Guards against a mixture of two configurations: other values of the new file are ignored."""

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
