#!/bin/bash
# Proofs of the requirements on documents: each case of document_cases.sh must
# fail with its mechanism switched off and pass with it on. The failure that a
# case guards against is described there. Prints one line per case:
# PROOF name without=fail with=pass figure
set -u
BIN=${1:?directory of the built programs}
CASES=$(dirname "$0")/document_cases.sh
failed=0

# prove NAME MECHANISMS CASE REASON: without the mechanisms the case must fail
# with REASON in its output, so that a run that fails to start does not count as
# a proof.
prove() {
	without=pass
	with=fail
	error=$(JACKDAWWORKS_OFF=$2 "$CASES" "$BIN" "$3" 2>&1 >/dev/null) ||
		without=fail
	case $error in *"$4"*) ;; *) without=other ;; esac
	figure=$("$CASES" "$BIN" "$3" 2>/dev/null) && with=pass
	printf 'PROOF %s without=%s with=%s %s\n' "$1" $without $with "$figure"
	test $without$with = failpass || failed=1
}

prove document-in-force row-reading,generation-gossip document_in_force \
	'generation 2 is not in force'
prove conditional-accept conditional-accept conditional_accept 'exit codes 0 0'
prove read-back read-back read_back 'the outcome is not known'
prove generation-order generation-order generation_order 'reverted'
prove digest-check digest-check digest_check 'took a false body'
exit $failed
