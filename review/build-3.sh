#!/bin/sh
# Builds the stand-ins and cases of this review into target/review-3, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standin-3/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra $(pkg-config --cflags cpp-httplib) -c "$source" -o "target/review-3/$(basename "$source" .cpp).o" &
    compilers="${compilers:-} $!"
done
for compiler in $compilers; do
    wait "$compiler"
done
for source in review/1[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    name="case-$(basename "$(dirname "$source")")"
    g++ -std=c++20 -O1 -Wall -Wextra $(pkg-config --cflags cpp-httplib) "$source" target/review-3/*.o -o "target/review-3/$name" $(pkg-config --libs cpp-httplib) -lpthread
done
