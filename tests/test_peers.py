"""What roots believe of each other, and what they tell each other: on one virtual clock, over links
that fail.
"""

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
from mothnotch.studies.peers import KEY, SECOND, Link, joined

A1, A2 = (1, 7), (2, 3)


def claim(life, turn, state, name="a", address="x"):
    return swim.Claim(name, life, turn, state, address)


def one(name="z", **settings):
    return SwimNode(name, (1, 1), "z", [], swim.SwimSettings(**settings), random.Random(1), 0)


def held(view, name="a"):
    peer = view.membership.members.get(name)
    found = peer.claim if peer else view.membership.departed.get(name)
    return found and (found.incarnation, found.refutation, found.state)


# ---- claims ----


def test_claims_in_any_order_and_number_come_to_the_same_belief():
    """Guards against beliefs that depend on the order in which word comes: roots would never agree."""
    every = [
        claim(life, turn, state)
        for life in (A1, A2)
        for turn in (0, 1)
        for state in ("alive", "suspect", "gone")
    ]
    for chosen in itertools.combinations(every, 3):
        found = set()
        for order in itertools.permutations(chosen + chosen[:1]):
            view = one()
            for at, c in enumerate(order):
                view.membership.on_claim(c, f"by{at}", at)
            found.add(held(view))
        best = max(chosen, key=lambda c: (c.incarnation, c.precedence))
        assert found == {(best.incarnation, best.refutation, best.state)}, chosen


def test_no_word_of_an_old_life_counts_once_a_newer_one_is_known():
    view = one()
    say = swim.Message("say", 1, claim(A2, 0, "alive"), "z")
    view.on_message(10, "x", say)
    assert view.on_message(
        20,
        "y",
        swim.Message("ping", 2, claim(A1, 5, "alive"), "z", claims=(claim(A1, 9, "gone", "b"),)),
    )
    assert held(view) == (A2, 0, "alive") and view.membership.members["a"].claim.address == "x"
    assert "b" not in view.membership.members and view.counts["old_life"] == 1


def test_what_left_the_table_does_not_come_back_by_old_word():
    view = one(gone_retention_us=1000)
    view.on_message(10, "x", swim.Message("say", 1, claim(A2, 0, "alive"), "z"))
    view.membership.on_claim(claim(A2, 1, "gone"), "b", 10 * SECOND)
    view.membership.expire(20 * SECOND)
    assert "a" not in view.membership.members
    view.membership.on_claim(claim(A2, 0, "alive"), "b", 21 * SECOND)
    view.membership.on_claim(claim(A1, 7, "alive"), "b", 21 * SECOND)
    assert "a" not in view.membership.members
    view.on_message(22 * SECOND, "x", swim.Message("say", 1, claim(A2, 2, "alive"), "z"))
    assert held(view) == (A2, 2, "alive")


@pytest.mark.parametrize(
    "message",
    [
        swim.Message("shout", 1, claim(A1, 0, "alive")),
        swim.Message("say", 1, claim(A1, 0, "gone")),
        swim.Message("say", 1, claim(A1, 0, "alive", name="")),
        swim.Message(
            "say",
            1,
            claim(A1, 0, "alive"),
            claims=tuple(claim(A1, 0, "alive", f"n{n}") for n in range(50)),
        ),
    ],
)
def test_a_message_that_makes_no_sense_is_counted_and_changes_nothing(message):
    view = one()
    assert (
        view.on_message(10, "x", message) == []
        and view.counts["nonsense"] == 1
        and view.membership.members == {}
    )


def test_the_table_is_bounded_and_says_so():
    view = one(max_members=4)
    for n in range(10):
        view.on_message(n, f"x{n}", swim.Message("say", 1, claim(A1, 0, "alive", f"n{n}")))
    assert len(view.membership.members) == 4 and view.counts["full"] == 6
    assert [n.kind for n in view.take_changes()].count("full") == 6


def test_a_suspicion_ends_sooner_the_more_share_it():
    ends = []
    for sharers in range(4):
        view = one()
        for n in range(10):
            view.on_message(0, f"x{n}", swim.Message("say", 1, claim(A1, 0, "alive", f"n{n}")))
        for n in range(sharers + 1):
            view.membership.on_claim(claim(A1, 0, "suspect", "n9"), f"n{n}", 0)
        ends.append(view.membership.members["n9"].state_deadline_us)
    assert (
        ends == sorted(ends, reverse=True)
        and len(set(ends)) == 4
        and ends[-1] == pytest.approx(view.membership.min_suspicion_timeout_us())
    )


# ---- fleets ----


def test_a_dead_root_is_gone_for_all_and_its_next_life_is_new():
    fleet, took = joined(10, 1)
    assert took < 3 * SECOND
    fleet.kill("r4")
    assert (
        fleet.until(lambda: set(fleet.states("r4").values()) == {"gone"}, 30 * SECOND) < 12 * SECOND
    )
    fleet.start("r4")
    assert fleet.until(fleet.agreed, 30 * SECOND) < 5 * SECOND


def test_a_root_restarted_five_times_within_a_suspicion_is_known_in_its_last_life():
    fleet, _ = joined(5, 2)
    for _ in range(5):
        fleet.kill("r2")
        fleet.step(fleet.now + SECOND // 4)
        fleet.start("r2")
        fleet.step(fleet.now + SECOND // 4)
    assert fleet.until(fleet.agreed, 30 * SECOND) < 5 * SECOND
    assert not any(n.kind == "gone" for _, _, n in fleet.log)


def test_a_root_whose_number_went_back_takes_one_above_its_old_life():
    fleet, _ = joined(4, 3)
    fleet.kill("r1")
    fleet.roots["r1"].number = 0  # its clock was set back: the new life's number is below
    fleet.roots["r1"].number -= 1
    fleet.start("r1")
    assert fleet.until(fleet.agreed, 60 * SECOND) < 10 * SECOND
    assert fleet.roots["r1"].membership.own_claim.incarnation[0] > 2


def test_two_roots_that_swap_addresses_are_found_at_their_new_ones():
    fleet, _ = joined(6, 4)
    a, b = fleet.roots["r3"], fleet.roots["r4"]
    fleet.kill("r3", "r4")
    a.address, b.address = b.address, a.address
    fleet.start("r3", "r4")
    assert fleet.until(fleet.agreed, 30 * SECOND) < 10 * SECOND
    assert fleet.roots["r0"].membership.members["r3"].claim.address == a.address


def test_a_name_used_twice_is_told_aloud_by_both():
    fleet, _ = joined(4, 5)
    fleet.roots["twin"] = copy.copy(fleet.roots["r2"])
    twin = fleet.roots["twin"]
    twin.name, twin.called, twin.address, twin.number = "twin", "r2", "elsewhere", 9
    fleet.start("twin")
    fleet.step(fleet.now + 60 * SECOND)
    assert {at for _, at, n in fleet.log if n.kind == "twice" and n.name == "r2"} >= {"r2", "twin"}


def test_a_root_paused_for_10_s_doubts_itself_and_its_old_word_is_known_to_be_old():
    fleet, _ = joined(5, 6)
    fleet.pause("r1")
    fleet.step(fleet.now + 10 * SECOND)
    assert set(fleet.states("r1").values()) == {"gone"}
    before = len(fleet.log)
    fleet.keep = True
    fleet.resume("r1")
    fleet.step(fleet.now + 5 * SECOND)
    said = [n for _, at, n in fleet.log[before:] if at == "r1"]
    assert said[0].kind == "paused" and not any(n.kind in ("suspect", "gone") for n in said)
    assert fleet.until(fleet.agreed, 20 * SECOND) is not None
    # What it sent at once after the pause echoes stamps it had before it: the receivers know a
    # bound of 10 s.
    first = [
        (m, at) for at, to, _, m in fleet.delivered if m.sender.name == "r1" and m.echo is not None
    ][0]
    assert swim.age_bound_us(first[0], first[1]) is not None


def test_half_of_the_roots_cut_off_for_a_minute_come_back_together():
    fleet, _ = joined(6, 7)
    fleet.cut(["r0", "r1", "r2"])
    fleet.step(fleet.now + 60 * SECOND)
    assert fleet.states("r5")["r0"] in ("gone", None) and fleet.states("r5")["r4"] == "alive"
    fleet.cut(["r0", "r1", "r2"], on=False)
    assert fleet.until(fleet.agreed, 60 * SECOND) < 20 * SECOND


def test_a_root_that_is_heard_by_nobody_holds_itself_for_cut_off_and_nobody_for_gone():
    fleet, _ = joined(6, 8)
    fleet.cut(["r5"], both=False)
    fleet.step(fleet.now + 30 * SECOND)
    assert set(fleet.states("r5").values()) <= {"gone", None}
    assert fleet.roots["r5"].swim.health.is_isolated
    assert [n for _, at, n in fleet.log if at == "r5" and n.kind == "gone"] == []
    fleet.cut(["r5"], both=False, on=False)
    assert fleet.until(fleet.agreed, 60 * SECOND) < 20 * SECOND


def test_a_one_way_cut_between_two_roots_takes_neither_for_gone():
    fleet, _ = joined(5, 9)
    fleet.links["r1", "r2"] = Link(cut=True)
    fleet.step(fleet.now + 60 * SECOND)
    assert not any(n.kind == "gone" for _, _, n in fleet.log)


def test_no_sound_root_is_held_for_gone_with_a_third_of_all_lost_and_jitter():
    fleet, _ = joined(10, 10)
    fleet.link.loss, fleet.link.jitter_us = 0.3, 200_000
    fleet.step(fleet.now + 600 * SECOND)
    assert [n for _, _, n in fleet.log if n.kind == "gone"] == []


# ---- facts ----


def book(name, life=(1, 1), **settings):
    return GossipStore(name, life, GossipStoreSettings(**settings))


def exchange(a, b, now, transit=1000):
    found, wanted = b.reconcile(a.digest(), 1 << 16, now)
    a.receive(found, transit, now)
    found, _ = a.reconcile(wanted, 1 << 16, now)
    b.receive(found, transit, now)


def test_ages_bound_what_they_state_and_a_spent_fact_counts_for_nothing():
    a, b, c = book("a"), book("b"), book("c")
    a.publish("load", b"5", 2 * SECOND, 0)
    b.receive(
        a.updates_to_piggyback(1200, 3, 300_000), 50_000, 777
    )  # b's clock has nothing to do with a's
    assert 351_000 <= b.known_facts("load", 777)["a"].age_us <= 358_000
    c.receive(b.updates_to_piggyback(1200, 3, 777 + SECOND), 10_000, 5)
    assert 1_361_000 <= c.known_facts("load", 5)["a"].age_us <= 1_400_000
    assert c.known_facts("load", 5 + SECOND) == {}
    c.expire(5 + SECOND)
    assert "a" not in c.origins


def test_facts_out_of_order_twice_from_old_lives_and_the_future_are_told_apart():
    a, b = book("a"), book("b")
    a.publish("k", b"1", 9 * SECOND, 0)
    first = a.updates_to_piggyback(1200, 2, 0)
    a.publish("k", b"2", 9 * SECOND, 0)
    second = a.updates_to_piggyback(1200, 2, 0)
    b.receive(second + second + first, 0, 0)
    assert b.known_facts("k", 0)["a"].value == b"2" and (b.counts["twice"], b.counts["old"]) == (
        1,
        1,
    )
    reborn = book("a", (2, 1))
    reborn.publish("k", b"new", 9 * SECOND, 0)
    b.receive(reborn.updates_to_piggyback(1200, 2, 0) + second, 0, 0)
    assert b.known_facts("k", 0)["a"].value == b"new" and b.counts["old_life"] == 1
    made_up = gossip.Fact("b", (1, 1), "k", 5, b"", 0, SECOND)
    b.receive((made_up,), 0, 0)
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
def test_a_fact_that_makes_no_sense_is_not_taken(change):
    fields = {
        "origin": "a",
        "incarnation": (1, 1),
        "key": "k",
        "version": 1,
        "value": b"",
        "age_us": 0,
        "ttl_us": SECOND,
    }
    b = book("b")
    b.receive((gossip.Fact(**fields | change),), 0, 0)
    assert b.counts["nonsense"] == 1 and set(b.origins) == {"b"}


def test_tables_of_facts_are_bounded_and_push_nothing_out():
    b = book("b", max_origins=3, max_keys=2)
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


def test_a_digest_mends_a_gap_under_the_highest_version():
    a, b = book("a"), book("b")
    for key in ("x", "y", "z"):
        a.publish(key, key.encode(), 9 * SECOND, 0)
    b.receive([f for f in a.updates_to_piggyback(1200, 2, 0) if f.key != "y"], 0, 0)
    exchange(a, b, 0)
    assert b.known_facts("y", 0)["a"].value == b"y" and a.digest()[0] == next(
        m for m in b.digest() if m.origin == "a"
    )


def test_search_no_fact_of_an_old_life_wins_and_all_agree_once_messages_flow():
    """Every order of saying, sending, losing, repeating, delivering and restarting, to the stated
    depth: 3 roots, 2 lives of one of them. What holds in each state: nobody who knows of the second
    life holds a fact of the first; what is held is what that life said last or before. In each last
    state, three rounds of digests make all agree.
    """
    depth, seen, states = 9, set(), 0
    start = ({"a": book("a"), "b": book("b"), "c": book("c")}, (), {1: 0, 2: 0}, 1)

    def key(state):
        books, flying, said, life = state
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
                for n, b in books.items()
            ),
            tuple(
                sorted(
                    (to, tuple((f.origin, f.incarnation, f.version) for f in found))
                    for to, found in flying
                )
            ),
            life,
        )

    def after(state):
        books, flying, said, life = state
        if said[life] < 2:
            copied = copy.deepcopy(books)
            copied["a"].publish("k", f"{life}.{said[life]}".encode(), 100 * SECOND, 0)
            yield copied, flying, said | {life: said[life] + 1}, life
        if life == 1:
            copied = copy.deepcopy(books)
            copied["a"] = book("a", (2, 0))
            yield copied, flying, said, 2
        for name in books if len(flying) < 2 else ():
            copied = copy.deepcopy(books)
            found = copied[name].updates_to_piggyback(1200, 3, 0)
            if found:
                for to in books.keys() - {name}:
                    yield copied, (*flying, (to, found)), said, life
        for at, (to, found) in enumerate(flying):
            rest = flying[:at] + flying[at + 1 :]
            yield books, rest, said, life  # lost
            copied = copy.deepcopy(books)
            copied[to].receive(found, 0, 0)
            yield copied, rest, said, life  # delivered
            yield copied, flying, said, life  # delivered, and once more later

    level = [start]
    for _ in range(depth):
        following = []
        for state in level:
            for new in after(state):
                if (k := key(new)) in seen:
                    continue
                seen.add(k)
                states += 1
                following.append(new)
                for book_ in new[0].values():
                    if origin := book_.origins.get("a"):
                        assert {int(e.value.split(b".")[0]) for e in origin.by_key.values()} <= {
                            origin.incarnation[0]
                        }
        level = following
    assert states > 2000
    for books, _, _, _ in level[:: max(1, len(level) // 200)]:
        books = copy.deepcopy(books)
        for _ in range(3):
            for one_, other in itertools.combinations(books.values(), 2):
                exchange(one_, other, 0)
        assert (
            len(
                {
                    tuple(sorted((o, v.value) for o, v in b.known_facts("k", 0).items()))
                    for b in books.values()
                }
            )
            == 1
        )


# ---- on the wire ----

OLD, NEW = b"a key that goes away", b"a key that comes in."


def envelope(**more):
    message = swim.Message(
        "ping", 7, claim(A1, 3, "alive"), "z", "t", "addr", 55, (5, 6), (claim(A2, 0, "gone", "b"),)
    )
    return gossip.Envelope(message, **more)


def test_an_envelope_comes_back_as_it_was():
    said = envelope(
        facts=(gossip.Fact("a", A1, "k", 1, b"\x00v", 5, 6),),
        digest=(gossip.DigestEntry("a", A1, 1, 2**64 - 1),),
        wanted=(gossip.DigestEntry("b", A2, 0, 0),),
    )
    assert codec.Codec("f", [OLD]).decode(codec.Codec("f", [OLD]).encode(said)) == said


@pytest.mark.parametrize(
    "change,why",
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
def test_what_is_not_of_the_fleet_is_dropped_and_named(change, why):
    one = codec.Codec("f", [OLD])
    with pytest.raises(codec.InvalidMessageError) as dropped:
        one.decode(change(one.encode(envelope())))
    assert dropped.value.reason == why


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
def test_a_body_with_a_sound_tag_that_cannot_be_read_is_dropped(body):
    one = codec.Codec("f", [OLD])
    with pytest.raises(codec.InvalidMessageError) as dropped:
        one.decode(one.seal(codec.ENVELOPE_MAGIC, body))
    assert dropped.value.reason == "form"


def test_noise_and_a_flood_change_nothing():
    drawn, one, view = random.Random(1), codec.Codec("f", [OLD]), one_view()
    for n in range(5000):
        data = (
            drawn.randbytes(drawn.randrange(1500))
            if n % 2
            else one.prefix + drawn.randbytes(drawn.randrange(1300))
        )
        with pytest.raises(codec.InvalidMessageError):
            view.on_envelope(n, "x", one.decode(data))
    assert view.swim.membership.members == {} and set(view.store.origins) == {"z"}


def one_view():
    view = one()
    return GossipProtocol(view, book("z"), GossipSettings(), random.Random(1), 0)


def test_an_older_release_reads_a_newer_ones_messages_and_the_other_way_round():
    one = codec.Codec("f", [OLD])
    body = msgspec.msgpack.decode(one.encode(envelope())[codec.HEADER_BYTES :])
    newer = codec.pack([*body, {"new": 1}, 9])
    assert one.decode(one.seal(codec.ENVELOPE_MAGIC, newer)) == envelope()
    older = codec.pack(body[:9])  # of before there were facts
    assert one.decode(one.seal(codec.ENVELOPE_MAGIC, older)).facts == ()


def test_a_datagram_holds_what_fits_and_facts_go_first():
    many = tuple(gossip.Fact("a", A1, f"k{n}", n + 1, b"v" * 200, 0, 9) for n in range(20))
    said = codec.Codec("f", [OLD]).encode(envelope(facts=many))
    found = codec.Codec("f", [OLD]).decode(said)
    assert (
        len(said) <= codec.MAX_DATAGRAM_BYTES
        and 0 < len(found.facts) < 20
        and found.message == envelope().message
    )


def test_a_key_is_changed_root_by_root_without_losing_sight():
    fleet, _ = joined(4, 11)
    for keys in ([KEY, NEW], [NEW, KEY], [NEW]):
        for root in fleet.roots.values():
            root.codec = codec.Codec("virtual", keys)
            fleet.step(fleet.now + SECOND)
    assert (
        fleet.dropped == []
        and fleet.agreed()
        and not any(n.kind in ("suspect", "gone") for _, _, n in fleet.log)
    )


def test_a_message_repeated_by_the_network_does_not_keep_a_dead_root_alive():
    view = one()
    say = swim.Message("say", 1, claim(A1, 0, "alive"), "z", stamp=5)
    view.on_message(10, "x", say)
    view.on_message(9 * SECOND, "x", say)
    assert view.membership.members["a"].heard_us == 10


# ---- facts in a fleet ----


@pytest.mark.parametrize("loss", [0.0, 0.3])
def test_a_fact_reaches_all_and_a_cut_half_hears_it_soon_after(loss):
    fleet, _ = joined(8, 12)
    fleet.link.loss = loss
    fleet.roots["r0"].facts.publish("demand", b"1", 60 * SECOND, fleet.now)
    assert fleet.until(lambda: len(holders(fleet, b"1")) == 8, 30 * SECOND) < 5 * SECOND
    fleet.cut(["r0", "r1", "r2"])
    fleet.roots["r0"].facts.publish("demand", b"2", 60 * SECOND, fleet.now)
    fleet.step(fleet.now + 20 * SECOND)
    assert holders(fleet, b"2") == {"r0", "r1", "r2"}
    fleet.cut(["r0", "r1", "r2"], on=False)
    assert fleet.until(lambda: len(holders(fleet, b"2")) == 8, 60 * SECOND) < 20 * SECOND


def holders(fleet, value):
    return {
        r.name
        for r in fleet.roots.values()
        if r.up and (k := r.facts.known_facts("demand", fleet.now).get("r0")) and k.value == value
    }


def test_ages_in_a_fleet_are_never_under_the_truth():
    fleet, _ = joined(6, 13)
    fleet.link.jitter_us = 100_000
    fleet.roots["r0"].facts.publish("demand", b"1", 60 * SECOND, fleet.now)
    born = fleet.now
    for _ in range(20):
        fleet.step(fleet.now + SECOND // 2)
        ages = [
            k.age_us
            for r in fleet.roots.values()
            if (k := r.facts.known_facts("demand", fleet.now).get("r0"))
        ]
        assert all(age >= fleet.now - born for age in ages)
    assert len(ages) == 6 and max(ages) < 2 * (fleet.now - born) + 3 * SECOND


def test_a_restarted_roots_old_facts_are_gone_everywhere_once_its_new_life_is_known():
    fleet, _ = joined(5, 14)
    fleet.roots["r0"].facts.publish("demand", b"old", 300 * SECOND, fleet.now)
    fleet.step(fleet.now + 5 * SECOND)
    assert len(holders(fleet, b"old")) == 5
    fleet.kill("r0")
    fleet.start("r0")
    assert fleet.until(lambda: holders(fleet, b"old") == set(), 30 * SECOND) < 10 * SECOND
    fleet.step(fleet.now + 30 * SECOND)
    assert holders(fleet, b"old") == set()


def test_the_catalogue_names_addresses_and_what_it_leaves_out_is_called_no_more():
    view = SwimNode("a", (1, 1), "a:1", ["s:1"], swim.SwimSettings(), random.Random(1), 0)
    view.seeds.set_discovered(["a:1", "b:1", "c:1"], 0)
    assert set(view.seeds.next_ping_us) == {"s:1", "b:1", "c:1"}
    view.seeds.set_discovered([], 10)  # it names nobody: it is in doubt itself
    assert set(view.seeds.next_ping_us) == {"s:1", "b:1", "c:1"}
    view.seeds.set_discovered(["c:1", "s:1"], 20)
    assert set(view.seeds.next_ping_us) == {"s:1", "c:1"}
    view.seeds.set_discovered(["d:1"], 30)
    assert set(view.seeds.next_ping_us) == {"s:1", "d:1"}  # one of the configuration's own stays
    view.seeds.set_discovered([f"x{n}:1" for n in range(1000)], 40)
    assert len(view.seeds.next_ping_us) == 1 + view.settings.max_members


class Seen:
    def __init__(self, name, life=1, state="alive", peers=()):
        self.name, self.incarnation, self.state, self.peers = name, (life, 0), state, peers


@pytest.mark.parametrize(
    "views, said",
    [
        ([Seen("a", peers=[Seen("b")]), Seen("b", peers=[Seen("a")])], []),
        ([Seen("a"), Seen("b", peers=[Seen("a")])], ["a has no entry for b, which answers"]),
        (
            [Seen("a", peers=[Seen("b", 1)]), Seen("b", 2, peers=[Seen("a")])],
            ["a believes that b is in incarnation 1, but it is in 2"],
        ),
        (
            [Seen("a", peers=[Seen("b", state="gone")]), Seen("b", peers=[Seen("a")])],
            ["a believes that b is gone, but it answers"],
        ),
        ([Seen("a", 1), Seen("a", 2)], ["2 roots use the name a"]),
        (
            [
                Seen("a", peers=[Seen("b"), Seen("c")]),
                Seen("b", peers=[Seen("a"), Seen("c", state="gone")]),
            ],
            ["c does not answer: a believes that it is alive, b believes that it is gone"],
        ),
    ],
)
def test_disagreements_are_named(views, said):
    found = divergence.disagreements(views)
    assert len(found) == len(said) and all(s in f for s, f in zip(said, found, strict=True))


def test_a_virtual_fleet_that_was_cut_in_half_is_one_again_sooner_by_whole_exchanges():
    """Facts of many roots that changed on both sides of a cut: digests name sixteen origins a
    second.
    """
    fleet, _ = joined(30, 4)
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
            len(r.facts.known_facts("k0", fleet.now))
            == len(r.facts.known_facts("k9", fleet.now))
            == 30
            for r in fleet.roots.values()
        )

    assert fleet.until(all_know, 60 * SECOND) < 40 * SECOND
    assert sum(r.talk.counts["wholes"] for r in fleet.roots.values()) >= 30
