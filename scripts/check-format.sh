#!/usr/bin/env bash
# Checks the formatting of all C++ sources except generated code; with --fix, reformats them.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard '*.h' '*.cpp' | grep -v '^src/generated/')
if [ "${1:-}" = --fix ]; then
    clang-format -i "${sources[@]}"
else
    clang-format --dry-run --Werror "${sources[@]}"
fi
