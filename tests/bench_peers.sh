#!/bin/bash
# Measures the cost of membership among entry hosts at rest: COUNT real
# processes with a document in force and without callers. Prints averages per
# host for each COUNT.
# usage: bench_peers.sh DIRECTORY COUNT...
set -u
BIN=${1:?directory of the built programs}
shift
SECONDS_MEASURED=20

# total NAME: prints the sum of a counter over all hosts.
total() {
	for i in $(seq 0 $((COUNT - 1))); do counter "$i" "$1"; done |
		awk '{ sum += $1 } END { print sum }'
}

# cpu_ticks, memory_kb: print the processor time and the resident memory of all
# hosts.
cpu_ticks() {
	for i in $(seq 0 $((COUNT - 1))); do
		eval "cat /proc/\$pid_entry$i/stat"
	done | awk '{ sum += $14 + $15 } END { print sum }'
}
memory_kb() {
	for i in $(seq 0 $((COUNT - 1))); do
		eval "cat /proc/\$pid_entry$i/status"
	done | awk '/^VmRSS/ { sum += $2 } END { print sum }'
}

# measure COUNT: starts COUNT hosts and prints their averages.
measure() {
	COUNT=$1
	. "$(dirname "$0")/lib.sh" "$BIN"
	start_platform || exit 1
	for i in $(seq 0 $((COUNT - 1))); do
		start_host "$i" gs-a $((COUNT < 8 ? COUNT : 8))
	done
	{
		say "deployment: tri-parish"
		say "zones: [gs-a]"
		say "callers: []"
		say "services:"
		print_service ordering /ordering/ 0 3 6 260 gs-a shares \
			"      - {method: GET, path: /ordering/, idempotent: true}"
	} >"$WORK/document.yaml"
	wait_http "127.0.0.1:$operators_port" /health || exit 1
	operator_cli 0 apply --author bench "$WORK/document.yaml" >/dev/null ||
		exit 1
	wait_document "$COUNT" || exit 1
	sleep 10
	bytes=$(total peer_sent_bytes_total)
	messages=$(total peer_messages_sent_total)
	ticks=$(cpu_ticks)
	sleep $SECONDS_MEASURED
	bytes=$(($(total peer_sent_bytes_total) - bytes))
	messages=$(($(total peer_messages_sent_total) - messages))
	ticks=$(($(cpu_ticks) - ticks))
	awk -v n="$COUNT" -v s=$SECONDS_MEASURED -v b="$bytes" -v m="$messages" \
		-v t="$ticks" -v hz="$(getconf CLK_TCK)" -v kb="$(memory_kb)" \
		'BEGIN { printf "%d processes: %.1f messages/s, %.0f bytes/s" \
		" sent, %.2f %% of a core, %.1f MB resident a host\n", n, \
		m / s / n, b / s / n, 100 * t / hz / s / n, kb / 1024 / n }'
}

for count in "$@"; do
	(measure "$count")
done
