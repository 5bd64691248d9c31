#!/bin/bash
# Builds the stand-ins of the cases from review/11 on: the project's own, into
# build/release, and stand-3. The programs under test are those of the deploy file.
set -eu
cd "$(dirname "$0")/.."
make -j6 release
mkdir -p build/review
${CC:-cc} -O2 -g -Wall -Wextra -D_GNU_SOURCE -pthread -o build/review/stand-3 review/stand-3.c
