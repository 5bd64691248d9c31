#!/bin/bash
# Runs the proof scripts. They print one line per proof:
# PROOF name without=fail with=pass figure
# where "without" is the result of the test with one mechanism switched off and
# "with" that with the mechanism on. A requirement that no proof script covers
# is printed as OPEN. Exits with 0 only when every PROOF line has without=fail
# and with=pass.
# usage: proofs.sh DIRECTORY
set -u
BIN=${1:?directory of the built programs}
cd "$(dirname "$0")/.." || exit 1
OUT=$(mktemp)
trap 'rm -f "$OUT"' EXIT

REQUIREMENTS="measuring-budget own-answer not-run-truth at-most-once
leaving-server graceful-stop document-in-force"

for script in tests/proof_*.sh; do
	test -e "$script" || continue
	timeout 300 "$script" "$BIN" 2>/dev/null | grep -E '^(PROOF|OPEN) ' |
		tee -a "$OUT"
done
for name in $REQUIREMENTS; do
	grep -qE "^(PROOF|OPEN) $name " "$OUT" ||
		printf 'OPEN %s no proof script covers it\n' "$name" |
		tee -a "$OUT"
done
good=$(grep -cE '^PROOF [^ ]+ without=fail with=pass' "$OUT")
all=$(grep -c '^PROOF ' "$OUT")
open=$(grep -c '^OPEN ' "$OUT")
printf 'proofs: %d of %d hold, %d open\n' "$good" "$all" "$open"
test "$good" = "$all"
