#!/bin/bash
# Proofs of the mechanisms between entry hosts: each run must fail with its
# mechanism switched off and pass with it on. Guards against hosts that do not
# get a new document while the platform is down, and against a dead host that
# stays in the host list because its heartbeats are replayed. Prints one line
# per mechanism:
# PROOF name without=fail with=pass figure
set -u
BIN=${1:?directory of the built programs}
cd "$(dirname "$0")/.." || exit 1
OUT=$(mktemp -d)
trap 'rm -rf "$OUT"' EXIT
status=0

result_word() { test "$1" = 0 && printf pass || printf fail; }

# prove NAME FIGURE-PATTERN REASON COMMAND...: REASON must be in the output of
# the run without the mechanism, so that no other failure counts as a proof.
prove() {
	name=$1
	figure=$2
	reason=$3
	shift 3
	JACKDAWWORKS_OFF=$name "$@" >"$OUT/without" 2>&1
	without=$(result_word $?)
	"$@" >"$OUT/with" 2>&1
	with=$(result_word $?)
	grep -q "$reason" "$OUT/without" || without=unclear
	printf 'PROOF %s without=%s with=%s %s\n' "$name" "$without" "$with" \
		"$(sed -n "s/.*\($figure\).*/\1/p" "$OUT/with" | tail -1)"
	test "$without $with" = "fail pass" && return
	status=1
	tail -5 "$OUT/without" "$OUT/with"
}

prove generation-gossip 'generation reached .*' \
	'generation 2 did not reach 1 2 3 4' \
	tests/run_peers.sh "$BIN" generation
export CK_RUN_CASE=replay CK_VERBOSITY=verbose
prove replay-protection '100%: Checks: [0-9]*' \
	':F:replay:replayed_host_is_removed:' "$BIN/test_peer"
exit $status
