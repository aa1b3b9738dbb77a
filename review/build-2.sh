#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review into build-review-2/. They need the standard library and nlohmann-json3-dev,
# which is a package of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build-review-2
for source in review/{6,7,8,9,10}/Case.cpp; do
    if [ -f "$source" ]; then
        number=$(basename "$(dirname "$source")")
        g++ -std=c++20 -O1 -Wall -Wextra -pthread -Ireview/kit-2 "$source" -o "build-review-2/case-$number"
    fi
done
