#!/bin/bash
# Proofs of the requirements on orders and answers: each run must fail with its
# mechanism switched off and pass with it on. Guards against orders that run
# twice, outcomes "not-run" of orders that may have run, answers that reach
# another caller, and writes of a host that has lost its lease. Prints one line
# per mechanism:
# PROOF name without=fail with=pass figure
set -u
. "$(dirname "$0")/orders.sh"

failures=0

# restart_all MECHANISM [MEAN_US]: stops all processes and starts new ones with
# the mechanism switched off; an empty name leaves all on.
restart_all() {
	stop_all
	WORK=$(mktemp -d)
	PIDS=
	export JACKDAWWORKS_OFF=$1
	start_orders "${2:-3000}" >/dev/null 2>&1
}

# broken_servers AGAIN [ARGUMENT...]: runs load while the servers run one order
# in three and close the connection without an answer. If AGAIN is "yes", the
# callers send every key again to another host.
broken_servers() {
	again=$1
	shift
	all_servers '{"break_every": 3}'
	run_load first 50 "$(caller_targets 0 1 2)" "$@" || return 1
	if test "$again" = yes; then
		run_load first 50 "$(caller_targets 1 2 0)" "$@" \
			--timeout-ms 4000 ||
			return 1
	fi
	sleep 0.5
	snapshot_run_log first
	compare_orders first
}

# Without the mechanism, an order whose key is sent again runs a second time.
run_order_claim() { broken_servers yes --keys p-; }
# Without the mechanism, a host sends an order again that may have run.
run_send_once() { broken_servers no; }
# Without the mechanism, callers receive "not-run" for orders that ran.
run_not_run_table() { broken_servers no; }

# Calls end at their deadline before their answers arrive. A new call on the
# same connection would get the late answer if the connection were not closed.
run_close_late_connections() {
	"$BIN/tool_load" --targets "$(caller_targets 0 1 2)" --rate 600 \
		--seconds 3 --timeout-ms 20 --seed 60 >"$WORK/late.result" 2>/dev/null
	status=$?
	SUMMARY=$(grep -o '"sent": [0-9]*\|"wrong": [0-9]*' "$WORK/late.result" |
		tr -d '":' | tr ' \n' '= ')
	return $status
}

# A host that has lost its lease writes late. Figure: failed unit tests of the
# case "lease" in test_order.c.
run_fencing_token() {
	SUMMARY=$(CK_RUN_CASE=lease CK_VERBOSITY=normal \
		"$BIN/test_order" 2>/dev/null | grep -o 'Failures: [0-9]*' |
		sed 's/.*: /stale_writes=/')
	test "$SUMMARY" = stale_writes=0
}

# prove NAME MECHANISM [MEAN_US]: prints the PROOF line of the mechanism.
prove() {
	run=run_$(say "$2" | tr - _)
	restart_all "$2" "${3:-}"
	without=pass
	"$run" || without=fail
	off=$SUMMARY
	restart_all "" "${3:-}"
	with=fail
	"$run" && with=pass
	say "PROOF $1 without=$without with=$with $2: off {$off} on {$SUMMARY}"
	test $without$with = failpass || failures=$((failures + 1))
}

prove at-most-once order-claim
prove at-most-once send-once
prove not-run-truth not-run-table
prove own-answer close-late-connections 30000
prove fencing fencing-token
test $failures = 0
