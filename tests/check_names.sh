#!/bin/bash
# The platform's names are decoded in platform/ and appear nowhere else.
cd "$(dirname "$0")/.." || exit 1
found=$(git ls-files '*.c' '*.h' | grep -vE '^(platform|tests|gen)/' |
	xargs grep -niE 'rows-(tx|get|feed|parts)|blob-(put|get|drop)|/jackdawworks/|attempt-id|response-signature|deadline-ms|expect-instance|server-load|not-executed|route-kind|warmup-left|fleetbench')
test -z "$found" && exit 0
printf 'names of the platform outside platform/:\n%s\n' "$found"
exit 1
