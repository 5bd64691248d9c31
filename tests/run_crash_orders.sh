#!/bin/bash
# Guards against an order that is refused as not run, because its request is blocked
# for crashing servers, although the order with its idempotency key has been run.
set -u
PORT_BASE=${PORT_BASE:-29900}
. "$(dirname "$0")/lib.sh"
SERVERS=5
# A good answer keeps its request from being suspected for this long.
ANSWER_MEMORY_S=5

order() { # KEY: prints status and outcome.
	curl -s -m 5 -o /dev/null -D - -X POST -d same \
		-H 'x-timeout-ms: 4000' -H "idempotency-key: $1" \
		"127.0.0.1:$callers_port/same" | tr -d '\r' |
		awk 'NR == 1 { status = $2 }
			tolower($1) == "x-request-outcome:" { outcome = $2 }
			END { print status, outcome }'
}
# is_running SERVER: whether it runs a request.
is_running() {
	curl -s -o /dev/null -D - "127.0.0.1:$((servers_port + $1))/load" |
		grep -q 'in_flight=[1-9]'
}
kill_running_server() {
	local s
	for s in $(seq 0 $((SERVERS - 1))); do
		is_running "$s" || continue
		kill_process "server$s"
		return 0
	done
	return 1
}

start_platform || exit 1
for s in $(seq 0 $((SERVERS - 1))); do
	start_servers "server$s" "$s" 1 6 a 1000 || exit 1
done
start_host 0 a 1
{
	say "deployment: crash-orders"
	say "zones: [a]"
	say "services:"
	print_service desk / 0 $SERVERS 6 200 a least-of-two \
		"      - {method: POST, path: /, idempotent: false}"
} >"$WORK/document.yaml"
wait_http "127.0.0.1:$operators_port" /health || exit 1
operator_cli 0 apply --author run "$WORK/document.yaml" || exit 1
wait_document 1 || exit 1

check "the first order is not run" test "$(order first)" = "200 completed"
sleep $((ANSWER_MEMORY_S + 1))
for s in $(seq 0 $((SERVERS - 1))); do server_control "$s" '{"factor": 1000000}'; done
for n in 1 2 3; do
	order "crash-$n" >"$WORK/crash-$n" &
	ordering=$!
	check "no server runs order $n" within 3 kill_running_server
	wait $ordering
	check "order $n ended with $(cat "$WORK/crash-$n")" \
		test "$(cat "$WORK/crash-$n")" = "502 unknown"
	sleep 0.3
done
check "another order of the same content is run" \
	test "$(order another)" = "503 not-run"
check "an order that was done is answered with $(order first)" \
	test "$(order first)" = "200 completed"
check "an order that may have run is answered with $(order crash-1)" \
	test "$(order crash-1)" = "502 unknown"
report_failures
