#!/bin/bash
# Orders under faults: three entry hosts, open load with and without keys,
# every key tried again at another host after each fault. Guards against orders
# that run twice, that are told "not-run" but run, and that are told completed
# but did not run.
set -u
. "$(dirname "$0")/orders.sh"

failures=0

# round NAME SEED TARGETS [ARGUMENT...]
round() {
	load "$@" || {
		say "$1: wrong answer"
		cat "$WORK/$1.result"
		failures=$((failures + 1))
	}
}

# verdict NAME: after its round and what the round left in flight are over.
verdict() {
	sleep 0.5
	snapshot "$1"
	judge "$1" || {
		say "$1: FAILED"
		failures=$((failures + 1))
	}
	printf '%-18s %s\n' "$1" "$JUDGED"
}

# faulty NAME SEED FAULT-COMMAND: load with and without keys, FAULT-COMMAND in
# the middle of it.
faulty() {
	round "$1-keyed" "$2" "$(targets 0 1 2)" --keys "k$1-" &
	keyed=$!
	round "$1-plain" $(($2 + 1)) "$(targets 0 1 2)" &
	plain=$!
	sleep 1
	eval "$3"
	wait $keyed $plain
	verdict "$1-keyed"
	verdict "$1-plain"
}

# again NAME SEED TARGETS ROUND: the same keys at other hosts.
again() {
	round "$1-again$4" "$2" "$3" --keys "k$1-"
	verdict "$1-again$4"
}

start_orders

all_servers '{"refuse_every": 5, "break_every": 7, "cut_every": 11}'
faulty servers 10 true
all_servers '{"refuse_every": 0, "break_every": 0, "cut_every": 0}'
again servers 10 "$(targets 1 2 0)" 1

# Slow servers, so that orders are in flight when a host stops.
all_servers '{"factor": 30}'
faulty kill 20 'kill -9 $pid_entry2'
again kill 20 "$(targets 1 0)" 1
start_order_host 2
wait_http "127.0.0.1:$((callers_port + 2))" /health || exit 1

# The pause is longer than the lease, the deadlines and the tolerated skew.
faulty pause 30 'kill -STOP $pid_entry1'
sleep 1.5
again pause 30 "$(targets 2 0)" 1
kill -CONT $pid_entry1
sleep 1
again pause 30 "$(targets 1 2 0)" 2

all_servers '{"factor": 1}'
faulty platform 40 'platform_fault "{\"lose_answers\": 20}"; sleep 0.5;
	platform_fault "{\"delay_ms\": 200}"; sleep 0.5;
	platform_fault "{\"delay_ms\": 0, \"down\": true}"'
platform_fault '{"down": false, "lose_answers": 0}'
again platform 40 "$(targets 1 2 0)" 1

say "failures: $failures"
test $failures = 0
