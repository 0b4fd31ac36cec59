"""Work for one peer's bytes, other than clients' requests, lets the event loop serve the others."""

import json
import random
import re
import struct

import pytest
import trio
import trio.testing

from mothnotch.fronts import pg
from mothnotch.net import TimeSlice
from mothnotch.node import discovery, frames, listing
from mothnotch.pgwire import client as wire
from tests.support.pass_counter import PassCounter
from tests.support.platform_rig import on_real_sockets, rig, wait_until
from tests.support.virtual_clock import run_in_world

MESSAGES = 600
# The regular expression by which brackets were counted before, strings being skipped.
STRING_OR_BRACKET = re.compile(rb'"(?:[^"\\]|\\.)*"?|[{}\[\]]')
BRACKETS = {b"{": 1, b"[": 1, b"}": -1, b"]": -1}


def test_a_time_slice_lets_others_run_once_its_time_is_used_up():
    async def main():
        time_slice, counter = TimeSlice(0.01), PassCounter()
        trio.lowlevel.add_instrument(counter)
        await time_slice.yield_if_over()
        assert counter.passes == 0
        clock.jump(0.01)
        await time_slice.yield_if_over()
        assert counter.passes == 1
        clock.jump(0.01)
        time_slice.restart()
        await time_slice.yield_if_over()
        assert counter.passes == 1

    clock = trio.testing.MockClock()
    trio.run(main, clock=clock)


def test_brackets_of_a_list_are_counted_outside_of_strings():
    """Guards against a list that is cut or never ends, as strings are skipped in another way."""
    rng = random.Random(1)
    for _ in range(3000):
        line = bytes(rng.choice(b'{}[]"\\ax') for _ in range(rng.randrange(30)))
        expected = sum(BRACKETS.get(token, 0) for token in STRING_OR_BRACKET.findall(line))
        assert listing._opened_brackets(line) == expected, line


def test_a_list_in_small_pieces_is_searched_once():
    """Guards against work that grows with the square of a list's length (discovery's input)."""

    class CountingBuffer(bytearray):
        searched_bytes = 0

        def find(self, text, start=0):
            self.searched_bytes += len(self) - start
            return super().find(text, start)

    text = json.dumps({"rev": 1, "all": True, "targets": []}).encode() + b" " * 20_000 + b"\n"
    reader = listing.ListingReader(1 << 20)
    reader.buffered = CountingBuffer()
    found = [message for at in range(len(text)) for message in reader.feed(text[at : at + 1])]
    assert len(found) == 1
    assert reader.buffered.searched_bytes <= 2 * len(text)


@on_real_sockets
async def test_a_list_in_small_chunks_lets_others_run():
    """Guards against a watch whose list, in chunks of one byte, is read in one go."""
    limit_s, discovery.INPUT_PASS_S = getattr(discovery, "INPUT_PASS_S", None), 0.0
    try:
        async with rig() as r:
            text = json.dumps({"rev": 41, "all": False, "targets": []}).encode() + b"\n"
            data = b"".join(b"1\r\n%b\r\n" % text[at : at + 1] for at in range(len(text)))
            counter = PassCounter()
            trio.lowlevel.add_instrument(counter)
            await r.first_watch.stream.send_all(data)
            await wait_until(lambda: r.root.watch.endpoints.version == 41)
            assert counter.passes >= len(text)
    finally:
        discovery.INPUT_PASS_S = limit_s


@pytest.mark.parametrize("expected", [0, 1, 3])
def test_frames_beyond_those_that_a_leaf_may_send_are_not_read(expected):
    """Guards against a leaf that sends thousands of short frames, all read in one go."""
    frame = struct.pack("<I", 1) + b"o"
    received, error = frames.FrameReader().feed(frame * 6553, max_frames=expected)
    assert isinstance(error, frames.FrameError)
    assert len(received) == max(1, expected)


def run_in_sql_root(monkeypatch, data, last):
    """Send `data` to a SQL root; return the passes until it has answered the Sync behind it."""
    monkeypatch.setattr(pg, "INPUT_PASS_S", 0.0, raising=False)
    counter = PassCounter()

    async def test(world):
        client = await world.client()
        trio.lowlevel.add_instrument(counter)
        await client.send(data + last)
        await client.read_reply()
        trio.lowlevel.remove_instrument(counter)

    run_in_world(test)
    return counter.passes


def test_many_messages_without_a_sync_let_others_run(monkeypatch):
    """Guards against a SQL client whose pipeline without a Sync holds up the others."""
    assert run_in_sql_root(monkeypatch, wire.FLUSH * MESSAGES, wire.SYNC) >= MESSAGES


def test_messages_that_are_skipped_after_an_error_let_others_run(monkeypatch):
    """Guards against a SQL client whose messages behind an error are all skipped in one go."""
    messages = 20 * 256
    data = wire.execute("nope") + wire.FLUSH * messages
    assert run_in_sql_root(monkeypatch, data, wire.SYNC) >= messages // 256


def test_many_statements_of_one_query_let_others_run(monkeypatch):
    """Guards against a SQL client whose query of many short statements holds up the others."""
    data = wire.message(b"Q", b"SELECT 1;" * MESSAGES + b"\0")
    assert run_in_sql_root(monkeypatch, data, b"") >= MESSAGES


def test_a_long_query_text_is_split_in_a_thread():
    """Guards against a SQL client whose query of many statements is tokenized in the event loop."""

    async def test(world):
        in_thread = []

        async def run_in_thread(function, *args):
            in_thread.append(function.__name__)
            return function(*args)

        world.network.run_in_thread = run_in_thread
        client = await world.client()
        assert (await client.query("SELECT 1;" * 10)).error is None
        assert "split" not in in_thread
        assert (await client.query("SELECT 1;" * 100)).error is None
        assert "split" in in_thread

    run_in_world(test)
