"""The list of known failures excuses exactly the failures that it names."""

import shutil
import subprocess
import sys

import pytest

from tests.support import known_failures
from tests.support.known_failures import KnownFailure, ListError, parse
from tests.support.root_process import REPOSITORY

TESTS = """
import pytest

def test_red(): assert 1 == 2
def test_green(): pass
def test_broken(): raise AttributeError("renamed")
@pytest.mark.parametrize("n", [0, 1, 2])
def test_mixed(n): assert n
def test_grouped(): raise ExceptionGroup("nursery", [AssertionError("no")])
def test_mixed_group(): raise ExceptionGroup("nursery", [AssertionError("no"), KeyError("k")])
"""


def run(tmp_path, entry, *tests):
    """Run the tests in a temporary tree whose KNOWN-RED.txt contains the entry."""
    support = tmp_path / "tests" / "support"
    support.mkdir(parents=True)
    for path in ("tests/conftest.py", "tests/support/known_failures.py"):
        shutil.copy(REPOSITORY / path, tmp_path / path)
    (support / "__init__.py").write_text("")
    (tmp_path / "tests" / "__init__.py").write_text("")
    (tmp_path / "tests" / "test_x.py").write_text(TESTS)
    (tmp_path / "KNOWN-RED.txt").write_text(entry)
    (tmp_path / "pytest.ini").write_text("[pytest]\ntestpaths = tests\n")
    test_ids = [f"tests/test_x.py::{name}" for name in tests]
    return subprocess.run(
        [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider", *test_ids],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )


@pytest.mark.parametrize(
    ("frequency", "test", "status", "output"),
    [
        ("always", "test_red", 0, "KNOWN RED (always)"),
        ("always", "test_grouped", 0, "1 of 1 cases failed"),
        ("always", "test_mixed", 0, "1 of 3 cases failed"),
        ("always", "test_green", 1, "remove its line"),
        ("sometimes", "test_green", 0, "0 of 1 cases failed"),
        ("sometimes", "test_mixed", 0, "1 of 3 cases failed"),
        ("always", "test_broken", 1, "renamed"),
        ("sometimes", "test_broken", 1, "renamed"),
        ("always", "test_mixed_group", 1, "KeyError"),
        ("always", "test_gone", 4, "which does not exist"),
    ],
)
def test_a_listed_test_is_excused_only_for_a_failed_assert(
    tmp_path, frequency, test, status, output
):
    line = f"tests/test_x.py::{test} | {frequency} | seen | issue 1\n"
    result = run(tmp_path, line, "test_green" if test == "test_gone" else test)
    assert result.returncode == status, result.stdout + result.stderr
    assert output in result.stdout + result.stderr


def test_a_failure_that_is_not_listed_fails_the_session(tmp_path):
    assert run(tmp_path, "", "test_red").returncode == 1


def test_valid_entries_keep_their_test_or_module_frequency_and_issue():
    text = (
        "tests/test_x.py::test_y | always | a leaf is marked | issue 50\n\n"
        "python -m mothnotch.soak.run --seeds 7 | sometimes | lost | issue 51\n"
    )
    first, second = parse(text)
    assert first == KnownFailure("tests/test_x.py::test_y", False, "a leaf is marked", "issue 50")
    assert second.sometimes
    assert second.module == "mothnotch.soak.run"


@pytest.mark.parametrize(
    "line",
    [
        "tests/test_x.py::test_y | always | issue 50",
        "tests/test_x.py::test_y | often | seen | issue 50",
        "tests/test_x.py::test_y | always | seen | 50",
        "tests/test_x.py | always | seen | issue 50",
        "python -m mothnotch.nowhere --seeds 7 | always | seen | issue 50",
        "python -m somebody.else | always | seen | issue 50",
    ],
)
def test_an_invalid_entry_is_reported(line):
    with pytest.raises(ListError) as caught:
        parse(line)
    assert caught.value.line == line


def test_the_list_of_the_project_is_valid():
    known_failures.load()
