"""Compatibility tests: data of commit 4754c81 is still read, and still written byte for byte.

The files under tests/golden/ come from commit 4754c81. The inputs (the configurations, rosters and
scripts, `node.json`, `drill_in.txt`, and what is sent in the recorded sessions) were written by
hand or signed by the codec of that version; all other files are its output for them. They are never
regenerated to make a test pass: a file that has to change means that a wire format has changed.

Names inside the program may change, so only the adapters below use them, one for each format.
Values taken from the program are compared by position (`plain`), never by the names of fields.
"""

import dataclasses
import io
import json
import shutil
import sqlite3
import struct
import subprocess
import sys
from enum import Enum
from pathlib import Path
from random import Random

import msgspec
import pyjson5
import pytest
import trio
import trio.testing

GOLDEN = Path(__file__).parent / "golden"
# Virtual time without a byte after which the other side is taken to have sent everything for now.
QUIET_S = 0.05


# ---- adapters: the only place that uses internal names of the program ----


def codec(fleet, keys):
    from mothnotch.peers.codec import Codec

    return Codec(fleet, keys)


def claim(v):
    from mothnotch.decisions.fleet.swim_messages import Claim

    return Claim(v[0], tuple(v[1]), *v[2:])


def fact(v):
    from mothnotch.decisions.fleet.gossip_messages import Fact

    return Fact(v[0], tuple(v[1]), v[2], v[3], bytes.fromhex(v[4][4:]), *v[5:])


def envelope(v):
    from mothnotch.decisions.fleet.gossip_messages import DigestEntry, Envelope
    from mothnotch.decisions.fleet.swim_messages import Message

    kind, number, sender, to, target, address, stamp, echo, claims = v[0]
    message = Message(
        kind,
        number,
        claim(sender),
        to,
        target,
        address,
        stamp,
        None if echo is None else tuple(echo),
        tuple(map(claim, claims)),
    )
    marks = [tuple(DigestEntry(m[0], tuple(m[1]), *m[2:]) for m in found) for found in v[2:]]
    return Envelope(message, tuple(map(fact, v[1])), *marks)


def whole(v):
    from mothnotch.decisions.fleet.gossip_messages import FullState

    return FullState(claim(v[0]), v[1], v[2], tuple(map(claim, v[3])), tuple(map(fact, v[4])))


def view(v):
    from mothnotch.peers import wire as c

    seen = [c.PeerView(s[0], tuple(s[1]), *s[2:]) for s in v[6]]
    facts = [c.Fact(x[0], tuple(x[1]), x[2], x[3], bytes.fromhex(x[4][4:]), *x[5:]) for x in v[8]]
    return c.View(v[0], v[1], tuple(v[2]), *v[3:6], seen, v[7], facts)


# Message kind -> (constructor from the plain value, name of the encoder, name of the decoder).
PEER_FORMS = {
    "datagram": (envelope, "encode", "decode"),
    "whole": (whole, "encode_full_state", "decode_full_state"),
    "view": (view, "encode_view", "decode_view"),
}


def rejection_reason(read, data):
    """Return the reason for which a root rejects the bytes, as it counts it."""
    from mothnotch.peers.codec import InvalidMessageError

    with pytest.raises(InvalidMessageError) as found:
        read(data)
    return found.value.reason


def memory_network():
    from mothnotch.net.memory import MemoryNetwork

    return MemoryNetwork()


def peer_root(network, key):
    """Return the peer service of a root, not yet running; it listens at root:1 and has no seeds."""
    from mothnotch.peers.service import PeerService

    return PeerService(
        network, DiscardingLog(), "r1", (5, 6), "root:1", [], "stock", [key], Random(7)
    )


def request_peer_view(network, address, key, number):
    from mothnotch.peers import exchange

    return exchange.request_view(network, address, codec("stock", [key]), number)


def open_endpoint_cache(path):
    """Return the endpoint cache as a root with the full configuration opens it."""
    from mothnotch.daemon import Root

    text = (GOLDEN / "configuration.json5").read_text()
    conf = path.parent / "root.json5"
    conf.write_text(text.replace("last-list.db", path.name))

    async def open_store():
        return Root(load(conf), memory_network(), DiscardingLog()).watch.store

    return run(open_store)


def cached_leaf(v):
    from mothnotch.decisions.leaf_membership.catalogue_answers import CachedLeaf

    return CachedLeaf(*v)


def load(path):
    from mothnotch.config import load

    return load(path)


def load_roster(text, cells):
    from mothnotch.config import load_roster

    return load_roster(text, cells)


def load_scenario(text):
    from mothnotch.badday.script import load

    return load(text)


def config_error():
    from mothnotch.config import ConfigError

    return ConfigError


def derived_settings(config):
    """Return the settings that the packages derive from a configuration, by position."""
    found = [config.settings(), config.schema(), config.pool(), config.class_kinds()]
    if config.consul is not None:
        found.append(config.consul.membership(config.cells, config.reach))
    if config.peers is not None:
        found.append(config.peers.settings())
    return plain(found)


def node_config(raw):
    from mothnotch.node.config import parse

    return parse(raw)


def node_root(config, network):
    from mothnotch.node.root import NodeRoot

    return NodeRoot(config, network, DiscardingLog())


def frame_codec():
    from mothnotch.node import frames as f

    def call(parts):
        return f.encode_call([f.CallPart(*part) for part in parts])

    return {
        "call": call,
        "give_up": f.encode_cancel,
        "reader": f.FrameReader,
        "answer": f.decode_answer,
    }


def node_request(query, headers, body, arrived_us):
    """Return the (id, request) that a platform root with the settings of node.json parses."""
    from mothnotch.node.requests import parse

    config = node_config((GOLDEN / "node.json").read_bytes())
    return parse(query, headers, body, arrived_us, config.settings, config.shard_count)


def parse_adapter_events(lines):
    """Return the (time, events of each instance) that the simulator adapter parses from a batch."""
    from mothnotch.simulator_adapter import Adapter

    return Adapter().read(lines)


def format_adapter_lines(actions):
    """Return the lines of the simulator adapter for actions of root 3, given as name and values."""
    from mothnotch.decisions import interface as i
    from mothnotch.simulator_wire import action_line

    kinds = {
        "send": i.Send,
        "cancel": i.Cancel,
        "answer": i.Answer,
        "refuse": i.Reject,
        "give up": i.Fail,
        "wake": i.SetTimer,
        "probe": i.HealthCheck,
        "disconnect": i.Disconnect,
        "subscribe": i.Subscribe,
        "log": i.Log,
    }
    converted = [kinds[name](*values) for name, values in actions]
    return [action_line(3, action) for action in converted]


def run_adapter(text):
    """Return (exit status, output without the DEBUG lines) of the simulator adapter."""
    from mothnotch.simulator_adapter import main

    out = io.StringIO()
    status = main(io.StringIO(text), out)
    lines = out.getvalue().splitlines(keepends=True)
    return status, "".join(line for line in lines if not line.startswith("DEBUG "))


def command_line():
    from mothnotch.cli import app

    return app


# ---- helpers that use no names of the program ----


class DiscardingLog:
    """A log that discards everything."""

    def info(self, event, **fields):
        pass

    warning = error = debug = info


def plain(x):
    """Return a value as JSON types: structs and dataclasses become lists of their fields in order,
    members of enumerations their position."""
    if isinstance(x, Enum):
        return f"#{list(type(x)).index(x)}"
    if dataclasses.is_dataclass(x):
        return [plain(getattr(x, f.name)) for f in dataclasses.fields(x)]
    if isinstance(x, msgspec.Struct):
        return [plain(getattr(x, name)) for name in x.__struct_fields__]
    if hasattr(type(x), "__slots__") and type(x).__module__ != "builtins":
        return [plain(getattr(x, name)) for name in x.__slots__]
    if isinstance(x, dict):
        return {str(name): plain(value) for name, value in x.items()}
    if isinstance(x, set | frozenset):
        return sorted(map(plain, x))
    if isinstance(x, list | tuple):
        return [plain(value) for value in x]
    if isinstance(x, bytes):
        return f"hex:{x.hex()}"
    return x


def read_golden(name):
    return json.loads((GOLDEN / name).read_text())


def run(test, *args):
    """Run on a virtual clock, with deterministic scheduling of tasks."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(1)
    return trio.run(test, *args, clock=trio.testing.MockClock(autojump_threshold=0))


async def receive_until_quiet(stream):
    """Return the bytes received until the stream is quiet; a final line "<end>" marks its end."""
    data = b""
    while True:
        with trio.move_on_after(QUIET_S) as scope:
            more = await stream.receive_some(1 << 16)
        if scope.cancelled_caught:
            return data
        if not more:
            return data + b"\n<end>"
        data += more


def paths(value, at=()):
    """Yield the paths of all keys of nested objects."""
    pairs = value.items() if isinstance(value, dict) else enumerate(value)
    for key, inner in pairs:
        if isinstance(value, dict):
            yield (*at, key)
        if isinstance(inner, dict | list):
            yield from paths(inner, (*at, key))


def renamed(value, path):
    """Return a copy in which the key at the path has another name."""
    value = json.loads(json.dumps(value))
    inner = value
    for key in path[:-1]:
        inner = inner[key]
    inner[f"{path[-1]}_x"] = inner.pop(path[-1])
    return value


def dotted_path(path):
    return ".".join(map(str, path))


# ---- datagrams and streams between roots ----

PEERS = read_golden("peers.json")
KEYS = [key.encode() for key in PEERS["keys"]]


@pytest.mark.parametrize("name", PEERS["written"])
def test_peer_messages_are_decoded_and_encoded_as_before(name):
    case = PEERS["written"][name]
    make, write, read = PEER_FORMS[case["kind"]]
    ours, data = codec(PEERS["fleet"], KEYS), bytes.fromhex(case["hex"])
    assert plain(getattr(ours, read)(data)) == case["values"]
    assert getattr(ours, write)(make(case["values"])).hex() == case["hex"]


@pytest.mark.parametrize("name", PEERS["read"])
def test_peer_messages_of_other_releases_and_keys_are_decoded_as_before(name):
    case = PEERS["read"][name]
    found = getattr(codec(PEERS["fleet"], KEYS), PEER_FORMS[case["kind"]][2])(
        bytes.fromhex(case["hex"])
    )
    assert plain(found) == case["values"]


@pytest.mark.parametrize("name", PEERS["written"])
def test_messages_with_a_changed_byte_are_rejected_for_the_same_reasons(name):
    case = PEERS["written"][name]
    data = bytes.fromhex(case["hex"])
    read = getattr(codec(PEERS["fleet"], KEYS), PEER_FORMS[case["kind"]][2])
    reasons = ["stranger"] * 2 + ["version"] + ["fleet"] * 4 + ["tag"] * (len(data) - 7)
    for n, why in enumerate(reasons):
        assert rejection_reason(read, data[:n] + bytes([data[n] ^ 1]) + data[n + 1 :]) == why
    assert rejection_reason(read, data[:22]) == "short"
    assert rejection_reason(read, data + bytes(1 << 20)) == "long"


async def peer_session(steps):
    """Replay the recorded peers against a root, and return what it sends at each "get" step."""
    network, found, streams = memory_network(), [], {}
    async with trio.open_nursery() as nursery:
        box = await network.bind_datagrams("peer:1")
        (listener,) = await network.listen("peer:1")
        root = peer_root(network, KEYS[0])
        await nursery.start(root.run)
        root.publish("demand", b"\x01\x02", 60_000_000)
        with trio.fail_after(100):
            for who, what, data in steps:
                if who == "clock":
                    await trio.sleep_until(float(data))
                elif who == "datagram" and what == "send":
                    box.send("root:1", bytes.fromhex(data))
                elif who == "datagram":
                    found.append((await box.receive(1 << 16))[0].hex())
                elif what == "open":
                    streams[who] = await network.open("root:1")
                elif what == "accept":
                    streams[who] = await listener.accept()
                elif what == "send":
                    await streams[who].send_all(bytes.fromhex(data))
                else:
                    found.append((await receive_until_quiet(streams[who])).hex())
        nursery.cancel_scope.cancel()
    return found


def test_a_root_sends_the_same_datagrams_and_streams_in_a_recorded_session():
    steps = read_golden("peer_session.json")
    assert run(peer_session, steps) == [data for _, what, data in steps if what == "get"]


def test_a_view_request_and_its_response_have_the_same_bytes_on_a_stream():
    question, answer = (bytes.fromhex(PEERS["written"][n]["hex"]) for n in ("view asked", "view"))

    async def main():
        network = memory_network()
        (listener,) = await network.listen("root:1")
        async with trio.open_nursery() as nursery:

            async def serve():
                stream = await listener.accept()
                assert (
                    await receive_until_quiet(stream) == struct.pack("<I", len(question)) + question
                )
                await stream.send_all(struct.pack("<I", len(answer)) + answer)

            nursery.start_soon(serve)
            found = await request_peer_view(network, "root:1", KEYS[0], 77)
            assert plain(found) == PEERS["written"]["view"]["values"]

    run(main)


# ---- the endpoint cache on disk ----

LISTS = read_golden("last_list.json")


def rows(path):
    with sqlite3.connect(path) as db:
        made = db.execute("SELECT name, sql FROM sqlite_master ORDER BY name").fetchall()
        kept = db.execute("SELECT n, saved, of, at, body, sum FROM lists ORDER BY n").fetchall()
    db.close()
    return [list(row) for row in made], plain(kept)


def test_an_endpoint_cache_of_the_previous_version_is_read(tmp_path):
    path = tmp_path / "last-list.db"
    shutil.copy(GOLDEN / "last-list.db", path)
    leaves, index, saved, wrong = open_endpoint_cache(path).load()
    assert [plain(leaves), index, saved, wrong] == [*LISTS["saved"][-1], ""]


def test_the_endpoint_cache_is_written_with_the_same_tables_rows_and_checksums(tmp_path):
    path = tmp_path / "last-list.db"
    store = open_endpoint_cache(path)
    for leaves, index, saved in LISTS["saved"]:
        store.save([cached_leaf(v) for v in leaves], index, saved)
    assert list(rows(path)) == [LISTS["tables"], LISTS["rows"]]
    assert rows(path) == rows(GOLDEN / "last-list.db")


def test_an_endpoint_cache_with_a_damaged_newest_list_returns_the_previous_one(tmp_path):
    path = tmp_path / "last-list.db"
    shutil.copy(GOLDEN / "last-list.db", path)
    with sqlite3.connect(path) as db:
        db.execute("UPDATE lists SET at = at + 1 WHERE n = (SELECT max(n) FROM lists)")
    db.close()
    leaves, index, saved, wrong = open_endpoint_cache(path).load()
    assert [plain(leaves), index, saved] == LISTS["saved"][-2] and "checksum" in wrong


def test_an_unusable_endpoint_cache_is_moved_aside_under_the_same_name(tmp_path):
    path = tmp_path / "last-list.db"
    path.write_bytes(b"no list" * 1000)
    assert open_endpoint_cache(path).load()[0] is None
    assert (
        tmp_path / "last-list.db.broken"
    ).read_bytes() == b"no list" * 1000 and not path.exists()


# ---- frames to leaves, and all protocols of a platform root ----

FRAMES = read_golden("frames.json")


@pytest.mark.parametrize("name", FRAMES["written"])
def test_a_frame_to_a_leaf_is_encoded_as_before(name):
    what, args, data = FRAMES["written"][name]
    if what == "call":
        args = [(*part[:4], part[4].encode()) for part in args]
    assert frame_codec()[what](args).hex() == data


def test_frames_from_leaves_are_split_as_before_for_any_chunk_size():
    data = bytes.fromhex(FRAMES["stream"]["hex"])
    for step in (1, 7, len(data)):
        reader, found = frame_codec()["reader"](), []
        for at in range(0, len(data), step):
            more, error = reader.feed(data[at : at + step])
            assert error is None
            found += more
        assert plain(found) == FRAMES["stream"]["values"]


@pytest.mark.parametrize("name", FRAMES["answers"])
def test_an_answer_of_a_leaf_is_decoded_as_before(name):
    text, values = FRAMES["answers"][name]
    assert plain(frame_codec()["answer"](text.encode())) == values


async def node_session(steps):
    """Replay a recorded client, leaf and discovery against a root; return what each received."""
    network, found, streams = memory_network(), [], {}
    async with trio.open_nursery() as nursery:
        listeners = {who: (await network.listen(f"{who}:1"))[0] for who in ("leaf", "agent")}
        config = node_config((GOLDEN / "node_session.json").read_bytes())
        await nursery.start(node_root(config, network).run)
        with trio.fail_after(100):
            for who, what, text in steps:
                if what == "wait":
                    await trio.sleep(float(text))
                elif what == "open":
                    streams[who] = await network.open("root:80")
                elif what == "accept":
                    streams[who] = await listeners[who].accept()
                elif what == "close":
                    streams[who].close()
                elif what == "send":
                    await streams[who].send_all(text.encode("latin-1"))
                else:
                    found.append([who, (await receive_until_quiet(streams[who])).decode("latin-1")])
        nursery.cancel_scope.cancel()
    return found


def test_a_platform_root_sends_the_same_to_clients_leaves_and_discovery_in_a_recorded_session():
    steps = read_golden("node_steps.json")
    assert run(node_session, steps) == [[who, text] for who, what, text in steps if what == "get"]


REQUESTS = read_golden("requests.json")


@pytest.mark.parametrize("name", REQUESTS)
def test_a_request_of_a_client_is_parsed_as_before(name):
    query, headers, body, values = REQUESTS[name]
    headers = [(key.encode(), value.encode()) for key, value in headers]
    assert plain(node_request(query, headers, body.encode(), 1_000_000)) == values


# ---- configuration ----


def full_configuration():
    return pyjson5.decode((GOLDEN / "configuration.json5").read_text())


def load_configuration(value, folder):
    path = folder / "root.json5"
    path.write_text(json.dumps(value))
    return load(path)


def test_every_key_of_a_configuration_is_read_with_the_same_meaning(tmp_path):
    found, value = load_configuration(full_configuration(), tmp_path), full_configuration()
    value["consul"]["held"] = str(tmp_path / "last-list.db")
    value["roster"] = None
    value["ranges"]["bounds"] = None
    whole = msgspec.to_builtins(found)
    for name in ("lookup", "get", "put", "fire"):
        assert value["classes"][name].items() <= whole["classes"][name].items()
        whole["classes"][name] = value["classes"][name]
    assert whole == value
    assert derived_settings(found) == read_golden("configuration_taken.json")


@pytest.mark.parametrize("name", ["bounds.json5", "example.json"])
def test_a_configuration_has_the_same_defaults_under_the_same_keys(name, tmp_path):
    found = load(shutil.copy(GOLDEN / name, tmp_path))
    value = msgspec.to_builtins(found)
    assert value["roster"] == str(tmp_path / "roster.json5")
    value["roster"] = "roster.json5"
    assert [value, derived_settings(found)] == read_golden(f"{name.partition('.')[0]}_read.json")


def test_the_defaults_of_optional_sections_are_the_same(tmp_path):
    value = full_configuration()
    value["consul"] = {"agents": ["127.0.0.1:8500"], "service": "s", "register": {}}
    value["peers"] = {"name": "r", "listen": "127.0.0.1:1", "fleet": "f", "keys": ["k" * 16]}
    found = msgspec.to_builtins(load_configuration(value, tmp_path))
    assert {name: found[name] for name in ("consul", "peers")} == read_golden(
        "section_defaults.json"
    )


@pytest.mark.parametrize(
    "path", [p for p in paths(full_configuration()) if p[0] != "tables"], ids=dotted_path
)
def test_a_misspelt_key_is_an_error_or_a_user_defined_name(path, tmp_path):
    before = msgspec.to_builtins(load_configuration(full_configuration(), tmp_path))
    try:
        after = load_configuration(renamed(full_configuration(), path), tmp_path)
    except config_error():
        return
    assert path[-2] in (
        "classes",
        "meta",
        "users",
        "tenants",
    ), "only user-defined names may change"
    assert msgspec.to_builtins(after) != before


def test_a_roster_file_is_read_as_before():
    found = load_roster((GOLDEN / "roster.json5").read_text(), 2)
    assert plain(found) == read_golden("roster_read.json")
    for path in paths(pyjson5.decode((GOLDEN / "roster.json5").read_text())):
        text = renamed(pyjson5.decode((GOLDEN / "roster.json5").read_text()), path)
        with pytest.raises(config_error()):
            load_roster(json.dumps(text), 2)


def test_the_script_of_a_day_is_read_as_before():
    text = (GOLDEN / "badday.json5").read_text()
    assert msgspec.to_builtins(load_scenario(text)) == pyjson5.decode(text)
    assert msgspec.to_builtins(load_scenario("{}")) == read_golden("badday_defaults.json")


def node_values(value):
    return plain(node_config(json.dumps(value).encode()))


def test_a_platform_configuration_is_read_as_before():
    assert node_values(read_golden("node.json")) == read_golden("node_read.json")


def test_a_platform_configuration_has_the_same_defaults():
    assert node_values(read_golden("node_short.json")) == read_golden("node_short_read.json")


@pytest.mark.parametrize("path", paths(read_golden("node.json")), ids=dotted_path)
def test_every_key_of_a_platform_configuration_takes_effect(path):
    """Unknown keys are ignored in this format, so a renamed key would be lost without an error."""
    try:
        found = node_values(renamed(read_golden("node.json"), path))
    except ValueError:
        return
    assert found != read_golden("node_read.json")


# ---- the simulator protocol ----

DRILL_ACTIONS = read_golden("drill_actions.json")


def test_the_simulator_adapter_replies_to_recorded_lines_as_before():
    text = (GOLDEN / "drill_in.txt").read_text()
    assert run_adapter(text) == (0, (GOLDEN / "drill_out.txt").read_text())


def test_every_field_of_the_simulators_lines_is_parsed_as_before():
    lines, values = read_golden("drill_events.json")
    assert plain(parse_adapter_events(lines)) == values


def test_every_action_is_written_to_the_simulator_as_before():
    assert format_adapter_lines([case[:2] for case in DRILL_ACTIONS]) == [
        case[2] for case in DRILL_ACTIONS
    ]


def test_the_recorded_lines_contain_each_kind_of_message():
    sent = {line.split()[0] for line in (GOLDEN / "drill_in.txt").read_text().splitlines()}
    got = {line.split()[0] for line in (GOLDEN / "drill_out.txt").read_text().splitlines()}
    assert sent == set(
        "MARK OPEN_INSTANCE DIRECTORY ITEM MEMBERSHIP ORDER RESOLVED STATUS_BACK CLIENT_LEFT TIMER "
        "WHISPER UNDER_WAY DOWN OVER_TO_YOU".split()
    )
    assert got >= set("FORWARD MERGE REFUSE GIVE_UP ABANDON NOTIFY_ME SUBSCRIBE DONE".split())


# ---- the command line ----


def program(*words, **more):
    return subprocess.run(
        [sys.executable, "-m", *words],
        capture_output=True,
        cwd=GOLDEN.parent.parent,
        timeout=60,
        **more,
    )


def test_the_example_is_printed_as_before():
    done = program("mothnotch", "example")
    assert (done.returncode, done.stdout) == (0, (GOLDEN / "example.json").read_bytes())


def test_modules_that_are_started_by_name_exist():
    done = program("mothnotch.drill", input=b"MARK nowUs=1\nOVER_TO_YOU\n")
    assert (done.returncode, done.stdout) == (0, b"DONE\n")
    done = program("mothnotch.node", env={})
    text = b"mothnotch: BALANCER_CONFIG is not set; it names the configuration file\n"
    assert (done.returncode, done.stderr) == (2, text)
    done = program("mothnotch.node", env={"BALANCER_CONFIG": "/nowhere"})
    assert done.returncode == 2 and b"/nowhere: cannot be read" in done.stderr


COMMANDS = read_golden("commands.json")


@pytest.mark.parametrize("words", COMMANDS, ids=lambda words: words[:60])
def test_a_command_line_is_parsed_as_before(words):
    command, bound, _ = command_line().parse_args(
        words.split(), exit_on_error=False, print_error=False
    )
    found = [str(v) if isinstance(v, Path) else v for v in bound.arguments.values()]
    assert found == COMMANDS[words]


def test_no_command_is_missing_from_the_list():
    names = "check serve leaves demo badday fleetday bench members peers study example".split()
    assert {words.split()[0] for words in COMMANDS} == set(names)
    shown = program("mothnotch", "--help").stdout.decode().split()
    assert set(names) <= set(shown)
