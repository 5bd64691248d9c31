#!/bin/bash
# Fails when a name of the platform's protocol appears in C code outside
# platform/, where all of them are translated. Guards against code elsewhere
# that depends on the protocol. tests/ and gen/ are exempt.
cd "$(dirname "$0")/.." || exit 1
found=$(git ls-files '*.c' '*.h' | grep -vE '^(platform|tests|gen)/' |
	xargs grep -niE 'rows-(tx|get|feed|parts)|blob-(put|get|drop)|/jackdawworks/|attempt-id|response-signature|deadline-ms|expect-instance|server-load|store-era|not-executed|route-kind|warmup-left|"tenants?"|api-keys|rate-per-s|warmup-per-s|strict-revoke|fleetbench')
test -z "$found" && exit 0
printf 'names of the platform outside platform/:\n%s\n' "$found"
exit 1
