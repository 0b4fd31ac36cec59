"""Membership, gossip and the wire format of roots, on a virtual clock over faulty links."""

import copy
import itertools
import random

import msgspec
import pytest

from mothnotch.decisions.fleet import divergence
from mothnotch.decisions.fleet import gossip_messages as gossip
from mothnotch.decisions.fleet import swim_messages as swim
from mothnotch.decisions.fleet.gossip_protocol import GossipProtocol, GossipSettings
from mothnotch.decisions.fleet.gossip_store import GossipStore, GossipStoreSettings
from mothnotch.decisions.fleet.swim_node import SwimNode
from mothnotch.peers import codec
from mothnotch.studies.peers import KEY, SECOND, Link, joined_fleet

OLD_INCARNATION, NEW_INCARNATION = (1, 7), (2, 3)


def claim(incarnation, refutation, state, name="a", address="x"):
    return swim.Claim(name, incarnation, refutation, state, address)


def make_node(name="z", **settings):
    return SwimNode(name, (1, 1), "z", [], swim.SwimSettings(**settings), random.Random(1), 0)


def current_claim(node, name="a"):
    member = node.membership.members.get(name)
    found_claim = member.claim if member else node.membership.departed.get(name)
    return found_claim and (found_claim.incarnation, found_claim.refutation, found_claim.state)


# ---- claims ----


def test_claims_converge_in_any_order_and_with_duplicates():
    """Guards against a table that depends on the order of claims: roots would never agree."""
    all_claims = [
        claim(incarnation, refutation, state)
        for incarnation in (OLD_INCARNATION, NEW_INCARNATION)
        for refutation in (0, 1)
        for state in ("alive", "suspect", "gone")
    ]
    for chosen in itertools.combinations(all_claims, 3):
        results = set()
        for ordering in itertools.permutations(chosen + chosen[:1]):
            node = make_node()
            for index, c in enumerate(ordering):
                node.membership.on_claim(c, f"by{index}", index)
            results.add(current_claim(node))
        best = max(chosen, key=lambda c: (c.incarnation, c.precedence))
        assert results == {(best.incarnation, best.refutation, best.state)}, chosen


def test_messages_of_an_old_incarnation_are_dropped():
    node = make_node()
    message = swim.Message("say", 1, claim(NEW_INCARNATION, 0, "alive"), "z")
    node.on_message(10, "x", message)
    assert node.on_message(
        20,
        "y",
        swim.Message(
            "ping",
            2,
            claim(OLD_INCARNATION, 5, "alive"),
            "z",
            claims=(claim(OLD_INCARNATION, 9, "gone", "b"),),
        ),
    )
    assert (
        current_claim(node) == (NEW_INCARNATION, 0, "alive")
        and node.membership.members["a"].claim.address == "x"
    )
    assert "b" not in node.membership.members and node.counts["old_life"] == 1


def test_old_claims_do_not_add_a_removed_member_again():
    node = make_node(gone_retention_us=1000)
    node.on_message(10, "x", swim.Message("say", 1, claim(NEW_INCARNATION, 0, "alive"), "z"))
    node.membership.on_claim(claim(NEW_INCARNATION, 1, "gone"), "b", 10 * SECOND)
    node.membership.expire(20 * SECOND)
    assert "a" not in node.membership.members
    node.membership.on_claim(claim(NEW_INCARNATION, 0, "alive"), "b", 21 * SECOND)
    node.membership.on_claim(claim(OLD_INCARNATION, 7, "alive"), "b", 21 * SECOND)
    assert "a" not in node.membership.members
    node.on_message(
        22 * SECOND, "x", swim.Message("say", 1, claim(NEW_INCARNATION, 2, "alive"), "z")
    )
    assert current_claim(node) == (NEW_INCARNATION, 2, "alive")


@pytest.mark.parametrize(
    "message",
    [
        swim.Message("shout", 1, claim(OLD_INCARNATION, 0, "alive")),
        swim.Message("say", 1, claim(OLD_INCARNATION, 0, "gone")),
        swim.Message("say", 1, claim(OLD_INCARNATION, 0, "alive", name="")),
        swim.Message(
            "say",
            1,
            claim(OLD_INCARNATION, 0, "alive"),
            claims=tuple(claim(OLD_INCARNATION, 0, "alive", f"n{n}") for n in range(50)),
        ),
    ],
)
def test_an_invalid_message_is_counted_and_changes_nothing(message):
    node = make_node()
    assert (
        node.on_message(10, "x", message) == []
        and node.counts["nonsense"] == 1
        and node.membership.members == {}
    )


def test_the_membership_table_is_bounded_and_reports_overflow():
    node = make_node(max_members=4)
    for n in range(10):
        node.on_message(
            n, f"x{n}", swim.Message("say", 1, claim(OLD_INCARNATION, 0, "alive", f"n{n}"))
        )
    assert len(node.membership.members) == 4 and node.counts["full"] == 6
    assert [n.kind for n in node.take_changes()].count("full") == 6


def test_confirmations_shorten_a_suspicion():
    deadlines = []
    for confirmations in range(4):
        node = make_node()
        for n in range(10):
            node.on_message(
                0, f"x{n}", swim.Message("say", 1, claim(OLD_INCARNATION, 0, "alive", f"n{n}"))
            )
        for n in range(confirmations + 1):
            node.membership.on_claim(claim(OLD_INCARNATION, 0, "suspect", "n9"), f"n{n}", 0)
        deadlines.append(node.membership.members["n9"].state_deadline_us)
    assert (
        deadlines == sorted(deadlines, reverse=True)
        and len(set(deadlines)) == 4
        and deadlines[-1] == pytest.approx(node.membership.min_suspicion_timeout_us())
    )


# ---- fleets ----


def test_a_dead_root_is_declared_gone_and_rejoins_with_a_new_incarnation():
    fleet, joined_after = joined_fleet(10, 1)
    assert joined_after < 3 * SECOND
    fleet.kill("r4")
    assert (
        fleet.run_until(lambda: set(fleet.states_of("r4").values()) == {"gone"}, 30 * SECOND)
        < 12 * SECOND
    )
    fleet.start("r4")
    assert fleet.run_until(fleet.views_agree, 30 * SECOND) < 5 * SECOND


def test_a_root_restarted_five_times_within_a_suspicion_is_known_by_its_last_incarnation():
    fleet, _ = joined_fleet(5, 2)
    for _ in range(5):
        fleet.kill("r2")
        fleet.step(fleet.now + SECOND // 4)
        fleet.start("r2")
        fleet.step(fleet.now + SECOND // 4)
    assert fleet.run_until(fleet.views_agree, 30 * SECOND) < 5 * SECOND
    assert not any(change.kind == "gone" for _, _, change in fleet.log)


def test_a_root_with_a_lower_number_adopts_one_above_its_old_incarnation():
    fleet, _ = joined_fleet(4, 3)
    fleet.kill("r1")
    # The clock was set back, so the new process starts with a lower number.
    fleet.roots["r1"].number = 0
    fleet.roots["r1"].number -= 1
    fleet.start("r1")
    assert fleet.run_until(fleet.views_agree, 60 * SECOND) < 10 * SECOND
    assert fleet.roots["r1"].membership.own_claim.incarnation[0] > 2


def test_two_roots_that_swap_addresses_are_found_at_their_new_ones():
    fleet, _ = joined_fleet(6, 4)
    a, b = fleet.roots["r3"], fleet.roots["r4"]
    fleet.kill("r3", "r4")
    a.address, b.address = b.address, a.address
    fleet.start("r3", "r4")
    assert fleet.run_until(fleet.views_agree, 30 * SECOND) < 10 * SECOND
    assert fleet.roots["r0"].membership.members["r3"].claim.address == a.address


def test_both_roots_with_one_name_report_the_conflict():
    fleet, _ = joined_fleet(4, 5)
    fleet.roots["twin"] = copy.copy(fleet.roots["r2"])
    twin = fleet.roots["twin"]
    twin.name, twin.announced_name, twin.address, twin.number = "twin", "r2", "elsewhere", 9
    fleet.start("twin")
    fleet.step(fleet.now + 60 * SECOND)
    assert {
        at for _, at, change in fleet.log if change.kind == "twice" and change.name == "r2"
    } >= {"r2", "twin"}


def test_a_root_paused_for_10_s_suspects_nobody_and_its_stale_messages_are_recognized():
    fleet, _ = joined_fleet(5, 6)
    fleet.pause("r1")
    fleet.step(fleet.now + 10 * SECOND)
    assert set(fleet.states_of("r1").values()) == {"gone"}
    log_length = len(fleet.log)
    fleet.record_deliveries = True
    fleet.resume("r1")
    fleet.step(fleet.now + 5 * SECOND)
    changes = [change for _, at, change in fleet.log[log_length:] if at == "r1"]
    assert changes[0].kind == "paused" and not any(
        change.kind in ("suspect", "gone") for change in changes
    )
    assert fleet.run_until(fleet.views_agree, 20 * SECOND) is not None
    # Its first messages after the pause echo stamps from before it, so the receivers compute an age
    # of about 10 s at most.
    first = [
        (message, at)
        for at, to, _, message in fleet.delivered
        if message.sender.name == "r1" and message.echo is not None
    ][0]
    assert swim.age_bound_us(first[0], first[1]) is not None


def test_a_partition_of_half_the_roots_for_a_minute_heals():
    fleet, _ = joined_fleet(6, 7)
    fleet.cut(["r0", "r1", "r2"])
    fleet.step(fleet.now + 60 * SECOND)
    assert fleet.states_of("r5")["r0"] in ("gone", None) and fleet.states_of("r5")["r4"] == "alive"
    fleet.cut(["r0", "r1", "r2"], on=False)
    assert fleet.run_until(fleet.views_agree, 60 * SECOND) < 20 * SECOND


def test_a_root_that_nobody_hears_is_isolated_and_declares_nobody_gone():
    fleet, _ = joined_fleet(6, 8)
    fleet.cut(["r5"], both=False)
    fleet.step(fleet.now + 30 * SECOND)
    assert set(fleet.states_of("r5").values()) <= {"gone", None}
    assert fleet.roots["r5"].swim.health.is_isolated
    assert [change for _, at, change in fleet.log if at == "r5" and change.kind == "gone"] == []
    fleet.cut(["r5"], both=False, on=False)
    assert fleet.run_until(fleet.views_agree, 60 * SECOND) < 20 * SECOND


def test_a_one_way_cut_between_two_roots_makes_neither_gone():
    fleet, _ = joined_fleet(5, 9)
    fleet.links["r1", "r2"] = Link(cut=True)
    fleet.step(fleet.now + 60 * SECOND)
    assert not any(change.kind == "gone" for _, _, change in fleet.log)


def test_no_live_root_is_declared_gone_under_30_percent_loss_and_jitter():
    fleet, _ = joined_fleet(10, 10)
    fleet.link.loss, fleet.link.jitter_us = 0.3, 200_000
    fleet.step(fleet.now + 600 * SECOND)
    assert [change for _, _, change in fleet.log if change.kind == "gone"] == []


# ---- facts ----


def make_store(name, incarnation=(1, 1), **settings):
    return GossipStore(name, incarnation, GossipStoreSettings(**settings))


def reconcile_stores(first, second, now_us, transit_us=1000):
    facts, wanted = second.reconcile(first.digest(), 1 << 16, now_us)
    first.receive(facts, transit_us, now_us)
    facts, _ = first.reconcile(wanted, 1 << 16, now_us)
    second.receive(facts, transit_us, now_us)


def test_fact_ages_are_upper_bounds_and_expired_facts_are_dropped():
    a, b, c = make_store("a"), make_store("b"), make_store("c")
    a.publish("load", b"5", 2 * SECOND, 0)
    b.receive(
        a.updates_to_piggyback(1200, 3, 300_000), 50_000, 777
    )  # b's clock is unrelated to a's
    assert 351_000 <= b.known_facts("load", 777)["a"].age_us <= 358_000
    c.receive(b.updates_to_piggyback(1200, 3, 777 + SECOND), 10_000, 5)
    assert 1_361_000 <= c.known_facts("load", 5)["a"].age_us <= 1_400_000
    assert c.known_facts("load", 5 + SECOND) == {}
    c.expire(5 + SECOND)
    assert "a" not in c.origins


def test_stale_duplicate_old_and_unpublished_facts_are_counted_apart():
    a, b = make_store("a"), make_store("b")
    a.publish("k", b"1", 9 * SECOND, 0)
    first = a.updates_to_piggyback(1200, 2, 0)
    a.publish("k", b"2", 9 * SECOND, 0)
    second = a.updates_to_piggyback(1200, 2, 0)
    b.receive(second + second + first, 0, 0)
    assert b.known_facts("k", 0)["a"].value == b"2" and (b.counts["twice"], b.counts["old"]) == (
        1,
        1,
    )
    restarted = make_store("a", (2, 1))
    restarted.publish("k", b"new", 9 * SECOND, 0)
    b.receive(restarted.updates_to_piggyback(1200, 2, 0) + second, 0, 0)
    assert b.known_facts("k", 0)["a"].value == b"new" and b.counts["old_life"] == 1
    unpublished = gossip.Fact("b", (1, 1), "k", 5, b"", 0, SECOND)
    b.receive((unpublished,), 0, 0)
    b.receive(first, None, 0)
    assert b.counts["future"] == 1 and b.counts["unbounded"] == 1 and "k" not in b.own.by_key


@pytest.mark.parametrize(
    "change",
    [
        {"version": 0},
        {"age_us": -1},
        {"ttl_us": 0},
        {"ttl_us": 10**12},
        {"value": b"x" * 999},
        {"key": ""},
        {"key": "k" * 99},
        {"origin": ""},
    ],
)
def test_an_invalid_fact_is_rejected(change):
    fields = {
        "origin": "a",
        "incarnation": (1, 1),
        "key": "k",
        "version": 1,
        "value": b"",
        "age_us": 0,
        "ttl_us": SECOND,
    }
    b = make_store("b")
    b.receive((gossip.Fact(**fields | change),), 0, 0)
    assert b.counts["nonsense"] == 1 and set(b.origins) == {"b"}


def test_fact_tables_are_bounded_and_evict_nothing():
    b = make_store("b", max_origins=3, max_keys=2)
    for origin, key in (("a", "1"), ("a", "2"), ("a", "3"), ("c", "1"), ("d", "1")):
        b.receive((gossip.Fact(origin, (1, 1), key, 1, b"", 0, SECOND),), 0, 0)
    assert (
        b.counts["full"] == 2
        and set(b.origins) == {"a", "b", "c"}
        and set(b.origins["a"].by_key) == {"1", "2"}
    )
    for key in ("1", "2"):
        b.publish(key, b"", SECOND, 0)
    with pytest.raises(ValueError, match="2 keys are published already"):
        b.publish("3", b"", SECOND, 0)


def test_a_digest_repairs_a_gap_below_the_highest_version():
    a, b = make_store("a"), make_store("b")
    for key in ("x", "y", "z"):
        a.publish(key, key.encode(), 9 * SECOND, 0)
    b.receive([f for f in a.updates_to_piggyback(1200, 2, 0) if f.key != "y"], 0, 0)
    reconcile_stores(a, b, 0)
    assert b.known_facts("y", 0)["a"].value == b"y" and a.digest()[0] == next(
        m for m in b.digest() if m.origin == "a"
    )


def test_model_check_old_incarnations_never_win_and_stores_converge():
    """Explore all orders of publishing, sending, losing, duplicating, delivering and restarting.

    There are three roots, one with two incarnations, and up to `depth` steps. In every state, a
    root that knows the second incarnation stores only facts published by it. From the final states,
    three rounds of digests make all roots agree.
    """
    depth, seen, states = 9, set(), 0
    start = (
        {"a": make_store("a"), "b": make_store("b"), "c": make_store("c")},
        (),
        {1: 0, 2: 0},
        1,
    )

    def state_key(state):
        stores, in_flight, published, number = state
        return (
            tuple(
                (
                    n,
                    tuple(
                        sorted(
                            (
                                o,
                                h.incarnation,
                                tuple(sorted((k, e.version, e.value) for k, e in h.by_key.items())),
                            )
                            for o, h in b.origins.items()
                        )
                    ),
                    tuple(sorted((o, k, e.transmissions) for (o, k), e in b.updates.items())),
                )
                for n, b in stores.items()
            ),
            tuple(
                sorted(
                    (to, tuple((f.origin, f.incarnation, f.version) for f in facts))
                    for to, facts in in_flight
                )
            ),
            number,
        )

    def successors(state):
        stores, in_flight, published, number = state
        if published[number] < 2:
            new_stores = copy.deepcopy(stores)
            new_stores["a"].publish("k", f"{number}.{published[number]}".encode(), 100 * SECOND, 0)
            yield new_stores, in_flight, published | {number: published[number] + 1}, number
        if number == 1:
            new_stores = copy.deepcopy(stores)
            new_stores["a"] = make_store("a", (2, 0))
            yield new_stores, in_flight, published, 2
        for name in stores if len(in_flight) < 2 else ():
            new_stores = copy.deepcopy(stores)
            facts = new_stores[name].updates_to_piggyback(1200, 3, 0)
            if facts:
                for to in stores.keys() - {name}:
                    yield new_stores, (*in_flight, (to, facts)), published, number
        for index, (to, facts) in enumerate(in_flight):
            remaining = in_flight[:index] + in_flight[index + 1 :]
            yield stores, remaining, published, number  # the message is lost
            new_stores = copy.deepcopy(stores)
            new_stores[to].receive(facts, 0, 0)
            yield new_stores, remaining, published, number  # delivered once
            yield new_stores, in_flight, published, number  # delivered, and still in flight

    frontier = [start]
    for _ in range(depth):
        next_frontier = []
        for state in frontier:
            for successor in successors(state):
                if (k := state_key(successor)) in seen:
                    continue
                seen.add(k)
                states += 1
                next_frontier.append(successor)
                for store in successor[0].values():
                    if origin := store.origins.get("a"):
                        assert {int(e.value.split(b".")[0]) for e in origin.by_key.values()} <= {
                            origin.incarnation[0]
                        }
        frontier = next_frontier
    assert states > 2000
    for stores, _, _, _ in frontier[:: max(1, len(frontier) // 200)]:
        stores = copy.deepcopy(stores)
        for _ in range(3):
            for first, second in itertools.combinations(stores.values(), 2):
                reconcile_stores(first, second, 0)
        assert (
            len(
                {
                    tuple(sorted((o, v.value) for o, v in b.known_facts("k", 0).items()))
                    for b in stores.values()
                }
            )
            == 1
        )


# ---- wire format ----

OLD_KEY, NEW_KEY = b"a key that goes away", b"a key that comes in."


def envelope(**fields):
    message = swim.Message(
        "ping",
        7,
        claim(OLD_INCARNATION, 3, "alive"),
        "z",
        "t",
        "addr",
        55,
        (5, 6),
        (claim(NEW_INCARNATION, 0, "gone", "b"),),
    )
    return gossip.Envelope(message, **fields)


def test_an_envelope_survives_a_round_trip():
    sent = envelope(
        facts=(gossip.Fact("a", OLD_INCARNATION, "k", 1, b"\x00v", 5, 6),),
        digest=(gossip.DigestEntry("a", OLD_INCARNATION, 1, 2**64 - 1),),
        wanted=(gossip.DigestEntry("b", NEW_INCARNATION, 0, 0),),
    )
    assert codec.Codec("f", [OLD_KEY]).decode(codec.Codec("f", [OLD_KEY]).encode(sent)) == sent


@pytest.mark.parametrize(
    "change,reason",
    [
        (lambda d: d[:20], "short"),
        (lambda d: d + b"x" * 1400, "long"),
        (lambda d: b"HT" + d[2:], "stranger"),
        (lambda d: d[:2] + b"\x09" + d[3:], "version"),
        (lambda d: d[:3] + b"none" + d[7:], "fleet"),
        (lambda d: d[:-1], "tag"),
        (lambda d: d[:-1] + bytes([d[-1] ^ 1]), "tag"),
        (lambda d: d[:8] + bytes([d[8] ^ 1]) + d[9:], "tag"),
    ],
)
def test_a_datagram_with_an_invalid_header_or_tag_is_dropped_with_its_reason(change, reason):
    fleet_codec = codec.Codec("f", [OLD_KEY])
    with pytest.raises(codec.InvalidMessageError) as error:
        fleet_codec.decode(change(fleet_codec.encode(envelope())))
    assert error.value.reason == reason


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\xc0",
        b"\x93\x01\x02\x03",
        codec.pack(["ping", 1, ["a" * 65, [1, 2], 0, "alive", "x"]]),
        codec.pack(["ping", 1, ["a", [1, 2], -1, "alive", "x"]]),
        codec.pack(["ping", "one", []]),
    ],
)
def test_an_authenticated_but_malformed_body_is_dropped(body):
    fleet_codec = codec.Codec("f", [OLD_KEY])
    with pytest.raises(codec.InvalidMessageError) as error:
        fleet_codec.decode(fleet_codec.seal(codec.ENVELOPE_MAGIC, body))
    assert error.value.reason == "form"


def test_random_datagrams_change_nothing():
    generator, fleet_codec, protocol = (
        random.Random(1),
        codec.Codec("f", [OLD_KEY]),
        make_protocol(),
    )
    for n in range(5000):
        data = (
            generator.randbytes(generator.randrange(1500))
            if n % 2
            else fleet_codec.prefix + generator.randbytes(generator.randrange(1300))
        )
        with pytest.raises(codec.InvalidMessageError):
            protocol.on_envelope(n, "x", fleet_codec.decode(data))
    assert protocol.swim.membership.members == {} and set(protocol.store.origins) == {"z"}


def make_protocol():
    node = make_node()
    return GossipProtocol(node, make_store("z"), GossipSettings(), random.Random(1), 0)


def test_older_and_newer_releases_read_each_others_messages():
    fleet_codec = codec.Codec("f", [OLD_KEY])
    body = msgspec.msgpack.decode(fleet_codec.encode(envelope())[codec.HEADER_BYTES :])
    newer = codec.pack([*body, {"new": 1}, 9])
    assert fleet_codec.decode(fleet_codec.seal(codec.ENVELOPE_MAGIC, newer)) == envelope()
    older = codec.pack(body[:9])  # a release from before facts existed
    assert fleet_codec.decode(fleet_codec.seal(codec.ENVELOPE_MAGIC, older)).facts == ()


def test_an_oversized_envelope_loses_facts_first():
    facts = tuple(
        gossip.Fact("a", OLD_INCARNATION, f"k{n}", n + 1, b"v" * 200, 0, 9) for n in range(20)
    )
    datagram = codec.Codec("f", [OLD_KEY]).encode(envelope(facts=facts))
    decoded = codec.Codec("f", [OLD_KEY]).decode(datagram)
    assert (
        len(datagram) <= codec.MAX_DATAGRAM_BYTES
        and 0 < len(decoded.facts) < 20
        and decoded.message == envelope().message
    )


def test_key_rotation_root_by_root_keeps_all_members_alive():
    fleet, _ = joined_fleet(4, 11)
    for keys in ([KEY, NEW_KEY], [NEW_KEY, KEY], [NEW_KEY]):
        for root in fleet.roots.values():
            root.codec = codec.Codec("virtual", keys)
            fleet.step(fleet.now + SECOND)
    assert (
        fleet.dropped == []
        and fleet.views_agree()
        and not any(change.kind in ("suspect", "gone") for _, _, change in fleet.log)
    )


def test_a_duplicated_message_does_not_keep_a_dead_root_alive():
    node = make_node()
    message = swim.Message("say", 1, claim(OLD_INCARNATION, 0, "alive"), "z", stamp=5)
    node.on_message(10, "x", message)
    node.on_message(9 * SECOND, "x", message)
    assert node.membership.members["a"].heard_us == 10


# ---- facts in a fleet ----


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_fact_reaches_all_roots_and_a_partition_soon_after_it_heals(loss):
    fleet, _ = joined_fleet(8, 12)
    fleet.link.loss = loss
    fleet.roots["r0"].facts.publish("demand", b"1", 60 * SECOND, fleet.now)
    assert fleet.run_until(lambda: len(roots_that_know(fleet, b"1")) == 8, 30 * SECOND) < 5 * SECOND
    fleet.cut(["r0", "r1", "r2"])
    fleet.roots["r0"].facts.publish("demand", b"2", 60 * SECOND, fleet.now)
    fleet.step(fleet.now + 20 * SECOND)
    assert roots_that_know(fleet, b"2") == {"r0", "r1", "r2"}
    fleet.cut(["r0", "r1", "r2"], on=False)
    assert (
        fleet.run_until(lambda: len(roots_that_know(fleet, b"2")) == 8, 60 * SECOND) < 20 * SECOND
    )


def roots_that_know(fleet, value):
    return {
        root.name
        for root in fleet.roots.values()
        if root.up
        and (fact := root.facts.known_facts("demand", fleet.now).get("r0"))
        and fact.value == value
    }


def test_fact_ages_in_a_fleet_are_never_understated():
    fleet, _ = joined_fleet(6, 13)
    fleet.link.jitter_us = 100_000
    fleet.roots["r0"].facts.publish("demand", b"1", 60 * SECOND, fleet.now)
    published_at = fleet.now
    for _ in range(20):
        fleet.step(fleet.now + SECOND // 2)
        ages = [
            fact.age_us
            for root in fleet.roots.values()
            if (fact := root.facts.known_facts("demand", fleet.now).get("r0"))
        ]
        assert all(age >= fleet.now - published_at for age in ages)
    assert len(ages) == 6 and max(ages) < 2 * (fleet.now - published_at) + 3 * SECOND


def test_facts_of_a_restarted_root_disappear_with_its_old_incarnation():
    fleet, _ = joined_fleet(5, 14)
    fleet.roots["r0"].facts.publish("demand", b"old", 300 * SECOND, fleet.now)
    fleet.step(fleet.now + 5 * SECOND)
    assert len(roots_that_know(fleet, b"old")) == 5
    fleet.kill("r0")
    fleet.start("r0")
    assert (
        fleet.run_until(lambda: roots_that_know(fleet, b"old") == set(), 30 * SECOND) < 10 * SECOND
    )
    fleet.step(fleet.now + 30 * SECOND)
    assert roots_that_know(fleet, b"old") == set()


def test_seeds_follow_the_addresses_in_the_catalogue():
    node = SwimNode("a", (1, 1), "a:1", ["s:1"], swim.SwimSettings(), random.Random(1), 0)
    node.seeds.set_discovered(["a:1", "b:1", "c:1"], 0)
    assert set(node.seeds.next_ping_us) == {"s:1", "b:1", "c:1"}
    node.seeds.set_discovered([], 10)  # an empty list is ignored
    assert set(node.seeds.next_ping_us) == {"s:1", "b:1", "c:1"}
    node.seeds.set_discovered(["c:1", "s:1"], 20)
    assert set(node.seeds.next_ping_us) == {"s:1", "c:1"}
    node.seeds.set_discovered(["d:1"], 30)
    assert set(node.seeds.next_ping_us) == {"s:1", "d:1"}  # a configured seed stays
    node.seeds.set_discovered([f"x{n}:1" for n in range(1000)], 40)
    assert len(node.seeds.next_ping_us) == 1 + node.settings.max_members


class FakeView:
    def __init__(self, name, number=1, state="alive", peers=()):
        self.name, self.incarnation, self.state, self.peers = name, (number, 0), state, peers


@pytest.mark.parametrize(
    "views, expected",
    [
        ([FakeView("a", peers=[FakeView("b")]), FakeView("b", peers=[FakeView("a")])], []),
        (
            [FakeView("a"), FakeView("b", peers=[FakeView("a")])],
            ["a has no entry for b, which answers"],
        ),
        (
            [FakeView("a", peers=[FakeView("b", 1)]), FakeView("b", 2, peers=[FakeView("a")])],
            ["a believes that b is in incarnation 1, but it is in 2"],
        ),
        (
            [
                FakeView("a", peers=[FakeView("b", state="gone")]),
                FakeView("b", peers=[FakeView("a")]),
            ],
            ["a believes that b is gone, but it answers"],
        ),
        ([FakeView("a", 1), FakeView("a", 2)], ["2 roots use the name a"]),
        (
            [
                FakeView("a", peers=[FakeView("b"), FakeView("c")]),
                FakeView("b", peers=[FakeView("a"), FakeView("c", state="gone")]),
            ],
            ["c does not answer: a believes that it is alive, b believes that it is gone"],
        ),
    ],
)
def test_disagreements_are_reported(views, expected):
    lines = divergence.disagreements(views)
    assert len(lines) == len(expected) and all(
        text in line for text, line in zip(expected, lines, strict=True)
    )


def test_full_state_sync_speeds_up_recovery_from_a_partition():
    """Facts change on both sides of a partition, and digests cover only 16 origins per second."""
    fleet, _ = joined_fleet(30, 4)
    half = list(fleet.roots)[:15]
    fleet.cut(half)
    fleet.step(fleet.now + 20 * SECOND)
    for root in fleet.roots.values():
        for key in range(10):
            root.facts.publish(f"k{key}", bytes(150), 300 * SECOND, fleet.now)
    fleet.step(fleet.now + 5 * SECOND)
    fleet.cut(half, on=False)

    def all_know():
        return all(
            len(peer.facts.known_facts("k0", fleet.now))
            == len(peer.facts.known_facts("k9", fleet.now))
            == 30
            for peer in fleet.roots.values()
        )

    assert fleet.run_until(all_know, 60 * SECOND) < 40 * SECOND
    assert sum(peer.protocol.counts["wholes"] for peer in fleet.roots.values()) >= 30
