"""Tests of the parts around the watch of Consul.

They cover parsing of answers, the limits of the HTTP client, the list cached on disk, parts
withdrawn before they are sent, py-consul against the stand-in, and the configuration.
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
    apply_filter,
    parse_duration,
)
from mothnotch.store.endpoint_cache import EndpointCache
from tests.support.virtual_clock import run_in_world

HEADERS = {"x-consul-index": "7", "x-consul-knownleader": "true", "x-consul-lastcontact": "3"}


def make_health_entry(**service):
    return {
        "Node": {"Node": "n1", "Address": "10.0.0.1"},
        "Service": {"ID": "a", "Port": 5, **service},
        "Checks": [],
    }


def parse(entries, headers=HEADERS, status=200):
    body = entries if isinstance(entries, bytes) else json.dumps(entries).encode()
    return api.parse_answer(status, headers, body, 0, 0)


def test_answers_of_the_api_are_parsed():
    answer = parse(
        [
            make_health_entry(),
            make_health_entry(
                ID="b",
                Address="fd00::1",
                Tags=["x"],
                Meta={"k": "v"},
                Weights={"Passing": 3, "Warning": 0},
                CreateIndex=9,
            ),
        ]
    )
    first, second = answer.instances
    assert (first.name, first.address, first.tags, first.meta, first.weights) == (
        "n1/a",
        "10.0.0.1:5",
        (),
        {},
        (1, 1),
    )
    assert (second.address, second.tags, second.meta, second.weights, second.create_index) == (
        "[fd00::1]:5",
        ("x",),
        {"k": "v"},
        (3, 0),
        9,
    )
    assert (answer.index, answer.last_contact_ms, answer.is_stale, answer.filtered) == (
        7,
        3.0,
        False,
        False,
    )
    assert parse([], {**HEADERS, "x-consul-knownleader": "false"}).is_stale
    assert parse([], {**HEADERS, "x-consul-results-filtered-by-acls": "true"}).filtered
    catalog_instance = api.parse_catalog_entry(
        b'{"Node": "n1", "Address": "10.0.0.1", "ServiceID": "a", "ServicePort": 5}'
    )
    assert (catalog_instance.name, catalog_instance.address) == ("n1/a", "10.0.0.1:5")


def test_invalid_entry_is_reported_and_does_not_affect_the_others():
    answer = parse(
        [make_health_entry(), {"Node": 1}, make_health_entry(ID="b", Meta={"k": 5}), None]
    )
    assert [instance.name for instance in answer.instances] == ["n1/a"] and len(
        answer.parse_errors
    ) == 3
    assert answer.parse_errors[0].startswith("entry 1:")


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
def test_invalid_answer_raises_an_error_with_a_reason(body, headers, status):
    with pytest.raises(api.BadAnswerError) as caught:
        parse(body, headers, status)
    assert str(caught.value) and caught.value.retry_after_s == 0


def test_request_targets_are_encoded():
    assert api.request_target("/p") == "/p" and api.request_target("/p", mode="stale") == "/p?stale"
    assert api.request_target("/p", 7, 2.5, "stale", dc="d", ns=None, filter='a == "b"') == (
        "/p?stale&index=7&wait=2500ms&dc=d&filter=a+%3D%3D+%22b%22"
    )
    assert api.health_path("a/b c") == "/v1/health/service/a%2Fb%20c"


def request_from(response, close_after=True):
    """Return what the client gets from a server that sends `response` to the first request."""

    async def main():
        network = MemoryNetwork()
        (listener,) = await network.listen("a:1")

        async def server():
            stream = await listener.accept()
            await stream.receive_some()
            await stream.send_all(response)
            if close_after:
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


def test_client_reads_chunked_responses_and_responses_without_length():
    assert request_from(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-A: b\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        False,
    ) == (200, {"transfer-encoding": "chunked", "x-a": "b"}, b"abc")
    assert request_from(b"HTTP/1.1 200 OK\r\n\r\nabc")[2] == b"abc"


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
def test_client_rejects_invalid_and_oversized_responses(data):
    with pytest.raises((AgentError, ExceptionGroup)) as caught:
        request_from(data)
    assert isinstance(caught.value, AgentError) or caught.group_contains(AgentError)


@pytest.mark.parametrize("seed", range(40))
def test_client_survives_corrupted_responses(seed):
    rng = random.Random(seed)
    valid_response = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nX-Consul-Index: 4\r\n\r\nabc"
    data = bytearray(valid_response)
    for _ in range(rng.randint(1, 6)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    with contextlib.suppress(AgentError, ExceptionGroup, trio.TooSlowError):
        status, _, body = request_from(bytes(data[: rng.randint(1, len(data))]))
        assert 100 <= status <= 999 and len(body) <= 1000


# ---- the list cached on disk ----

CACHED_LEAVES = [
    CachedLeaf(
        f"n{number}/a", f"10.0.0.{number}:5432", "z", number, "up", 1.0, None if number else 1.8e9
    )
    for number in range(8)
]


def test_newest_saved_list_is_loaded_intact(tmp_path):
    store = EndpointCache(tmp_path / "l.db", "stock")
    assert store.load() == (None, 0, 0.0, "")
    for number in range(5):
        # The wall clock is set back between the saves.
        store.save(CACHED_LEAVES[: number + 1], 10 + number, 100.0 - number)
    leaves, index, saved_s, problem = store.load()
    assert (leaves, index, saved_s, problem) == (CACHED_LEAVES[:5], 14, 96.0, "")
    assert EndpointCache(tmp_path / "l.db", "other").load()[0] is None


def test_previous_list_is_loaded_if_the_newest_is_damaged(tmp_path):
    store = EndpointCache(tmp_path / "l.db", "stock")
    store.save(CACHED_LEAVES[:4], 1, 1.0)
    store.save(CACHED_LEAVES, 2, 2.0)
    with contextlib.closing(sqlite3.connect(store.path)) as database, database:
        database.execute("UPDATE lists SET body = ? WHERE at = 2", (b'[{"name": "evil"}]',))
    leaves, index, _, problem = store.load()
    assert (leaves, index) == (CACHED_LEAVES[:4], 1) and "checksum" in problem


def test_damaged_file_yields_an_intact_list_or_none_and_can_be_saved_to_again(tmp_path):
    rng = random.Random(1)
    saved_lists = {}
    store = EndpointCache(tmp_path / "l.db", "stock")
    for count in (4, 8):
        store.save(CACHED_LEAVES[:count], count, float(count))
        saved_lists[count] = CACHED_LEAVES[:count]
    intact_bytes, renamed_count = (tmp_path / "l.db").read_bytes(), 0
    for _ in range(300):
        data = bytearray(
            intact_bytes[: rng.randrange(len(intact_bytes))] if rng.random() < 0.4 else intact_bytes
        )
        for _ in range(rng.choice([0, 1, 8, 64])):
            if data:
                data[rng.randrange(len(data))] ^= 1 << rng.randrange(8)
        (tmp_path / "l.db").write_bytes(data)
        leaves, index, _, _ = store.load()
        assert leaves is None or leaves == saved_lists[index]
        renamed_count += os.path.exists(store.path + ".broken")
        with contextlib.suppress(FileNotFoundError):
            os.remove(store.path + ".broken")
        with contextlib.suppress(OSError):  # the first save may still hit the damage
            store.save(CACHED_LEAVES, 9, 9.0)
        store.save(CACHED_LEAVES, 9, 9.0)
        assert store.load()[1] == 9
    assert renamed_count > 20


def test_list_that_cannot_be_saved_raises_os_error(tmp_path):
    with pytest.raises(OSError):
        EndpointCache(tmp_path / "missing" / "l.db", "stock").save(CACHED_LEAVES, 1, 1.0)


# ---- parts that have not been sent ----


def test_unsent_part_is_withdrawn_when_its_leaf_departs():
    async def test(world):
        client = await world.client()
        assert (await client.query("SELECT count(*) FROM stock")).error is None
        pool = world.root.leaves
        blocked = [
            connection.stream
            for leaf in pool.leaves.values()
            for connection in leaf.idle_connections
            if leaf.name == "leaf-2"
        ]
        assert blocked
        for stream in blocked:  # the peer's window is full: nothing is sent
            stream.limit, stream.kept = 0, stream.limit
        count_before = len(world.arrivals("stock"))
        async with trio.open_nursery() as nursery:
            replies = []

            async def send_query():
                replies.append(await client.query("SELECT count(*) FROM stock"))

            nursery.start_soon(send_query)
            await trio.sleep(0.005)
            world.fleet.states["leaf-2"] = "draining"
            world.publish_roster()
            assert world.root.watch.poll()
            for stream in blocked:
                stream.limit = stream.kept
                stream.peer._notify()
        assert replies[0].error is None
        assert not [
            arrival
            for arrival in world.arrivals("stock")[count_before:]
            if arrival.leaf == "leaf-2"
        ]

    run_in_world(test)


# ---- a third-party client ----


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

    thread = threading.Thread(target=trio.run, args=(main,), daemon=True)
    thread.start()
    assert ready.wait(10)
    try:
        yield state["address"].split(":")
    finally:
        state["token"].run_sync_soon(state["scope"].cancel)
        thread.join(10)


def test_py_consul_works_with_the_stand_in():
    with agent_in_a_thread() as (host, port):
        client = consul.Consul(host=host, port=int(port))
        assert client.status.leader()
        assert client.agent.service.register(
            "web",
            service_id="web-1",
            address="127.0.0.1",
            port=80,
            tags=["a"],
            meta={"cell": "1"},
            check=consul.Check.ttl("1s"),
        )
        assert client.agent.services()["web-1"]["Port"] == 80
        index, (entry,) = client.health.service("web")
        assert {check["Status"] for check in entry["Checks"]} == {"critical"} and entry["Service"][
            "Tags"
        ] == ["a"]
        assert client.health.service("web", passing=True)[1] == []
        assert client.agent.check.ttl_pass("service:web-1")
        index, (entry,) = client.health.service("web", passing=True)
        # A blocking query without a change ends with its wait and the same index; with a change, it
        # ends at once.
        assert client.health.service("web", index=index, wait="100ms")[0] == index
        timer = threading.Timer(
            0.2, lambda: client.agent.service.maintenance("web-1", True, reason="moving")
        )
        timer.start()
        later, (entry,) = client.health.service("web", index=index, wait="10s")
        assert later > index and any(
            check["CheckID"] == "_service_maintenance:web-1" for check in entry["Checks"]
        )
        timer.join()
        client.agent.service.maintenance("web-1", False)
        while client.health.service("web", passing=True)[1]:  # without heartbeats the check expires
            index, _ = client.health.service(
                "web", index=client.health.service("web")[0], wait="3s"
            )
        assert client.catalog.register(
            "db-1", "127.0.0.9", service={"Service": "db", "ID": "db", "Port": 5432}
        )
        assert set(client.catalog.services()[1]) == {"web", "db"}
        assert client.catalog.service("db")[1][0]["ServicePort"] == 5432
        assert {node["Node"] for node in client.catalog.nodes()[1]} == {"agent-0", "db-1"}
        assert client.health.node("agent-0")[1][0]["CheckID"] == "service:web-1"
        assert client.health.state("critical")[1] and client.health.checks("web")[1]
        assert client.catalog.deregister("db-1") and client.agent.service.deregister("web-1")
        assert client.catalog.services()[1] == {}
        # py-consul returns False for status 404.
        assert not client.agent.check.ttl_pass("service:web-1")


def test_stand_in_parses_filters_and_durations():
    entries = [
        make_health_entry(Tags=["a"], Meta={"env": "prod"}),
        make_health_entry(ID="b", Tags=[], Meta={}),
    ]
    assert len(apply_filter(entries, 'Service.Meta.env == "prod" and "a" in Service.Tags')) == 1
    assert apply_filter(entries, '"a" not in Service.Tags')[0]["Service"]["ID"] == "b"
    with pytest.raises(InvalidRequestError):
        apply_filter(entries, "Service.ID matches a or b")
    assert [parse_duration(text) for text in ("5s", "100ms", "1m30s", "7")] == [5, 0.1, 90, 7]
    with pytest.raises(InvalidRequestError):
        parse_duration("soon")


# ---- configuration ----


@pytest.mark.parametrize(
    "section, path",
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
def test_invalid_consul_section_is_rejected(section, path):
    with pytest.raises(ValueError) as caught:
        demo.config(roster=None, consul={"agents": ["127.0.0.1:1"], "service": "s", **section})
    assert f": {path}: " in str(caught.value)


def test_exactly_one_of_roster_and_consul_is_required():
    with pytest.raises(ValueError, match="set either roster"):
        demo.config(consul={"agents": ["127.0.0.1:1"], "service": "s"})
    with pytest.raises(ValueError, match="set either roster"):
        demo.config(roster=None)
