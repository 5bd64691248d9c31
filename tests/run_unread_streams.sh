#!/bin/bash
# Callers over HTTP/2 that have several streams on one connection and stop reading some of
# them, beside broken ones. Guards against a connection that is reset for one of its
# streams, with which the answers on all others break.
set -u
PORT_BASE=${PORT_BASE:-26900}
. "$(dirname "$0")/lib_wire.sh"
SHORT_MS=900 LONG_MS=5000 ERROR_MS=300 SECONDS_LIMIT=8

# add PATH DEADLINE_MS WINDOW WANTED: a call, and what must come. RESET stands for any code.
add() {
	say "$PREFIX-$count $1 $2 $3" >>"$WORK/$PREFIX.calls"
	say "$PREFIX-$count $4" >>"$WORK/$PREFIX.wanted"
	count=$((count + 1))
}
# These end while the others are there. Their callers take all that comes.
add_broken() {
	local name
	for name in length-fin length-rst length-stall chunks-fin chunks-rst chunks-bad \
		chunks-stall close-rst close-stall; do
		add "/order/$name" $SHORT_MS all "200 12345 RESET"
	done
	for name in 201-chunks-fin 404-close-rst 500-chunks-stall; do
		add "/order/$name" $SHORT_MS all "${name%%-*} 12345 RESET"
	done
}
# Whole ones, broken ones and errors, of which the caller takes a part or nothing.
add_unread() {
	local framing
	for framing in length chunks close; do
		add "/order/$framing-whole" $SHORT_MS 3 "200 123 RESET"
		add "/order/$framing-pieces" $SHORT_MS 0 "200 - RESET"
		add "/order/$framing-stall" $SHORT_MS 3 "200 123 RESET"
		add "/order/$framing-rst" $SHORT_MS 0 "200 - RESET"
		add "/order/big$framing-whole" $SHORT_MS 1000 "200 big-1000-0 RESET"
		add "/order/big$framing-whole" $SHORT_MS 0 "200 - RESET"
		add "/order/big$framing-stall" $SHORT_MS 400000 "200 big-300000-0 RESET"
		add "/order/$framing-late" $ERROR_MS 0 "504 - RESET"
	done
	add /order/chunks-bad $SHORT_MS 3 "200 123 RESET"
}
# Whole ones that end before, while and after the others are given up.
add_whole() {
	local framing
	for framing in length chunks close; do
		add "/order/$framing-whole" $SHORT_MS all "200 1234567890 whole"
		add "/order/$framing-latehalf" $SHORT_MS all "200 1234567890 whole"
		add "/order/big$framing-whole" $SHORT_MS all "200 big-300000-300000 whole"
		add "/slow/$framing-stall" $LONG_MS all "200 1234567890 whole"
		add "/slow/big$framing-stall" $LONG_MS all "200 big-300000-300000 whole"
	done
}
# compare PREFIX ADDRESS [CA-FILE]: asks for all on one connection, then for one more.
compare() {
	PREFIX=$1 count=0
	add_whole
	add_broken
	add_unread
	add_whole
	say then >>"$WORK/$PREFIX.calls"
	add /order/length-whole $SHORT_MS all "200 1234567890 whole"
	say end=done >>"$WORK/$PREFIX.wanted"
	"$BIN/tool_streams" "$2" $SECONDS_LIMIT ${3:-} <"$WORK/$PREFIX.calls" \
		>"$WORK/$PREFIX.came"
	paths=$(grep -v then "$WORK/$PREFIX.calls" | sed 's/[^ ]* //')
	while IFS=$'\t' read -r path wanted came; do
		check "$PREFIX $path: \"$came\", expected \"$wanted\"" test "$came" = "$wanted"
	done < <(paste <(say "$paths"; say connection) "$WORK/$PREFIX.wanted" \
		<(sed 's/ reset-[0-9]*$/ RESET/' "$WORK/$PREFIX.came"))
}

start_answers "$(print_route order /order/ unsafe desk),$(
	print_route slow /slow/ unsafe desk | sed 's/"timeout-s":2/"timeout-s":6/')"
compare plain "127.0.0.1:$callers_port"

openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=host \
	-addext "subjectAltName=IP:127.0.0.1" -keyout "$WORK/host.key" \
	-out "$WORK/ca.pem" 2>/dev/null
cp "$WORK/ca.pem" "$WORK/host.pem"
CALLERS_TLS="certificate: $WORK/host.pem, key: $WORK/host.key"
start_follower 1
wait_ready 1 || fail "host 1 is not ready"
sleep 1
compare tls "127.0.0.1:$((callers_port + 1))" "$WORK/ca.pem"

# The same through another host.
CALLERS_TLS=
start_cut_off_host
compare passed-on "127.0.0.1:$((callers_port + 3))"

report_failures
