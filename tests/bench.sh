#!/bin/bash
# Compares policies at the sizes of both deployments: 16 entry hosts and 30 + 6
# servers on loopback, in one run. Every cell of the table starts new entry
# hosts with the same random seeds.
#
# usage: bench.sh DIRECTORY [POLICY...]
# Environment: BENCH_SECONDS is the time per cell (3), BENCH_LOADS the loads in
# percent of the capacity of all slots (50 75 90), BENCH_MEAN_US the mean
# service time (20000). BENCH_POLICIES, BENCH_CONDITIONS and BENCH_DEPLOYMENTS
# select what is measured (everything).
#
# At a mean service time of 20 ms and a load of 90 % all processes together use
# about 2 cores, as the column "cores" shows. Do not compare cells that use more
# than 5 cores.
set -u
. "$(dirname "$0")/lib.sh"
shift
POLICIES=${*:-${BENCH_POLICIES:-shares random round-robin least-of-two}}
CELL_SECONDS=${BENCH_SECONDS:-3}
LOADS=${BENCH_LOADS:-50 75 90}
CONDITIONS=${BENCH_CONDITIONS:-calm stragglers drains fail-fast cold}
DEPLOYMENTS=${BENCH_DEPLOYMENTS:-tri-parish blue-mahoe}
MEAN_US=${BENCH_MEAN_US:-20000}
LOG_LEVEL=error
HOSTS=16
WARM_SECONDS=1
IN_TIME_MS=300
SHEET_BYTES=16384
TICKS_PER_S=100
generation=0

# set_deployment NAME: sets the zones, sizes and services of the deployment.
set_deployment() {
	case $1 in
	tri-parish)
		ZONES=gs-a,gs-b,gs-c SLOTS=6 CONNECTIONS=260
		MAIN=ordering FILES=catalogue
		;;
	blue-mahoe)
		ZONES=kgn-a,kgn-b,kgn-c SLOTS=3 CONNECTIONS=240
		MAIN=yard-desk FILES=spec-library
		;;
	esac
}

start_hosts() {
	for i in $(seq 0 $((HOSTS - 1))); do
		start_host "$i" "$(say $ZONES | cut -d, -f$((i % 3 + 1)))" $HOSTS
	done
	wait_http "127.0.0.1:$operators_port" /health
}

kill_hosts() {
	for i in $(seq 0 $((HOSTS - 1))); do kill_process "entry$i"; done
}

# accept_policy POLICY: replaces the document in force by one with the policy,
# through hosts that are killed afterwards.
accept_policy() {
	start_hosts || return 1
	write_document "$(
		print_service $MAIN /main/ 0 30 $SLOTS $CONNECTIONS $ZONES \
			"$1" \
			"      - {method: GET, path: /main/, idempotent: true}
      - {method: POST, path: /main/, idempotent: false}"
		print_service $FILES /files/ 40 6 $SLOTS $CONNECTIONS $ZONES \
			"$1" \
			"      - {method: GET, path: /files/, idempotent: true}"
	)"
	apply_document 0 "$WORK/document.yaml" $generation || return 1
	generation=$((generation + 1))
	kill_hosts
}

# set_condition CONDITION: applies the condition to the first two of the 30
# servers and resets those of the previous cell.
set_condition() {
	for offset in 0 1 2; do
		server_control $offset \
			'{"factor": 1.0, "draining": false, "fail_fast": false}'
	done
	case $1 in
	stragglers) set -- '{"factor": 5.0}' ;;
	drains) set -- '{"draining": true}' ;;
	fail-fast) set -- '{"fail_fast": true}' ;;
	cold) set -- "{\"cold_ms\": $((CELL_SECONDS * 1000))}" ;;
	*) return ;;
	esac
	server_control 0 "$1"
	server_control 1 "$1"
}

# Prints what probes and reports of all hosts cost per second: requests, bytes,
# and bytes between zones.
measuring_per_s() {
	for i in $(seq 0 $((HOSTS - 1))); do
		say "url = \"127.0.0.1:$((operators_port + i))/metrics\""
	done >"$WORK/urls"
	curl -s -H "authorization: Bearer $TOKEN" -K "$WORK/urls" |
		awk -v s="$CELL_SECONDS" '
		$1 ~ /_probes_total$/ { requests += $2 }
		$1 ~ /_(probe|report)_bytes_total$/ { bytes += $2 }
		$1 ~ /_(probe|report)_cross_zone_bytes_total$/ { cross += $2 }
		END { printf "%.0f %.0f %.0f", requests / s, bytes / s, cross / s }'
}

# run_cell DEPLOYMENT LOAD CONDITION POLICY: measures one cell and prints its
# row.
run_cell() {
	start_hosts || return 1
	wait_document $HOSTS || return 1
	rate=$(((36 * SLOTS * 1000000 / MEAN_US) * $2 / 100))
	set_condition "$3"
	before=$(processor_ticks $PIDS)
	"$BIN/tool_load" -t "$(caller_addresses $HOSTS)" -r $rate -e 7 \
		-s "$CELL_SECONDS" --warm $WARM_SECONDS -m $IN_TIME_MS \
		-c /main/stock,75 -c /main/requisitions,8.3,0,POST \
		-c "/files/sheet,16.7,$SHEET_BYTES" >"$WORK/cell.out" \
		2>"$WORK/cell.log"
	ticks=$(($(processor_ticks $PIDS) - before))
	measuring_load=$(measuring_per_s)
	kill_hosts
	sort_key=$1-$2-$(say "$CONDITIONS" | tr ' ' '\n' | grep -n -x "$3" |
		cut -d: -f1)
	printf '%s|%-11s %4s %-11s %-13s %8.1f %8.1f %8.1f %8.3f %6s %6s %8s %8s %6.1f\n' \
		"$sort_key" "$1" "$2" "$3" "$4" "$(load_result cell p50_ms)" \
		"$(load_result cell p99_ms)" "$(load_result cell p999_ms)" \
		"$(awk "BEGIN { print 100 * $(load_result cell in_time) }")" \
		"$(load_result cell wrong)" $measuring_load \
		"$(awk "BEGIN { print $ticks / $TICKS_PER_S / $CELL_SECONDS }")" |
		tee -a "$WORK/cells" | cut -d'|' -f2 >&2
}

start_platform || exit 1
for deployment in $DEPLOYMENTS; do
	set_deployment "$deployment"
	start_servers main 0 30 $SLOTS $ZONES "$MEAN_US" || exit 1
	start_servers files 40 6 $SLOTS $ZONES "$MEAN_US" || exit 1
	for policy in $POLICIES; do
		accept_policy "$policy" || exit 1
		for condition in $CONDITIONS; do
			for load in $LOADS; do
				run_cell "$deployment" "$load" "$condition" \
					"$policy" ||
					exit 1
			done
		done
	done
	kill_process main
	kill_process files
done

say "mean service time $MEAN_US us, $CELL_SECONDS s a cell, of which the first $WARM_SECONDS s are left out"
say "in time: share of calls answered within $IN_TIME_MS ms; cores: entry hosts, servers and platform, without the load tool"
printf '%-11s %4s %-11s %-13s %8s %8s %8s %8s %6s %6s %8s %8s %6s\n' \
	deployment load condition policy "p50 ms" "p99 ms" "p999 ms" "in time%" \
	wrong req/s bytes/s cross/s cores
sort -t'|' -s -k1,1 "$WORK/cells" | cut -d'|' -f2
