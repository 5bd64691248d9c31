#!/bin/bash
# Builds the stand-ins that the scripts of review/6 to review/10 start, beside the
# program, which the build of the deploy file has made: target/jackdawworks.
set -eu
cd "$(dirname "$0")/.."
tools="tool_platform tool_upstream tool_caller"
make -j6 VARIANT=release $(printf 'build/release/%s ' $tools)
mkdir -p build/review
cc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread -o build/review/server review/server.c
