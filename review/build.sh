#!/usr/bin/env bash
# The stand-ins need no build: they are Python files that use the standard library alone. This
# checks that each of them compiles, and that the nodes' libraries were built.
set -euo pipefail
cd "$(dirname "$0")/.."
test -d target/deps
out="$(mktemp -d)"
trap 'rm -rf "$out"' EXIT
for file in review/lib/*.py review/*/case.py; do
    [ -e "$file" ] || continue
    python3 -c 'import py_compile, sys; py_compile.compile(sys.argv[1], cfile=sys.argv[2] + "/check.pyc", doraise=True)' "$file" "$out"
done
echo "review: the stand-ins compile"
