"""A root never waits for the reader of its log: lines that cannot be written at once are dropped
and counted, and each line is written completely or not at all.
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
    """Return both ends of a pipe of this size that is full."""
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
    """Read everything that a pipe currently holds."""
    os.set_blocking(reader, False)
    found = b""
    try:
        while data := os.read(reader, 1 << 16):
            found += data
    except BlockingIOError:
        pass
    return found


def parse_lines(data):
    """Return the JSON lines in `data`, each of which must be complete, without filler lines."""
    assert data.endswith(b"\n")
    return [json.loads(line) for line in data.splitlines() if not line.startswith(b"xxx")]


def count_lines(lines):
    """Return the number of lines, and the number of dropped lines that they report."""
    return len(lines), sum(line.get("dropped_before", 0) for line in lines)


def test_lines_to_a_full_pipe_are_dropped_and_counted():
    """Guards against a root that hangs once nobody reads its log."""
    reader, writer = os.pipe()
    log = Log(os.fdopen(writer, "w"), max_repeats=10_000)
    began_s = time.monotonic()
    for n in range(2_000):
        log.info("line", n=n, text="y" * 200)
    assert time.monotonic() - began_s < 2
    first = parse_lines(read_all(reader))
    log.info("last")
    lines = first + parse_lines(read_all(reader))
    shown, dropped = count_lines(lines)
    assert lines[-1]["event"] == "last"
    assert shown + dropped == 2_001
    assert dropped > 1_000


def test_flags_of_a_shared_open_file_are_not_changed():
    """Guards against EAGAIN in another process that writes to the same open file."""
    reader, writer = full_pipe()
    before = fcntl.fcntl(writer, fcntl.F_GETFL)
    Log(os.fdopen(writer, "w", closefd=False)).info("line")
    assert fcntl.fcntl(writer, fcntl.F_GETFL) == before
    assert not before & os.O_NONBLOCK


def test_full_pipe_that_cannot_be_reopened_does_not_block(monkeypatch):
    reader, writer = full_pipe()

    def refuse(*_args):
        raise OSError(errno.EACCES, "refused")

    monkeypatch.setattr(line_output.os, "open", refuse)
    log = Log(os.fdopen(writer, "w", closefd=False))
    log.info("one")
    assert log.output.dropped == 1
    read_all(reader)
    log.info("two")
    assert count_lines(parse_lines(read_all(reader))) == (1, 1)


@pytest.mark.parametrize("seed", range(20))
def test_each_line_is_complete_or_missing_after_short_and_failing_writes(
    monkeypatch, tmp_path, seed
):
    """Guards against merged lines, and against written lines that are counted as dropped."""
    rng = random.Random(seed)
    original = os.write
    is_failing = [True]

    def write(descriptor, data):
        if is_failing[0] and rng.random() < 0.4:
            raise OSError(rng.choice((errno.ENOSPC, errno.EIO)), "injected")
        if is_failing[0] and rng.random() < 0.4:
            data = data[: rng.randint(1, len(data))]
        return original(descriptor, data)

    monkeypatch.setattr(line_output.os, "write", write)
    path = tmp_path / "log"
    with open(path, "w") as stream:
        log = Log(stream, max_repeats=10_000)
        for n in range(1_000):
            log.info("line", n=n)
        is_failing[0] = False
        log.info("last")
    lines = parse_lines(path.read_bytes())
    shown, dropped = count_lines(lines)
    assert shown + dropped == 1_001
    assert 0 < dropped < 1_000
    numbers = [line["n"] for line in lines[:-1]]
    assert numbers == sorted(set(numbers))


def test_dropped_line_does_not_appear_later():
    """Guards against lines that stay in a stream's buffer while the disk is full."""
    with open("/dev/full", "w") as stream:
        log = Log(stream, max_repeats=10_000)
        for _ in range(1_000):
            log.info("line")
        assert log.output.dropped == 1_000
        stream.flush()  # raises if anything is left in it


def test_suppressed_repeats_are_reported_even_if_a_line_is_dropped():
    reader, writer = full_pipe()
    now_s = [0.0]
    log = Log(os.fdopen(writer, "w"), max_repeats=2, window_s=10, clock=lambda: now_s[0])
    for _ in range(5):
        log.info("line")  # two are dropped, three suppressed
    now_s[0] = 11
    log.info("line")  # dropped together with its report
    read_all(reader)
    now_s[0] = 22
    log.info("line")
    (line,) = parse_lines(read_all(reader))
    assert (line["not_shown_before"], line["dropped_before"]) == (3, 3)


def test_line_longer_than_an_atomic_pipe_write_is_shortened():
    reader, writer = os.pipe()
    Log(os.fdopen(writer, "w")).error("unexpected error", error='"\\\n\u20ac' * 10_000)
    data = read_all(reader)
    (line,) = parse_lines(data)
    assert len(data) <= line_output.PIPE_BUF
    assert line["event"] == "unexpected error"
    assert line["shortened"].startswith('{"error":')


def test_long_line_is_finished_before_the_next_one():
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


def test_stopped_terminal_does_not_block():
    controller, terminal = pty.openpty()
    termios.tcflow(terminal, termios.TCOOFF)
    output = LineOutput(terminal)
    for _ in range(1_000):
        output.write(b"y" * 200 + b"\n")
    assert output.dropped
    termios.tcflow(terminal, termios.TCOON)
    os.close(controller)


def test_socket_that_nobody_reads_does_not_block():
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


def test_nothing_is_written_after_the_stream_is_closed(tmp_path):
    """Guards against lines in another file that has reused the descriptor."""
    stream = (tmp_path / "log").open("w")
    log = Log(stream)
    stream.close()
    with open(tmp_path / "other", "w"):
        log.info("line")
    assert log.output.dropped == 1
    assert not (tmp_path / "other").read_text()


def test_lines_are_discarded_without_an_open_descriptor():
    """Guards against writing to a connection that has reused the descriptor of standard error."""
    reader, writer = os.pipe()
    os.close(writer)
    for output in (LineOutput(None), LineOutput(writer)):
        assert not output.write(b"line\n")
    os.close(reader)


def test_print_to_a_full_pipe_does_not_block():
    reader, writer = full_pipe()
    stream = LineStream(LineOutput(writer))
    print("a traceback", "of two lines", sep="\n", file=stream)
    read_all(reader)
    print("seen", file=stream)
    assert read_all(reader) == b"seen\n"


@pytest.mark.parametrize("form", ["json", "console"])
def test_log_of_the_sql_root_does_not_block(form):
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


def test_trace_that_nobody_reads_is_disabled(tmp_path):
    path = tmp_path / "trace"
    os.mkfifo(path)
    assert not Trace(path).enabled  # without a reader it is not even opened
    reader = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    trace = Trace(path)
    for _ in range(10_000):
        trace.record("event")
    assert not trace.enabled
    os.close(reader)


@on_real_sockets
async def test_root_whose_log_nobody_reads_serves_and_stops_as_usual(tmp_path):
    """Guards against a log collector that hangs: the pipe is full before the root starts."""
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
        root.send_signal(signal.SIGHUP)  # causes a log line
        with trio.fail_after(5):
            while not (data := read_all(reader)):
                await trio.sleep(0.02)
        assert parse_lines(data)[0]["dropped_before"] >= 1
        refill(reader, writer_of=root)
        root.send_signal(signal.SIGTERM)
        assert await root.wait_for_exit(timeout_s=10) == 0
    os.close(reader)


def refill(reader, writer_of):
    """Fill the log pipe of a running root again, through that process's descriptor."""
    other = os.open(f"/proc/{writer_of.process.pid}/fd/2", os.O_WRONLY | os.O_NONBLOCK)
    try:
        while True:
            os.write(other, b"xxx\n")
    except BlockingIOError:
        os.close(other)


async def answer_all(nursery, leaf):
    """Answer every part that a leaf receives, at once."""

    async def answer(connection):
        while (found := await connection.read_frame()) is not None:
            for wire_id in wire_ids(found[1]) if found[0] == "m" else ():
                await connection.answer_part(wire_id)

    while True:
        nursery.start_soon(answer, await leaf.accept_connection())


@pytest.mark.parametrize("closed", [False, True])
def test_invalid_configuration_is_reported_without_blocking(tmp_path, closed):
    """Holds with a full pipe as standard error, and with standard error closed."""
    reader, writer = full_pipe()
    command = [sys.executable, "-m", "mothnotch.node"]
    if closed:
        command = ["sh", "-c", 'exec "$0" "$@" 2>&-', *command]
    result = subprocess.run(
        command,
        cwd=REPOSITORY,
        env={**os.environ, "BALANCER_CONFIG": str(tmp_path / "nowhere")},
        stderr=writer,
        timeout=20,
    )
    assert result.returncode == 2
    os.close(reader)


def test_serve_starts_and_stops_though_nobody_reads_its_output(tmp_path):
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
