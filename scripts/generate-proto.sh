#!/bin/sh
# Generates the committed code of the messages in src/proto. Needs protoc.
set -eu
cd "$(dirname "$0")/../src/proto"
protoc --cpp_out=. jobs.proto peers.proto quarantine.proto tickets.proto
