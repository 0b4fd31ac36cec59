"""The parts around the watch: answers as read, the HTTP client's bounds, the list on disk,
withdrawn sends, py-consul.
"""

import contextlib
import json
import os
import random
import sqlite3
import threading

import consul
import pytest
import trio

from mothnotch import demo, net
from mothnotch.consul import api
from mothnotch.consul.agent import AgentClient, AgentError
from mothnotch.decisions.leaf_membership.catalogue_answers import CachedLeaf
from mothnotch.net.memory import MemoryNetwork
from mothnotch.standins.consul import (
    Catalogue,
    ConsulAgent,
    InvalidRequestError,
    duration,
    filtered,
)
from mothnotch.store.endpoint_cache import EndpointCache
from tests.support.virtual_clock import play

HEADERS = {"x-consul-index": "7", "x-consul-knownleader": "true", "x-consul-lastcontact": "3"}


def entry(**service):
    return {
        "Node": {"Node": "n1", "Address": "10.0.0.1"},
        "Service": {"ID": "a", "Port": 5, **service},
        "Checks": [],
    }


def read(entries, headers=HEADERS, status=200):
    body = entries if isinstance(entries, bytes) else json.dumps(entries).encode()
    return api.parse_answer(status, headers, body, 0, 0)


def test_answers_are_read_as_the_api_gives_them():
    found = read(
        [
            entry(),
            entry(
                ID="b",
                Address="fd00::1",
                Tags=["x"],
                Meta={"k": "v"},
                Weights={"Passing": 3, "Warning": 0},
                CreateIndex=9,
            ),
        ]
    )
    one, two = found.instances
    assert (one.name, one.address, one.tags, one.meta, one.weights) == (
        "n1/a",
        "10.0.0.1:5",
        (),
        {},
        (1, 1),
    )
    assert (two.address, two.tags, two.meta, two.weights, two.create_index) == (
        "[fd00::1]:5",
        ("x",),
        {"k": "v"},
        (3, 0),
        9,
    )
    assert (found.index, found.last_contact_ms, found.is_stale, found.filtered) == (
        7,
        3.0,
        False,
        False,
    )
    assert read([], {**HEADERS, "x-consul-knownleader": "false"}).is_stale
    assert read([], {**HEADERS, "x-consul-results-filtered-by-acls": "true"}).filtered
    catalog = api.parse_catalog_entry(
        b'{"Node": "n1", "Address": "10.0.0.1", "ServiceID": "a", "ServicePort": 5}'
    )
    assert (catalog.name, catalog.address) == ("n1/a", "10.0.0.1:5")


def test_entry_that_cannot_be_read_costs_itself_alone_and_is_named():
    found = read([entry(), {"Node": 1}, entry(ID="b", Meta={"k": 5}), None])
    assert [x.name for x in found.instances] == ["n1/a"] and len(found.parse_errors) == 3
    assert found.parse_errors[0].startswith("entry 1:")


@pytest.mark.parametrize(
    "body, headers, status",
    [
        (b"[", HEADERS, 200),
        (b"{}", HEADERS, 200),
        (b"[" * 100_000, HEADERS, 200),
        (b"\xff", HEADERS, 200),
        (b"", HEADERS, 200),
        (b"[]", {}, 200),
        (b"[]", {"x-consul-index": "-4"}, 200),
        (b"[]", {"x-consul-index": "9" * 400}, 200),
        (b"no", HEADERS, 500),
        (b"slow down", {"retry-after": "soon"}, 429),
    ],
)
def test_answers_that_cannot_be_used_say_why(body, headers, status):
    with pytest.raises(api.BadAnswerError) as caught:
        read(body, headers, status)
    assert str(caught.value) and caught.value.retry_after_s == 0


def test_targets():
    assert api.request_target("/p") == "/p" and api.request_target("/p", mode="stale") == "/p?stale"
    assert api.request_target("/p", 7, 2.5, "stale", dc="d", ns=None, filter='a == "b"') == (
        "/p?stale&index=7&wait=2500ms&dc=d&filter=a+%3D%3D+%22b%22"
    )
    assert api.health_path("a/b c") == "/v1/health/service/a%2Fb%20c"


def served(data, close=True):
    """What the client makes of a server that says `data` to the first request."""

    async def main():
        network = MemoryNetwork()
        (listener,) = await network.listen("a:1")

        async def server():
            stream = await listener.accept()
            await stream.receive_some()
            await stream.send_all(data)
            if close:
                stream.close()
            else:
                await trio.sleep_forever()

        async with trio.open_nursery() as nursery:
            nursery.start_soon(server)
            try:
                with trio.fail_after(2):
                    return await AgentClient(network, "a:1", max_body_bytes=1000).request(
                        "GET", "/"
                    )
            finally:
                nursery.cancel_scope.cancel()

    return trio.run(main)


def test_client_reads_chunked_answers_and_answers_without_length():
    assert served(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        False,
    ) == (200, {"transfer-encoding": "chunked", "x-a": "b"}, b"abc")
    assert served(b"HTTP/1.1 200 OK\r\n\r\nabc")[2] == b"abc"


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
        b"\x15\x03\x01\x00\x02\x02\x16",
        b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n" + b"x" * 2000,
        b"A" * 200_000,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_client_names_what_is_no_answer_and_holds_no_more_than_its_limit(data):
    with pytest.raises((AgentError, ExceptionGroup)) as caught:
        served(data)
    assert isinstance(caught.value, AgentError) or caught.group_contains(AgentError)


@pytest.mark.parametrize("seed", range(40))
def test_client_survives_noise(seed):
    r = random.Random(seed)
    sound = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Consul-Index: 4\r\n\r\nabc"
    data = bytearray(sound)
    for _ in range(r.randint(1, 6)):
        data[r.randrange(len(data))] = r.randrange(256)
    with contextlib.suppress(AgentError, ExceptionGroup, trio.TooSlowError):
        status, _, body = served(bytes(data[: r.randint(1, len(data))]))
        assert 100 <= status <= 999 and len(body) <= 1000


# ---- the list on disk ----

LEAVES = [
    CachedLeaf(f"n{k}/a", f"10.0.0.{k}:5432", "z", k, "up", 1.0, None if k else 1.8e9)
    for k in range(8)
]


def test_list_comes_back_whole_and_the_newest_first(tmp_path):
    store = EndpointCache(tmp_path / "l.db", "stock")
    assert store.load() == (None, 0, 0.0, "")
    for k in range(5):
        store.save(LEAVES[: k + 1], 10 + k, 100.0 - k)  # the wall clock goes back meanwhile
    leaves, index, saved, wrong = store.load()
    assert (leaves, index, saved, wrong) == (LEAVES[:5], 14, 96.0, "")
    assert EndpointCache(tmp_path / "l.db", "other").load()[0] is None


def test_damaged_newest_list_leaves_the_one_before(tmp_path):
    store = EndpointCache(tmp_path / "l.db", "stock")
    store.save(LEAVES[:4], 1, 1.0)
    store.save(LEAVES, 2, 2.0)
    with contextlib.closing(sqlite3.connect(store.path)) as db, db:
        db.execute("UPDATE lists SET body = ? WHERE at = 2", (b'[{"name": "evil"}]',))
    leaves, index, _, wrong = store.load()
    assert (leaves, index) == (LEAVES[:4], 1) and "checksum" in wrong


def test_any_damage_to_the_file_gives_a_whole_list_or_none_and_never_stops_a_start(tmp_path):
    r = random.Random(1)
    whole = {}
    store = EndpointCache(tmp_path / "l.db", "stock")
    for k in (4, 8):
        store.save(LEAVES[:k], k, float(k))
        whole[k] = LEAVES[:k]
    sound, aside = (tmp_path / "l.db").read_bytes(), 0
    for _ in range(300):
        data = bytearray(sound[: r.randrange(len(sound))] if r.random() < 0.4 else sound)
        for _ in range(r.choice([0, 1, 8, 64])):
            if data:
                data[r.randrange(len(data))] ^= 1 << r.randrange(8)
        (tmp_path / "l.db").write_bytes(data)
        leaves, index, _, _ = store.load()
        assert leaves is None or leaves == whole[index]
        aside += os.path.exists(store.path + ".broken")
        with contextlib.suppress(FileNotFoundError):
            os.remove(store.path + ".broken")
        with contextlib.suppress(OSError):  # the first save after may still find the damage
            store.save(LEAVES, 9, 9.0)
        store.save(LEAVES, 9, 9.0)
        assert store.load()[1] == 9
    assert aside > 20


def test_list_that_cannot_be_put_down_is_an_os_error(tmp_path):
    with pytest.raises(OSError):
        EndpointCache(tmp_path / "missing" / "l.db", "stock").save(LEAVES, 1, 1.0)


# ---- sends that have not gone out ----


def test_send_that_no_byte_of_has_left_is_withdrawn_when_its_leaf_departs():
    async def test(world):
        c = await world.client()
        assert (await c.query("SELECT count(*) FROM stock")).error is None
        pool = world.root.leaves
        blocked = [
            conn.stream
            for leaf in pool.leaves.values()
            for conn in leaf.idle
            if leaf.name == "leaf-2"
        ]
        assert blocked
        for stream in blocked:  # the peer's window is full: nothing leaves
            stream.limit, stream.kept = 0, stream.limit
        before = len(world.arrived("stock"))
        async with trio.open_nursery() as nursery:
            replies = []

            async def ask():
                replies.append(await c.query("SELECT count(*) FROM stock"))

            nursery.start_soon(ask)
            await trio.sleep(0.005)
            world.fleet.states["leaf-2"] = "draining"
            world.tell()
            assert world.root.watch.poll()
            for stream in blocked:
                stream.limit = stream.kept
                stream.peer._wake()
        assert replies[0].error is None
        assert not [s for s in world.arrived("stock")[before:] if s.leaf == "leaf-2"]

    play(test)


# ---- a client nobody here wrote ----


@contextlib.contextmanager
def agent_in_a_thread():
    state, ready = {}, threading.Event()

    async def main():
        state["token"] = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            state["scope"] = nursery.cancel_scope
            catalogue = Catalogue()
            nursery.start_soon(catalogue.run)
            agent = await nursery.start(
                ConsulAgent(catalogue, net.SocketNetwork(), "127.0.0.1:0", "agent-0").run
            )
            state["address"] = agent.address
            ready.set()

    worker = threading.Thread(target=trio.run, args=(main,), daemon=True)
    worker.start()
    assert ready.wait(10)
    try:
        yield state["address"].split(":")
    finally:
        state["token"].run_sync_soon(state["scope"].cancel)
        worker.join(10)


def test_py_consul_works_against_the_stand_in():
    with agent_in_a_thread() as (host, port):
        c = consul.Consul(host=host, port=int(port))
        assert c.status.leader()
        assert c.agent.service.register(
            "web",
            service_id="web-1",
            address="127.0.0.1",
            port=80,
            tags=["a"],
            meta={"cell": "1"},
            check=consul.Check.ttl("1s"),
        )
        assert c.agent.services()["web-1"]["Port"] == 80
        index, (found,) = c.health.service("web")
        assert {x["Status"] for x in found["Checks"]} == {"critical"} and found["Service"][
            "Tags"
        ] == ["a"]
        assert c.health.service("web", passing=True)[1] == []
        assert c.agent.check.ttl_pass("service:web-1")
        index, (found,) = c.health.service("web", passing=True)
        # A blocking query that nothing happens to ends with its wait, index unchanged; one that
        # something does, at once.
        assert c.health.service("web", index=index, wait="100ms")[0] == index
        timer = threading.Timer(
            0.2, lambda: c.agent.service.maintenance("web-1", True, reason="moving")
        )
        timer.start()
        later, (found,) = c.health.service("web", index=index, wait="10s")
        assert later > index and any(
            x["CheckID"] == "_service_maintenance:web-1" for x in found["Checks"]
        )
        timer.join()
        c.agent.service.maintenance("web-1", False)
        while c.health.service("web", passing=True)[1]:  # its beat stops: the check runs out
            index, _ = c.health.service("web", index=c.health.service("web")[0], wait="3s")
        assert c.catalog.register(
            "db-1", "127.0.0.9", service={"Service": "db", "ID": "db", "Port": 5432}
        )
        assert set(c.catalog.services()[1]) == {"web", "db"}
        assert c.catalog.service("db")[1][0]["ServicePort"] == 5432
        assert {n["Node"] for n in c.catalog.nodes()[1]} == {"agent-0", "db-1"}
        assert c.health.node("agent-0")[1][0]["CheckID"] == "service:web-1"
        assert c.health.state("critical")[1] and c.health.checks("web")[1]
        assert c.catalog.deregister("db-1") and c.agent.service.deregister("web-1")
        assert c.catalog.services()[1] == {}
        assert not c.agent.check.ttl_pass("service:web-1")  # 404: this client gives False


def test_stand_in_filters_and_durations():
    entries = [entry(Tags=["a"], Meta={"env": "prod"}), entry(ID="b", Tags=[], Meta={})]
    assert len(filtered(entries, 'Service.Meta.env == "prod" and "a" in Service.Tags')) == 1
    assert filtered(entries, '"a" not in Service.Tags')[0]["Service"]["ID"] == "b"
    with pytest.raises(InvalidRequestError):
        filtered(entries, "Service.ID matches a or b")
    assert [duration(x) for x in ("5s", "100ms", "1m30s", "7")] == [5, 0.1, 90, 7]
    with pytest.raises(InvalidRequestError):
        duration("soon")


# ---- configuration ----


@pytest.mark.parametrize(
    "section, where",
    [
        ({"agents": []}, "consul.agents"),
        ({"agents": ["https://a:8501"]}, "consul.agents[0]"),
        ({"service": ""}, "consul.service"),
        ({"wait_s": 0}, "consul.wait_s"),
        ({"shrink": 2}, "consul.shrink"),
        ({"hold_s": -1}, "consul.hold_s"),
        ({"follow": 0}, "consul.follow"),
        ({"answer_limit": 10}, "consul.answer_limit"),
        ({"register": {"ttl_s": 0}}, "consul.register.ttl_s"),
        ({"register": {"service": "s"}}, "consul.register.service"),
    ],
)
def test_consul_section_is_checked(section, where):
    with pytest.raises(ValueError) as caught:
        demo.config(roster=None, consul={"agents": ["127.0.0.1:1"], "service": "s", **section})
    assert f": {where}: " in str(caught.value)


def test_roster_or_consul_and_not_both():
    with pytest.raises(ValueError, match="state either roster"):
        demo.config(consul={"agents": ["127.0.0.1:1"], "service": "s"})
    with pytest.raises(ValueError, match="state either roster"):
        demo.config(roster=None)
