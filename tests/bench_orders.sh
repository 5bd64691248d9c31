#!/bin/bash
# Measures the cost of claiming an order: orders with and without idempotency
# keys side by side in one run, with the platform's answers delayed by 0 and by
# 5 ms. Also measures how many orders are refused while the platform is down.
#
# usage: bench_orders.sh DIRECTORY
# Environment: SECONDS_EACH is the duration of each measurement (20), RATE the
# rate in calls/s, with and without keys each (150).
set -u
. "$(dirname "$0")/orders.sh"
SECONDS_EACH=${SECONDS_EACH:-20}
RATE=${RATE:-150}

# metric NAME: prints the sum of a counter over all hosts.
metric() {
	for i in $(seq 0 $((HOSTS - 1))); do
		curl -s -H "Authorization: Bearer $TOKEN" \
			"127.0.0.1:$((operators_port + i))/metrics"
	done | awk -v name="jackdawworks_$1" '$1 == name { n += $2 }
		END { print n + 0 }'
}

# measure NAME SEED: runs the load and prints its results and the number of
# claims, reads and writes. NAME "outage" takes the platform down in the middle.
measure() {
	claimed=$(metric orders_claimed_total)
	reads=$(metric order_platform_reads_total)
	writes=$(metric order_platform_writes_total)
	for kind in keyed plain; do
		keys=
		test $kind = keyed && keys="--keys $1-"
		run_load "$1-$kind" "$2" "$(caller_targets 0 1 2)" --orders 100 \
			--rate "$RATE" --seconds "$SECONDS_EACH" --warm 2 $keys &
		eval "load_$kind=$!"
	done
	test "$1" = outage && {
		sleep $((SECONDS_EACH / 4))
		platform_fault '{"down": true}'
		sleep $((SECONDS_EACH / 2))
		platform_fault '{"down": false}'
	}
	wait "$load_keyed" "$load_plain"
	sleep 1
	for kind in keyed plain; do
		say "$1 $kind $(cat "$WORK/$1-$kind.result")"
	done
	say "$1 claimed $(($(metric orders_claimed_total) - claimed))" \
		"reads $(($(metric order_platform_reads_total) - reads))" \
		"writes $(($(metric order_platform_writes_total) - writes))"
}

start_orders
measure delay0 70
platform_fault '{"delay_ms": 5}'
measure delay5 71
platform_fault '{"delay_ms": 0}'
measure outage 72
