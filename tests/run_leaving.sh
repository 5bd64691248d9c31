#!/bin/bash
# Callers that leave before their answer. Guards against servers that are given
# work, or kept at it, for a caller that is gone:
# - the request was read only after its caller had left
# - bytes behind the request, of further requests or of the end of TLS, hide the
#   end of the connection
set -u
PORT_BASE=${PORT_BASE:-30000}
. "$(dirname "$0")/lib.sh"

HOST=127.0.0.1:$callers_port
TLS_HOST=127.0.0.1:$((callers_port + 1))
WORK_MS=6000
# A server must be free this soon after its caller has left.
MAX_HELD_MS=500
LEAVE_AFTER_MS=400

# request METHOD PATH: prints a request.
request() {
	printf '%s %s HTTP/1.1\r\nhost: h\r\nx-timeout-ms: 8000\r\n' "$1" "$2"
	test "$1" = GET || printf 'content-length: 0\r\n'
	printf '\r\n'
}
# begun NAME: prints how many requests with NAME in their path reached a server.
begun() { grep -c "^begin .*$1\$" "$WORK/raw.out"; }

# held_too_long NAME COUNT: prints how many of COUNT requests with NAME in their
# path kept their server for more than MAX_HELD_MS after their caller had left.
held_too_long() {
	in_time=$(awk -v name="$1" -v limit=$((LEAVE_AFTER_MS + MAX_HELD_MS)) \
		'$1 == "cut" && $2 ~ name "$" && $3 <= limit' "$WORK/raw.out" |
		wc -l)
	say $(($2 - in_time))
}
# leave_after HOW NAME [EXTRA]: sends a request, then EXTRA, and leaves after
# LEAVE_AFTER_MS, HOW being "leave" (an orderly close) or "abort" (a reset).
leave_after() {
	{
		request GET "/raw/hold-$WORK_MS?$2"
		sleep 0.2
		printf '%s' "${3:-}"
		sleep 0.2
	} | "$BIN/tool_raw" "$1" "$HOST"
}
# leave_tls NAME: the same over TLS, with an orderly end of TLS and connection.
leave_tls() {
	{
		request GET "/raw/hold-$WORK_MS?$1"
		sleep 0.4
	} | openssl s_client -connect "$TLS_HOST" -quiet -no_ign_eof \
		>/dev/null 2>&1
}

openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=host \
	-keyout "$WORK/host.key" -out "$WORK/host.pem" 2>/dev/null
start_platform || exit 1
start_process raw "$BIN/tool_raw" server 127.0.0.1:$((servers_port + 90))
start_host 0 z 2
CALLERS_TLS="certificate: $WORK/host.pem, key: $WORK/host.key" start_host 1 z 2
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

# Callers that leave while their request is at a server.
for i in 1 2 3; do
	leave_after leave close &
	leave_after abort reset &
	leave_after leave close-behind "$(request GET /raw/next)" &
	leave_after abort reset-behind "$(request GET /raw/next)" &
	leave_tls close-tls &
done
sleep 1.5
for name in close reset close-behind reset-behind close-tls; do
	check "3 requests reached a server ($name)" test "$(begun $name)" = 3
	check "$(held_too_long $name 3) servers held too long ($name)" \
		test "$(held_too_long $name 3)" = 0
done

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

stop_host 1
stop_host 0
check "exit status $STATUS of the host" test $STATUS = 0
test $failures = 0 || cat "$WORK/entry0.log"
say "failures: $failures"
test $failures = 0
