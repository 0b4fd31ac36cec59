#!/bin/sh
# Builds what the scripts of the second review start besides the root: their stand-ins are Python,
# for the interpreter that the `build` line of deploy/balancer.toml makes, and need no package.
set -e
cd "$(dirname "$0")/.."
test -x .venv/bin/python
.venv/bin/python -m py_compile review/lib2/standins.py review/lib2/bad_clients.py
for number in 6 7 8 9 10; do
    if test -f "review/$number/case.py"; then
        .venv/bin/python -m py_compile "review/$number/case.py"
    fi
done
