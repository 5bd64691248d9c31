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

# again NAME SEED TARGETS ROUND: the same keys at other hosts. The long deadline
# keeps a slow machine from ending a call before it has seen the earlier one.
again() {
	round "$1-again$4" "$2" "$3" --keys "k$1-" --timeout-ms 4000
	verdict "$1-again$4"
}

# post HOST KEY BODY [CURL-ARGUMENT...]: "STATUS OUTCOME BODY-BYTES".
post() {
	host=$1
	key=$2
	body=$3
	shift 3
	curl -s -o /dev/null -d "$body" -H "idempotency-key: $key" \
		-H "x-caller: lamp-district-3" -H "x-echo: $key" \
		-H "x-timeout-ms: 5000" \
		-w '%{http_code} %header{x-request-outcome} %{size_download}' \
		"$@" "127.0.0.1:$((callers_port + host))/orders${query:-}"
}

expect() { # WHAT WANTED GOT
	test "$2" = "$3" && return
	say "$1: expected \"$2\", got \"$3\""
	failures=$((failures + 1))
}

start_orders

# Keys through the whole path: replay at another host, reuse, bad keys, an
# answer that is too large to keep.
first=$(post 0 one mantles)
expect "first call" "200 completed" "${first% *}"
expect "replay at another host" "$first" "$(post 1 one mantles)"
expect "key reused" "422 not-run" "$(post 1 one wicks | cut -d' ' -f1,2)"
expect "key with a blank" "400 not-run" "$(post 0 'a b' x | cut -d' ' -f1,2)"
query="?bytes=20000"
expect "large answer" "200 completed 20000" "$(post 0 large x)"
expect "large answer again" "200 completed 0" "$(post 1 large x)"
query=

# A caller that leaves must not cancel its order; the next one gets the answer.
all_servers '{"factor": 100}'
for i in 1 2 3 4 5; do post 0 "leaves$i" x --max-time 0.2 >/dev/null; done
for i in 1 2 3 4 5; do
	expect "order $i of a caller that left" "200 completed" \
		"$(post 1 "leaves$i" x | cut -d' ' -f1,2)"
done
all_servers '{"factor": 1}'
expect "orders run" 7 \
	"$(grep -cE '^run (one|large|leaves.) ' "$WORK/ordering.runs")"

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

# holder: the host that took the lease of the sweep last.
holder() {
	for i in $(seq 0 $((HOSTS - 1))); do
		sed -n "s/.*order-sweep is held, token \([0-9]*\).*/\1 $i/p" \
			"$WORK/entry$i.log"
	done | sort -n | tail -1 | cut -d' ' -f2
}

# until_true WHAT COMMAND...: 20 s at most.
until_true() {
	what=$1
	shift
	for _ in $(seq 200); do
		"$@" && return
		sleep 0.1
	done
	say "$what: not seen"
	failures=$((failures + 1))
}

holder_is_not() { test "$(holder)" != "$1"; }

# The pause is longer than the lease, the deadlines and the tolerated skew. The
# paused host holds the lease, which another host must take over.
paused=$(holder)
others=$(seq 0 $((HOSTS - 1)) | grep -v "$paused" | tr '\n' ' ')
faulty pause 30 'eval "kill -STOP \$pid_entry$paused"'
sleep 1.5
again pause 30 "$(targets $others)" 1
until_true "takeover of the lease" holder_is_not "$paused"
eval "kill -CONT \$pid_entry$paused"
until_true "loss of the lease at the paused host" \
	grep -q "order-sweep is lost" "$WORK/entry$paused.log"
again pause 30 "$(targets 1 2 0)" 2

all_servers '{"factor": 1}'
faulty platform 40 'platform_fault "{\"lose_answers\": 20}"; sleep 0.5;
	platform_fault "{\"delay_ms\": 200}"; sleep 0.5;
	platform_fault "{\"delay_ms\": 0, \"down\": true}"'
platform_fault '{"down": false, "lose_answers": 0}'
# Each host must have found out, as it refuses every key until then.
takes_orders() { post "$1" "back$1" x | grep -q ^200; }
for i in 0 1 2; do until_true "orders at host $i" takes_orders "$i"; done
again platform 40 "$(targets 1 2 0)" 1

say "failures: $failures"
test $failures = 0
