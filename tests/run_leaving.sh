#!/bin/bash
# Callers that leave before their answer. Guards against servers that are given
# work, or kept at it, for a caller that is gone:
# - the request was read only after its caller had left
# - bytes behind the request, of further requests or of the end of TLS, hide the
#   end of the connection
# - the answer has begun, and its server is silent before the rest of it
# - the call waits at the host, or its order is refused by the first server
set -u
PORT_BASE=${PORT_BASE:-30000}
. "$(dirname "$0")/lib.sh"

HOST=127.0.0.1:$callers_port
TLS_HOST=127.0.0.1:$((callers_port + 1))
WORK_MS=6000
# A server must be free this soon after its caller has left.
MAX_HELD_MS=500
LEAVE_AFTER_MS=400

# request METHOD PATH [HEADER]: prints a request without a body.
request() {
	printf '%s %s HTTP/1.1\r\nhost: h\r\nx-timeout-ms: 8000\r\n' "$1" "$2"
	test "$1" = GET || printf 'content-length: 0\r\n'
	test -z "${3:-}" || printf '%s\r\n' "$3"
	printf '\r\n'
}
# leave HOW ADDRESS [EXTRA]: sends the request on stdin, then EXTRA, and leaves
# after LEAVE_AFTER_MS, HOW being "leave" (an orderly close) or "abort" (a reset).
leave() {
	{
		cat
		sleep 0.2
		printf '%s' "${3:-}"
		sleep 0.2
	} | "$BIN/tool_raw" "$1" "$2" >/dev/null 2>&1
}
# leave_tls PATH: the same with an orderly end of TLS and of the connection, after
# the request has reached a server: openssl takes long to start on a busy machine.
leave_tls() {
	{
		request GET "$1"
		within 5 grep -qxF "begin $1" "$WORK"/raw*.out
		sleep 0.4
	} | openssl s_client -connect "$TLS_HOST" -quiet -no_ign_eof \
		>/dev/null 2>&1
}
# begun NAME: prints how many requests with NAME at the end of their path reached
# a server.
begun() { cat "$WORK"/raw*.out | grep -c "^begin .*?$1\$"; }
# freed NAME: prints how many of them kept their server for at most MAX_HELD_MS
# after their caller had left.
freed() {
	awk -v name="[?]$1\$" -v limit=$((LEAVE_AFTER_MS + MAX_HELD_MS)) \
		'$1 == "cut" && $2 ~ name && $3 <= limit' "$WORK"/raw*.out |
		wc -l
}
# check_freed NAME COUNT
check_freed() {
	check "$(begun "$1") of $2 requests reached a server ($1)" \
		test "$(begun "$1")" = "$2"
	check "$(freed "$1") of $2 servers were free in time ($1)" \
		test "$(freed "$1")" = "$2"
}
# check_not_sent NAME
check_not_sent() {
	check "$(begun "$1") requests of callers that had left were sent ($1)" \
		test "$(begun "$1")" = 0
}

# rules PREFIX: prints the rules of a service with that route.
rules() {
	say "      - {method: GET, path: $1, idempotent: true}"
	say "      - {method: POST, path: $1, idempotent: false}"
}

openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=host \
	-keyout "$WORK/host.key" -out "$WORK/host.pem" 2>/dev/null
start_platform || exit 1
for i in 0 1 2; do
	start_process raw$i "$BIN/tool_raw" server 127.0.0.1:$((servers_port + i))
done
start_host 0 z 2
CALLERS_TLS="certificate: $WORK/host.pem, key: $WORK/host.key" start_host 1 z 2
ZONES=z
DEADLINE_MS=8000 LONGEST_MS=8000
write_document "$(print_service raw /raw/ 0 2 200 200 z random "$(rules /raw/)")
$(print_service one /one/ 2 1 1 1 z shares "$(rules /one/)")"
wait_http "127.0.0.1:$operators_port" /health || exit 1
apply_document 0 "$WORK/document.yaml" 0 || exit 1
wait_document 1 || exit 1

# Callers that leave while their request is at a server, or mid-answer.
for i in 1 2 3; do
	request GET "/raw/hold-$WORK_MS?close" | leave leave "$HOST" &
	request GET "/raw/hold-$WORK_MS?reset" | leave abort "$HOST" &
	request GET "/raw/hold-$WORK_MS?close-behind" |
		leave leave "$HOST" "$(request GET /raw/next)" &
	request GET "/raw/hold-$WORK_MS?reset-behind" |
		leave abort "$HOST" "$(request GET /raw/next)" &
	leave_tls "/raw/$i/hold-$WORK_MS?close-tls" &
	leaving="${leaving:-} $!"
	request GET "/raw/begun-hold-$WORK_MS?mid-answer" |
		leave leave "$HOST" &
done
wait $leaving
sleep 1.1
for name in close reset close-behind reset-behind close-tls mid-answer; do
	check_freed $name 3
done

# Callers that leave before their request can be sent: in its middle, in the
# queue of a service whose only slot is in use, and while the key of an order is
# claimed at a slow platform.
{
	printf 'POST /raw/hold-%s?mid-body HTTP/1.1\r\nhost: h\r\n' $WORK_MS
	printf 'content-length: 10\r\n\r\n12345'
} | leave leave "$HOST" &
request GET "/one/hold-1000?first" | "$BIN/tool_raw" send "$HOST" 2 >/dev/null &
sleep 0.1
request GET "/one/hold-$WORK_MS?queued" | leave leave "$HOST" &
platform_fault '{"delay_ms":350}'
request POST "/raw/hold-$WORK_MS?claiming" "idempotency-key: leaving" |
	"$BIN/tool_raw" leave "$HOST"
sleep 3
platform_fault '{"delay_ms":0}'
for name in mid-body queued claiming; do check_not_sent $name; done

# An order runs to its end after its caller has left, but is not sent to another
# server if the first one refuses it.
request POST "/raw/refuse-hold-900?refused" | leave leave "$HOST"
sleep 1
check "$(begun refused) servers got an order that was refused after its caller had left" \
	test "$(begun refused)" = 1

# The host stands still while callers connect, send a request and leave, as one
# does that is short of processor time.
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
check_not_sent late-safe
check_not_sent late-order

# The host is stopped gracefully while callers are still connected.
request GET "/raw/hold-$WORK_MS?stopping" |
	leave leave "$HOST" "$(request GET /raw/next)" &
sleep 0.1
stop_host 0
check "exit status $STATUS of the host" test $STATUS = 0
check_freed stopping 1
stop_host 1
test $failures = 0 || cat "$WORK/entry0.log"
report_failures
