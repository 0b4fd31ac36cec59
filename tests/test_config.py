"""The configuration is validated completely, and each error names its path.

The commands `check` and `serve` report the same errors, and `demo` ends together with its leaves.
"""

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from mothnotch import demo
from mothnotch.config import Config, ConfigError, check, decode, load, load_roster

ROOT = Path(__file__).parent.parent


PEERS = {"name": "a", "listen": "127.0.0.1:0", "fleet": "f", "keys": ["a key of these tests"]}


def errors_with(**changes):
    """Return the errors of the demo configuration with some keys changed."""
    return check(decode(json.dumps({**demo.CONFIG, **changes}), Config, "c"), "c")


@pytest.mark.parametrize(
    "changes, path",
    [
        ({"listen": ["nowhere"]}, "listen[0]"),
        ({"listen": []}, "listen"),
        ({"listen": ["0.0.0.0:1"]}, "auth.method"),
        ({"auth": {"method": "scram-sha-256"}}, "auth.users"),
        ({"cells": 0}, "cells"),
        ({"reach": 9}, "reach"),
        ({"ranges": {}}, "ranges"),
        ({"ranges": {"bounds": [3, 2]}}, "ranges.bounds"),
        ({"ranges": {"from": 0, "to": 3, "count": 9}}, "ranges.count"),
        ({"tables": {"t": {"shard_by": "x", "columns": {"a": "int4"}}}}, "tables.t.shard_by"),
        ({"tables": {"t": {"shard_by": "a", "columns": {"a": "text"}}}}, "tables.t.shard_by"),
        (
            {"tables": {"t": {"shard_by": "a", "columns": {"a": "int4", "b": "point"}}}},
            "tables.t.columns.b",
        ),
        ({"classes": {"a": {"aim_ms": 9, "deadline_ms": 5, "default": True}}}, "classes.a.aim_ms"),
        (
            {"classes": {"a": {"aim_ms": 1, "deadline_ms": 5, "default": True, "floor": 0.5}}},
            "classes.a.default",
        ),
        (
            {"classes": {"a": {"aim_ms": 1, "deadline_ms": 5, "repeat": "keyed", "default": True}}},
            "classes.a.repeat_window_ms",
        ),
        ({"peers": {**PEERS, "listen": "unix:/x"}}, "peers.listen"),
        ({"peers": {**PEERS, "seeds": ["a:1", "b"]}}, "peers.seeds[1]"),
        ({"peers": {**PEERS, "keys": ["short"]}}, "peers.keys"),
        ({"peers": {**PEERS, "keys": []}}, "peers.keys"),
        ({"peers": {**PEERS, "name": ""}}, "peers.name"),
        ({"peers": {**PEERS, "fleet": ""}}, "peers.fleet"),
        ({"peers": {**PEERS, "period_ms": 1}}, "peers.period_ms"),
        ({"peers": {**PEERS, "address": "x"}}, "peers.address"),
        (
            {
                "peers": {**PEERS, "listen": "0.0.0.0:7400"},
                "roster": None,
                "consul": {"agents": ["a:1"], "service": "s", "register": {}},
            },
            "peers.address",
        ),
        ({"root": {"roots": 2, "me": 2}}, "root.me"),
        ({"rules": {"budget_share": 0.1}}, "rules.budget_window_s"),
    ],
)
def test_every_error_names_its_path(changes, path):
    assert any(line.startswith(f"c: {path}:") for line in errors_with(**changes)), errors_with(
        **changes
    )


def test_the_demo_configuration_is_valid_and_converted_completely():
    assert errors_with() == [] and errors_with(peers=PEERS) == []
    settings = demo.config().settings()
    query_class = settings.classes["hold-set"]
    assert (
        query_class.idempotency.value == "keyed"
        and query_class.idempotency_window_us == 1_200_000
        and settings.cell_count == 8
    )
    assert demo.config().bounds()[:3] == (0, 100, 200)


@pytest.mark.parametrize(
    "text, expected",
    [
        ("{", "not JSON5"),
        ("{listen: 3}", "listen"),
        ('{"cells": "x"}', "cells"),
        ("{surplus: 1}", "surplus"),
        ("{classes: {a: {aim_ms: 'x'}}}", "classes"),
    ],
)
def test_the_error_for_an_invalid_text_names_the_place(text, expected):
    with pytest.raises(ConfigError) as caught:
        decode(text, Config, "c")
    assert expected in str(caught.value)


def test_missing_and_binary_files_are_errors(tmp_path):
    for name, content in (("none", None), ("binary", b"\xff\xfe\x00")):
        if content is not None:
            (tmp_path / name).write_bytes(content)
        with pytest.raises(ConfigError, match="cannot be read"):
            load(tmp_path / name)
    with pytest.raises(ConfigError):
        load_roster("[{name: 'a', address: 'x', cell: 77}]", 8)


def run_command(*arguments, **options):
    return subprocess.run(
        [sys.executable, "-m", "mothnotch", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        **options,
    )


def test_check_and_serve_print_errors_and_exit_with_status_2(tmp_path):
    path = tmp_path / "root.json5"
    path.write_text(run_command("example").stdout)
    completed = run_command("check", str(path))
    assert completed.returncode == 2 and "roster" in completed.stderr
    (tmp_path / "roster.json5").write_text(
        "[{name: 'leaf-0', address: '127.0.0.1:1', cell: 0}]  // one leaf"
    )
    completed = run_command("check", str(path))
    assert completed.returncode == 0 and "24 ranges" in completed.stdout
    path.write_text(path.read_text().replace('"reach": 2', '"reach": 12'))
    completed = run_command("serve", "--config", str(path))
    assert completed.returncode == 2 and "reach: must be between 1 and cells" in completed.stderr


def test_demo_serves_and_ends_with_its_leaves_on_sigterm():
    process = subprocess.Popen(
        [sys.executable, "-m", "mothnotch", "demo", "--rows", "5"],
        stdout=subprocess.PIPE,
        text=True,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    try:
        line = process.stdout.readline()
        assert "postgresql://" in line
        import psycopg

        with psycopg.connect(line.split()[0], autocommit=True) as connection:
            assert connection.execute("SELECT count(*) FROM stock").fetchone() == (120,)
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children").read_text().split()
        signalled = time.monotonic()
        process.send_signal(signal.SIGTERM)
        assert process.wait(5) == 0 and time.monotonic() - signalled < 5
        assert children and not [pid for pid in children if Path(f"/proc/{pid}").exists()]
    finally:
        process.kill()
