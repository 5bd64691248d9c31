#!/bin/bash
# Orders under faults: three entry hosts, open-loop load with and without
# idempotency keys. After each fault every key is sent again to other hosts.
# Guards against orders that run twice, orders that run although the caller
# received "not-run", and orders that do not run although the caller received
# "completed". The faults are servers that refuse orders or break off answers, a
# host that is killed, a paused host that loses its lease, and a platform that
# loses answers, is slow or is down.
set -u
. "$(dirname "$0")/orders.sh"

failures=0

# run_round NAME SEED TARGETS [ARGUMENT...]: run_load that counts a wrong answer
# as a failure.
run_round() {
	run_load "$@" || {
		say "$1: a caller got a wrong answer"
		cat "$WORK/$1.result"
		failures=$((failures + 1))
	}
}

# check_round NAME: compares the orders of a round, after a pause for the calls
# that were in flight at its end.
check_round() {
	sleep 0.5
	snapshot_run_log "$1"
	compare_orders "$1" || {
		say "$1: FAILED"
		failures=$((failures + 1))
	}
	printf '%-18s %s\n' "$1" "$SUMMARY"
}

# round_with_fault NAME SEED FAULT-COMMAND: runs load with and without keys side
# by side, and FAULT-COMMAND in the middle of it.
round_with_fault() {
	run_round "$1-keyed" "$2" "$(caller_targets 0 1 2)" --keys "k$1-" &
	keyed=$!
	run_round "$1-plain" $(($2 + 1)) "$(caller_targets 0 1 2)" &
	plain=$!
	sleep 1
	eval "$3"
	wait $keyed $plain
	check_round "$1-keyed"
	check_round "$1-plain"
}

# repeat_round NAME SEED TARGETS ROUND: sends the keys of a round again to other
# hosts. The deadline is long, so that on a slow machine a call does not end
# before the host has found the earlier order of the same key.
repeat_round() {
	run_round "$1-again$4" "$2" "$3" --keys "k$1-" --timeout-ms 4000
	check_round "$1-again$4"
}

expect_equal() { # WHAT WANTED GOT
	test "$2" = "$3" && return
	say "$1: expected \"$2\", got \"$3\""
	failures=$((failures + 1))
}

start_orders

# Keys end to end: replay at another host, reuse of a key for another body, an
# invalid key, and an answer that is too large to be stored for a replay.
first=$(post_order 0 one mantles)
expect_equal "first call" "200 completed" "${first% *}"
expect_equal "replay at another host" "$first" "$(post_order 1 one mantles)"
expect_equal "key reused" "422 not-run" \
	"$(post_order 1 one wicks | cut -d' ' -f1,2)"
expect_equal "key with a blank" "400 not-run" \
	"$(post_order 0 'a b' x | cut -d' ' -f1,2)"
query="?bytes=20000"
expect_equal "large answer" "200 completed 20000" "$(post_order 0 large x)"
expect_equal "large answer again" "200 completed 0" "$(post_order 1 large x)"
query=

# A caller that disconnects must not cancel its order. A later call with the
# same key gets the answer.
all_servers '{"factor": 100}'
for i in 1 2 3 4 5; do post_order 0 "leaves$i" x --max-time 0.2 >/dev/null; done
for i in 1 2 3 4 5; do
	expect_equal "order $i of a caller that disconnected" "200 completed" \
		"$(post_order 1 "leaves$i" x | cut -d' ' -f1,2)"
done
all_servers '{"factor": 1}'
expect_equal "number of orders run" 7 \
	"$(grep -cE '^run (one|large|leaves.) ' "$WORK/ordering.runs")"

all_servers '{"refuse_every": 5, "break_every": 7, "cut_every": 11}'
round_with_fault servers 10 true
all_servers '{"refuse_every": 0, "break_every": 0, "cut_every": 0}'
repeat_round servers 10 "$(caller_targets 1 2 0)" 1

# The servers are slow, so that orders are in flight when the host is killed.
all_servers '{"factor": 30}'
round_with_fault kill 20 'kill -9 $pid_entry2'
repeat_round kill 20 "$(caller_targets 1 0)" 1
start_order_host 2
wait_http "127.0.0.1:$((callers_port + 2))" /health || exit 1

# lease_holder: prints the host that holds the lease of the order sweep, which
# is the one with the highest fencing token in the logs.
lease_holder() {
	for i in $(seq 0 $((HOSTS - 1))); do
		sed -n "s/.*order-sweep is held, token \([0-9]*\).*/\1 $i/p" \
			"$WORK/entry$i.log"
	done | sort -n | tail -1 | cut -d' ' -f2
}

# wait_until WHAT COMMAND...: repeats COMMAND until it succeeds. Counts a
# failure after 200 attempts, 0.1 s apart, about 20 s.
wait_until() {
	what=$1
	shift
	for _ in $(seq 200); do
		"$@" && return
		sleep 0.1
	done
	say "$what: did not happen in time"
	failures=$((failures + 1))
}

lease_holder_is_not() { test "$(lease_holder)" != "$1"; }

# The host that holds the lease is paused for longer than the lease, the
# deadlines and the tolerated clock skew, so another host must take the lease
# over.
paused=$(lease_holder)
others=$(seq 0 $((HOSTS - 1)) | grep -v "$paused" | tr '\n' ' ')
round_with_fault pause 30 'eval "kill -STOP \$pid_entry$paused"'
sleep 1.5
repeat_round pause 30 "$(caller_targets $others)" 1
wait_until "takeover of the lease" lease_holder_is_not "$paused"
eval "kill -CONT \$pid_entry$paused"
wait_until "loss of the lease at the paused host" \
	grep -q "order-sweep is lost" "$WORK/entry$paused.log"
# Its calls to the platform have timed out meanwhile.
wait_until "orders at the resumed host" accepts_orders "$paused"
repeat_round pause 30 "$(caller_targets 1 2 0)" 2

all_servers '{"factor": 1}'
round_with_fault platform 40 'platform_fault "{\"lose_answers\": 20}"; sleep 0.5;
	platform_fault "{\"delay_ms\": 200}"; sleep 0.5;
	platform_fault "{\"delay_ms\": 0, \"down\": true}"'
platform_fault '{"down": false, "lose_answers": 0}'
for i in 0 1 2; do wait_until "orders at host $i" accepts_orders "$i"; done
repeat_round platform 40 "$(caller_targets 1 2 0)" 1

report_failures
