"""No root waits for who reads its log: lines that cannot be written now are dropped and counted,
and each line is whole or not there.
"""

import errno
import fcntl
import json
import os
import pty
import random
import signal
import socket
import subprocess
import sys
import termios
import time

import pytest
import trio

from mothnotch import demo, logs
from mothnotch.net import line_output
from mothnotch.net.line_output import LineOutput, LineStream
from mothnotch.node.log import Log
from mothnotch.root.trace import Trace
from mothnotch.standins.platform import request
from tests.support.platform_rig import on_real_sockets, wire_ids
from tests.support.root_process import REPOSITORY, root_process

F_SETPIPE_SZ = 1031
SMALL_PIPE = 4096


def full_pipe(size=SMALL_PIPE):
    """The two ends of a pipe of this size that has no room left."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, F_SETPIPE_SZ, size)
    other = os.open(f"/proc/self/fd/{writer}", os.O_WRONLY | os.O_NONBLOCK)
    try:
        while True:
            os.write(other, b"x" * 511 + b"\n")
    except BlockingIOError:
        pass
    finally:
        os.close(other)
    return reader, writer


def read_all(reader):
    """What a pipe holds now."""
    os.set_blocking(reader, False)
    found = b""
    try:
        while data := os.read(reader, 1 << 16):
            found += data
    except BlockingIOError:
        pass
    return found


def logged(data):
    """The JSON lines of what was read, each of which must be whole."""
    assert data.endswith(b"\n")
    return [json.loads(line) for line in data.splitlines() if not line.startswith(b"xxx")]


def counted(lines):
    """How many lines were shown, and how many of those dropped before them they tell."""
    return len(lines), sum(line.get("dropped_before", 0) for line in lines)


def test_lines_past_a_full_pipe_are_dropped_and_counted():
    """Guards against a root that stops for good once nobody reads its log."""
    reader, writer = os.pipe()
    log = Log(os.fdopen(writer, "w"), max_repeats=10_000)
    began_s = time.monotonic()
    for n in range(2_000):
        log.info("line", n=n, text="y" * 200)
    assert time.monotonic() - began_s < 2
    first = logged(read_all(reader))
    log.info("last")
    lines = first + logged(read_all(reader))
    shown, dropped = counted(lines)
    assert lines[-1]["event"] == "last"
    assert shown + dropped == 2_001
    assert dropped > 1_000


def test_the_flags_of_an_open_file_that_others_share_are_left_alone():
    """Guards against a program beside the root whose own writes fail as they would block."""
    reader, writer = full_pipe()
    before = fcntl.fcntl(writer, fcntl.F_GETFL)
    Log(os.fdopen(writer, "w", closefd=False)).info("line")
    assert fcntl.fcntl(writer, fcntl.F_GETFL) == before
    assert not before & os.O_NONBLOCK


def test_a_pipe_that_cannot_be_opened_anew_is_not_waited_for_either(monkeypatch):
    reader, writer = full_pipe()

    def refused(*_args):
        raise OSError(errno.EACCES, "refused")

    monkeypatch.setattr(line_output.os, "open", refused)
    log = Log(os.fdopen(writer, "w", closefd=False))
    log.info("one")
    assert log.output.dropped == 1
    read_all(reader)
    log.info("two")
    assert counted(logged(read_all(reader))) == (1, 1)


@pytest.mark.parametrize("seed", range(20))
def test_each_line_is_whole_or_not_there_over_short_writes_and_failing_ones(
    monkeypatch, tmp_path, seed
):
    """Guards against two lines in one, and against a line that counts as dropped and is there."""
    rng = random.Random(seed)
    original = os.write
    failing = [True]

    def write(descriptor, data):
        if failing[0] and rng.random() < 0.4:
            raise OSError(rng.choice((errno.ENOSPC, errno.EIO)), "planted")
        if failing[0] and rng.random() < 0.4:
            data = data[: rng.randint(1, len(data))]
        return original(descriptor, data)

    monkeypatch.setattr(line_output.os, "write", write)
    path = tmp_path / "log"
    with open(path, "w") as stream:
        log = Log(stream, max_repeats=10_000)
        for n in range(1_000):
            log.info("line", n=n)
        failing[0] = False
        log.info("last")
    lines = logged(path.read_bytes())
    shown, dropped = counted(lines)
    assert shown + dropped == 1_001
    assert 0 < dropped < 1_000
    numbers = [line["n"] for line in lines[:-1]]
    assert numbers == sorted(set(numbers))


def test_a_line_that_was_dropped_does_not_appear_later():
    """Guards against lines that a stream's buffer keeps while the disk is full."""
    with open("/dev/full", "w") as stream:
        log = Log(stream, max_repeats=10_000)
        for _ in range(1_000):
            log.info("line")
        assert log.output.dropped == 1_000
        stream.flush()  # raises if anything is left in it


def test_repeats_that_are_not_shown_are_told_though_a_line_is_dropped():
    reader, writer = full_pipe()
    now_s = [0.0]
    log = Log(os.fdopen(writer, "w"), max_repeats=2, window_s=10, clock=lambda: now_s[0])
    for _ in range(5):
        log.info("line")  # two dropped, three not shown
    now_s[0] = 11
    log.info("line")  # dropped, with what it told
    read_all(reader)
    now_s[0] = 22
    log.info("line")
    (line,) = logged(read_all(reader))
    assert (line["not_shown_before"], line["dropped_before"]) == (3, 3)


def test_a_line_longer_than_a_pipe_takes_as_a_whole_is_shortened():
    reader, writer = os.pipe()
    Log(os.fdopen(writer, "w")).error("unexpected error", error='"\\\n\u20ac' * 10_000)
    data = read_all(reader)
    (line,) = logged(data)
    assert len(data) <= line_output.PIPE_BUF
    assert line["event"] == "unexpected error"
    assert line["shortened"].startswith('{"error":')


def test_a_long_line_is_finished_before_the_next_begins():
    reader, writer = os.pipe()
    fcntl.fcntl(writer, F_SETPIPE_SZ, SMALL_PIPE)
    output = LineOutput(writer)
    assert output.write(b"a" * 10_000 + b"\n")
    assert not output.write(b"b\n")
    found = b""
    while not output.finish_line():
        found += read_all(reader)
    assert output.write(b"c\n")
    assert found + read_all(reader) == b"a" * 10_000 + b"\nc\n"


def test_a_stopped_terminal_is_not_waited_for():
    controller, terminal = pty.openpty()
    termios.tcflow(terminal, termios.TCOOFF)
    output = LineOutput(terminal)
    for _ in range(1_000):
        output.write(b"y" * 200 + b"\n")
    assert output.dropped
    termios.tcflow(terminal, termios.TCOON)
    os.close(controller)


def test_a_socket_nobody_reads_is_not_waited_for():
    near, far = socket.socketpair()
    output = LineOutput(near.fileno())
    for _ in range(10_000):
        output.write(b"y" * 200 + b"\n")
    assert output.dropped
    assert near.getblocking()
    found = read_all(far.fileno())
    while not output.finish_line():
        found += read_all(far.fileno())
    assert output.write(b"last\n")
    found += read_all(far.fileno())
    assert set(found.splitlines()) == {b"y" * 200, b"last"}


def test_nothing_is_written_to_a_descriptor_whose_stream_is_closed(tmp_path):
    """Guards against lines in another file, which has the number by then."""
    stream = (tmp_path / "log").open("w")
    log = Log(stream)
    stream.close()
    with open(tmp_path / "other", "w"):
        log.info("line")
    assert log.output.dropped == 1
    assert not (tmp_path / "other").read_text()


def test_without_a_descriptor_lines_go_nowhere():
    """Guards against a closed standard error, whose number a connection may have by then."""
    reader, writer = os.pipe()
    os.close(writer)
    for output in (LineOutput(None), LineOutput(writer)):
        assert not output.write(b"line\n")
    os.close(reader)


def test_what_is_printed_is_not_waited_for():
    reader, writer = full_pipe()
    stream = LineStream(LineOutput(writer))
    print("a traceback", "of two lines", sep="\n", file=stream)
    read_all(reader)
    print("seen", file=stream)
    assert read_all(reader) == b"seen\n"


@pytest.mark.parametrize("form", ["json", "console"])
def test_the_sql_roots_log_does_not_wait_either(form):
    reader, writer = full_pipe()
    log = logs.logger(form, output=LineOutput(writer))
    for _ in range(3):
        log.info("line")
    read_all(reader)
    log.warning("last")
    text = read_all(reader).decode()
    assert text.count("\n") == 1
    assert "last" in text
    assert "dropped_before" in text
    assert "3" in text


def test_a_trace_that_nobody_reads_ends(tmp_path):
    path = tmp_path / "trace"
    os.mkfifo(path)
    assert not Trace(path).enabled  # without a reader it isn't even opened
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    trace = Trace(path)
    for _ in range(10_000):
        trace.record("event")
    assert not trace.enabled
    os.close(reader)


@on_real_sockets
async def test_a_root_whose_log_nobody_reads_answers_and_stops_as_usual(tmp_path):
    """Guards against a log collector that hangs: it is full before the root starts."""
    reader, writer = full_pipe()
    async with root_process(tmp_path, stderr=writer) as root:
        for leaf in root.rig.leaves:
            root.rig.nursery.start_soon(answer_all, root.rig.nursery, leaf)
        began_s = trio.current_time()
        for n in range(200):
            client = root.client()
            client.send_bytes(request(f"r{n}", "read", (n % 3,), timeout_ms=4000))
            assert (await client.read_answer())[0] == 200
            client.disconnect()
        assert trio.current_time() - began_s < 20
        read_all(reader)
        root.config_path.write_text("{")
        root.send_signal(signal.SIGHUP)  # a line in the log
        with trio.fail_after(5):
            while not (data := read_all(reader)):
                await trio.sleep(0.02)
        assert logged(data)[0]["dropped_before"] >= 1
        refill(reader, writer_of=root)
        root.send_signal(signal.SIGTERM)
        assert await root.ended(within_s=10) == 0
    os.close(reader)


def refill(reader, writer_of):
    """Fill the pipe of a running root again, by its own descriptor."""
    other = os.open(f"/proc/{writer_of.process.pid}/fd/2", os.O_WRONLY | os.O_NONBLOCK)
    try:
        while True:
            os.write(other, b"xxx\n")
    except BlockingIOError:
        os.close(other)


async def answer_all(nursery, leaf):
    """Answer every part that comes to a leaf, at once."""

    async def answer(link):
        while (found := await link.read_frame()) is not None:
            for wire_id in wire_ids(found[1]) if found[0] == "m" else ():
                await link.answer_part(wire_id)

    while True:
        nursery.start_soon(answer, await leaf.accept_connection())


@pytest.mark.parametrize("closed", [False, True])
def test_a_wrong_configuration_is_told_without_waiting(tmp_path, closed):
    """With a full pipe as standard error, and with none at all."""
    reader, writer = full_pipe()
    words = [sys.executable, "-m", "mothnotch.node"]
    if closed:
        words = ["sh", "-c", 'exec "$0" "$@" 2>&-', *words]
    done = subprocess.run(
        words,
        cwd=REPOSITORY,
        env={**os.environ, "BALANCER_CONFIG": str(tmp_path / "nowhere")},
        stderr=writer,
        timeout=20,
    )
    assert done.returncode == 2
    os.close(reader)


def test_serve_starts_and_stops_though_nobody_reads_what_it_says(tmp_path):
    config = tmp_path / "root.json5"
    text = {**demo.CONFIG, "roster": str(tmp_path / "roster")}
    config.write_text(json.dumps(text))
    (tmp_path / "roster").write_text("")
    out_reader, out_writer = full_pipe()
    error_reader, error_writer = full_pipe()
    process = subprocess.Popen(
        [sys.executable, "-m", "mothnotch", "serve", "--config", str(config)],
        cwd=REPOSITORY,
        stdout=out_writer,
        stderr=error_writer,
    )
    try:
        time.sleep(2)
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=10)
    finally:
        process.kill()
    os.close(out_reader)
    os.close(error_reader)
