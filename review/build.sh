#!/bin/bash
# Builds the stand-ins that the scripts under review/ start.
set -eu
cd "$(dirname "$0")/.."
make -j4 --no-print-directory VARIANT=release build/release/tool_platform
mkdir -p build/review
cc -std=gnu11 -O2 -Wall -Wextra -pthread -o build/review/stand \
	review/stand/stand.c
