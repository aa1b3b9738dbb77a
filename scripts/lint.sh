#!/usr/bin/env bash
# Runs clang-tidy on the sources in src, apps and platform. The argument is a build folder with compile_commands.json
# (default: build/debug).
set -euo pipefail
cd "$(dirname "$0")/.."
git ls-files --cached --others --exclude-standard 'src/*.cpp' 'apps/*.cpp' 'platform/*.cpp' |
    xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p "${1:-build/debug}" 2>/dev/null
echo "lint: clean"
