"""The trace of what a root does, which MOTHNOTCH_TRACE enables."""

import json

from mothnotch.root.trace import PATH_VARIABLE, Trace


def test_trace_appends_one_json_line_for_each_event(tmp_path, monkeypatch):
    path = tmp_path / "trace"
    path.write_text("earlier\n")
    monkeypatch.setenv(PATH_VARIABLE, str(path))
    trace = Trace.from_environment()
    assert trace.enabled
    trace.record("attempt", part="q1.0", attempt=0)
    trace.record("final", query="q1")
    earlier, attempt, final = path.read_text().splitlines()
    assert earlier == "earlier"
    assert list(json.loads(attempt)) == ["t", "kind", "part", "attempt"]
    assert json.loads(final)["kind"] == "final"


def test_trace_is_off_without_the_variable(monkeypatch):
    monkeypatch.delenv(PATH_VARIABLE, raising=False)
    trace = Trace.from_environment()
    trace.record("attempt")
    assert not trace.enabled


def test_trace_is_off_if_the_file_cannot_be_opened(tmp_path):
    trace = Trace(str(tmp_path / "missing" / "trace"))
    trace.record("attempt")
    assert not trace.enabled


def test_trace_ends_when_a_line_cannot_be_written():
    trace = Trace("/dev/full")
    assert trace.enabled
    trace.record("attempt")
    assert not trace.enabled
