#!/bin/bash
# Callers that leave before their answer. Guards against servers that are given
# work, or kept at it, for a caller that is gone: the request was read only
# after its caller had left.
set -u
PORT_BASE=${PORT_BASE:-30000}
. "$(dirname "$0")/lib.sh"

HOST=127.0.0.1:$callers_port
WORK_MS=6000

# request METHOD PATH: prints a request.
request() {
	printf '%s %s HTTP/1.1\r\nhost: h\r\nx-timeout-ms: 8000\r\n' "$1" "$2"
	test "$1" = GET || printf 'content-length: 0\r\n'
	printf '\r\n'
}
# begun NAME: prints how many requests with NAME in their path reached a server.
begun() { grep -c "^begin .*$1\$" "$WORK/raw.out"; }

start_platform || exit 1
start_process raw "$BIN/tool_raw" server 127.0.0.1:$((servers_port + 90))
start_host 0 z 1
{
	say "deployment: test"
	say "zones: [z]"
	say "services:"
	cat <<-END
	  - name: raw
	    route: /raw/
	    deadline_ms: 1000
	    longest_deadline_ms: 8000
	    policy: random
	    measuring: {requests_per_s: 0, bytes_per_s: 0, cross_zone_bytes_per_s: 0}
	    rules:
	      - {method: GET, path: /raw/, idempotent: true}
	      - {method: POST, path: /raw/, idempotent: false}
	    servers:
	      - {name: raw-1, address: "127.0.0.1:$((servers_port + 90))", zone: z, slots: 200, connections: 200}
	END
} >"$WORK/document.yaml"
wait_http "127.0.0.1:$operators_port" /health || exit 1
apply_document 0 "$WORK/document.yaml" 0 || exit 1
wait_document 1 || exit 1

# The host stands still while callers connect, send a request and leave, as one
# does that is short of processor time. Then it must not send these requests on.
kill -STOP "$pid_entry0"
for i in 1 2 3; do
	request GET "/raw/hold-$WORK_MS?late-safe" |
		"$BIN/tool_raw" leave "$HOST"
	request GET "/raw/hold-$WORK_MS?late-safe" |
		"$BIN/tool_raw" abort "$HOST"
	request POST "/raw/hold-$WORK_MS?late-order" |
		"$BIN/tool_raw" leave "$HOST"
done
sleep 0.6
kill -CONT "$pid_entry0"
sleep 1
for name in late-safe late-order; do
	check "$(begun $name) requests of callers that had left were sent on ($name)" \
		test "$(begun $name)" = 0
done

stop_host 0
check "exit status $STATUS of the host" test $STATUS = 0
test $failures = 0 || cat "$WORK/entry0.log"
say "failures: $failures"
test $failures = 0
