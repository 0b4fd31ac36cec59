#!/bin/sh
# Build the stand-ins of the cases: Python files of the standard library alone, which are compiled
# here so that a syntax error shows before a script runs. They run with the interpreter that `build`
# of deploy/balancer.toml leaves in .venv.
set -e
cd "$(dirname "$0")/.."
find review -name '*.py' | sort | xargs .venv/bin/python -m py_compile
