#!/bin/bash
# Measures the cost of one entry host by the size of the document: resident
# memory, processor time at rest, time to check a document, and processor time
# of a change and of a call. Only one service has running servers; all others
# are in the document only.
#
# usage: bench_capacity.sh DIRECTORY [SERVICES...], with the numbers of services
# to measure (2 95 475 950). The services without running servers have 7 or 8
# servers each, so 950 services have about 7,100 servers.
set -u
. "$(dirname "$0")/lib.sh"
shift
SIZES=${*:-2 95 475 950}
RATE=2000
LOAD_SECONDS=6
REST_SECONDS=5
CHANGES=5
US_PER_TICK=10000
LOG_LEVEL=warning

# print_filler_services SERVICES: prints the services without running servers of
# a document that has SERVICES services in all.
print_filler_services() {
	awk -v n="$(($1 - 1))" 'BEGIN {
		for (s = 0; s < n; s++) {
			printf "  - name: s%d\n    route: /s%d/\n    policy: shares\n", s, s
			print "    measuring: {requests_per_s: 5, bytes_per_s: 5000, cross_zone_bytes_per_s: 2000}"
			print "    servers:"
			count = s % 2 ? 7 : 8
			for (i = 0; i < count; i++)
				printf "      - {name: s%d-%d, address: \"127.%d.%d.%d:80\", zone: z, slots: 6, connections: 260}\n",
					s, i, 1 + int(s / 250), s % 250, i + 1
		}
	}'
}

rss_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status"; }

# write_version WEIGHT: writes WEIGHT.yaml, a document that differs only by its
# weight.
write_version() {
	{
		say "deployment: capacity"
		say "latency_weight_percent: $1"
		say "zones: [z]"
		say "services:"
		print_service ordering /ordering/ 0 $SMALL_SERVERS $SMALL_SLOTS \
			240 z shares \
			"      - {method: GET, path: /ordering/, idempotent: true}"
		cat "$WORK/filler"
	} >"$WORK/$1.yaml"
}

# time_command COMMAND...: sets TIME_MS to the elapsed time of the command.
time_command() {
	begin=$(date +%s%N)
	"$@" >/dev/null || return 1
	TIME_MS=$((($(date +%s%N) - begin) / 1000000))
}

# wait_in_force GENERATION: polls until host 0 has the generation in force.
wait_in_force() {
	until operator_cli 0 status --json |
		grep -q "\"generation\":$1[,}]"; do :; done
}

# measure_changes PID: applies CHANGES documents. Sets CHANGE_US to the mean
# processor time that the host with that pid used for one.
measure_changes() {
	ticks=$(processor_ticks "$1")
	for n in $(seq 2 $((CHANGES + 1))); do
		write_version "$n"
		apply_document 0 "$WORK/$n.yaml" $((n - 1)) || return 1
		wait_in_force "$n"
	done
	CHANGE_US=$((($(processor_ticks "$1") - ticks) * US_PER_TICK / CHANGES))
}

# measure SERVICES: prints the row of a document with that number of services.
measure() {
	print_filler_services "$1" >"$WORK/filler"
	write_version 1
	time_command "$BIN/jackdawworks" check "$WORK/1.yaml" || return 1
	check_ms=$TIME_MS
	start_host 0 z 1
	host_pid=$PID
	wait_http "127.0.0.1:$operators_port" /health || return 1
	empty_kb=$(rss_kb "$host_pid")
	apply_document 0 "$WORK/1.yaml" 0 || return 1
	wait_in_force 1
	sleep 1
	ticks=$(processor_ticks "$host_pid")
	sleep $REST_SECONDS
	rest_us_per_s=$((($(processor_ticks "$host_pid") - ticks) * US_PER_TICK /
		REST_SECONDS))
	full_kb=$(rss_kb "$host_pid")
	ticks=$(processor_ticks "$host_pid")
	start_load load 1 $RATE $LOAD_SECONDS --path /ordering/x --orders 0
	wait "$PID"
	# In tenths of a microsecond.
	call_time=$((($(processor_ticks "$host_pid") - ticks) * US_PER_TICK * 10 /
		$(load_result load completed)))
	measure_changes "$host_pid" || return 1
	printf '%8d %8d %10d %8d %9d %9d %9d.%d %9d %9d\n' "$1" \
		"$(grep -c 'name: .*address' "$WORK/1.yaml")" \
		"$(stat -c %s "$WORK/1.yaml")" "$check_ms" "$empty_kb" "$full_kb" \
		$((call_time / 10)) $((call_time % 10)) "$rest_us_per_s" "$CHANGE_US"
	kill_process entry0
	kill_process platform
}

start_servers ordering 0 $SMALL_SERVERS $SMALL_SLOTS z 1000 || exit 1
say "services  servers  doc-bytes check-ms  empty-KB  full-KB us-per-call us/s-rest us/change"
for size in $SIZES; do
	start_platform || exit 1
	measure "$size" || exit 1
done
