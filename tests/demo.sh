#!/bin/bash
# Demonstrates the system end to end on loopback: a platform, servers of two
# services, and three entry hosts in three zones. Applies a document, then sends
# an inquiry, an order and a request for a large specification sheet to every
# entry host. Exits with 0 when every call completes with its own answer, the
# servers ran as many orders as were sent and all hosts stop cleanly.
# usage: demo.sh DIRECTORY
set -u
. "$(dirname "$0")/lib.sh"

HOSTS=3
ZONES=gs-a,gs-b,gs-c
SHEET_BYTES=3000000

start_platform || exit 1
start_servers ordering 0 30 6 $ZONES 5000 || exit 1
start_servers catalogue 40 6 6 $ZONES 5000 || exit 1
for i in $(seq 0 $((HOSTS - 1))); do
	start_host "$i" "$(say $ZONES | cut -d, -f$((i % 3 + 1)))" $HOSTS
done
{
	say "deployment: tri-parish"
	say "latency_weight_percent: 80"
	say "zones: [$(say $ZONES | sed 's/,/, /g')]"
	say "callers: [{name: lamp-district-3, weight: 2}]"
	say "services:"
	print_service ordering /ordering/ 0 30 6 260 $ZONES shares \
		"      - {method: GET, path: /ordering/, idempotent: true}
      - {method: POST, path: /ordering/requisitions, idempotent: false}"
	print_service catalogue /catalogue/ 40 6 6 260 $ZONES shares \
		"      - {method: GET, path: /catalogue/, idempotent: true}"
} >"$WORK/document.yaml"

wait_http "127.0.0.1:$operators_port" /health || exit 1
"$BIN/jackdawworks" check "$WORK/document.yaml" || exit 1
operator_cli 0 apply --author demo "$WORK/document.yaml" || exit 1
wait_document $HOSTS || exit 1
operator_cli $((HOSTS - 1)) history

failures=0
# call_host HOST WHAT METHOD PATH [BODY]: sends a call to the host and prints a
# row of the table. Counts a failure unless it completes with 200 and its own
# answer.
call_host() {
	echo="demo-$1-$2"
	body=$WORK/answer
	result=$(curl -s -o "$body" -D "$WORK/head" -X "$3" \
		-w '%{http_code} %{size_download} %{time_total}' \
		-H "x-echo: $echo" -H "x-caller: lamp-district-3" \
		${5:+-d "$5"} "127.0.0.1:$((callers_port + $1))$4")
	outcome=$(tr -d '\r' <"$WORK/head" | sed -n 's/^x-request-outcome: //p')
	own=no
	head -c 200 "$body" | head -1 | grep -q "^echo=$echo " && own=yes
	printf '%-9s %-10s %-32s %s %9s bytes %7s s  %-10s own answer: %s\n' \
		"entry-$1" "$2" "$4" $result "$outcome" $own
	test "$own $outcome ${result%% *}" = "yes completed 200" ||
		failures=$((failures + 1))
}

say
for i in $(seq 0 $((HOSTS - 1))); do
	call_host "$i" inquiry GET /ordering/stock/mantles
	call_host "$i" order POST /ordering/requisitions "mantles: 40"
	call_host "$i" sheet GET "/catalogue/sheet?bytes=$SHEET_BYTES"
done
say
say "orders run by the servers: $(grep -c -- '-order ' "$WORK/ordering.runs") of $HOSTS"
test "$(grep -c -- '-order ' "$WORK/ordering.runs")" = $HOSTS ||
	failures=$((failures + 1))

for i in $(seq 0 $((HOSTS - 1))); do
	eval "kill -TERM \$pid_entry$i"
done
for i in $(seq 0 $((HOSTS - 1))); do
	eval "wait \$pid_entry$i" || {
		say "entry-$i did not stop cleanly"
		failures=$((failures + 1))
	}
done
report_failures
