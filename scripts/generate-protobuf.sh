#!/usr/bin/env bash
# Regenerates src/generated from proto/. Requires protobuf-compiler 3.21.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc --proto_path=proto --cpp_out=src/generated proto/bergamotramp.proto proto/peer.proto
