#!/bin/bash
# Guards against an order that has run and whose caller is told by the status (408, 421,
# 429, 503) that it has not, so that it is sent again: answers of servers with such a status
# that do not state it, straight and through another host, also one of an earlier build.
# Guards as well against true refusals and other failures that no longer arrive as they
# were given. Compares the bytes on the wire.
set -u
PORT_BASE=${PORT_BASE:-29000}
. "$(dirname "$0")/lib_wire.sh"
ANSWERS_TOOL=tool_odd_answers
SERVERS=150
# EARLIER may name the program of an earlier build.
EARLIER=${EARLIER:-}

names() { "$BIN/tool_odd_answers" list "$1"; }
# expect_orders WHAT HOST
expect_orders() {
	local name end
	for name in $(names unproven); do
		expect "$1" "[502] error $NEXT end=timeout" "$2" 1.1 "$name"
		expect "$1" "[502] error end=eof" "$2" 1.0 "$name"
		# After a server that has not run it.
		expect "$1" "[502] error $NEXT end=timeout|[503] error $NEXT end=timeout" \
			"$2" 1.1 "refused-503+$name"
	done
	for name in $(names refusal); do
		expect "$1" "[503] error $NEXT end=timeout" "$2" 1.1 "$name"
		expect "$1" "$NEXT $NEXT end=timeout|[503] error $NEXT end=timeout" \
			"$2" 1.1 "$name+length-whole"
	done
	for name in $(names failure); do
		expect "$1" "[${name%-*}] 1234567890 $NEXT end=timeout" "$2" 1.1 "$name"
	done
}
# expect_idempotent WHAT HOST: the server's answer, after a retry or without one.
expect_idempotent() {
	local name
	for name in 503-signed 503-retry 429-signed 408-signed 421-signed mark-0 mark-two 500-signed; do
		expect "$1" "[$(status_of $name)] 1234567890 $NEXT end=timeout" "$2" 1.1 "$name"
	done
	expect "$1" "[503] whole-chunks $NEXT end=timeout" "$2" 1.1 503-chunks
	for name in refused-503 refused-429; do
		expect "$1" "[503] error $NEXT end=timeout" "$2" 1.1 "$name"
		# The first attempt may have run.
		expect "$1" "[502] error $NEXT end=timeout|[500] 1234567890 $NEXT end=timeout" \
			"$2" 1.1 "500-signed+$name"
	done
}
status_of() { case $1 in mark-*) say 503 ;; *) say "${1%-*}" ;; esac; }
# list_runs: prints for each time that an order was sent its id, and how it was answered.
list_runs() {
	grep -ao 'POST /order/[^ ]* .*attempt-id: [-a-z0-9]*' "$WORK/servers.out" |
		sed 's/^POST .order.\([^ ]*\) .*attempt-id: /\1 /' |
		awk '{ n = split($1, way, "+"); turn = ++sent[$2]
			print $2, way[turn < n ? turn : n] }'
}
# check_runs: no order was sent again after it may have run, and none that may have run
# was called not run.
check_runs() {
	list_runs >"$WORK/runs"
	awk '$1 in ran; $2 !~ /^refused-/ { ran[$1] = 1 }' "$WORK/runs" >"$WORK/twice"
	check "sent again: $(head -3 "$WORK/twice" | tr '\n' ',')" test ! -s "$WORK/twice"
	grep -ho '"event":"fail","id":"[^"]*".*"outcome":"not-run"' "$WORK"/entry?.log |
		cut -d'"' -f8 >"$WORK/not-run"
	check "no order was called not run" test -s "$WORK/not-run"
	awk 'NR == FNR { told[$1] = 1; next } $1 in told && $2 !~ /^refused-/' \
		"$WORK/not-run" "$WORK/runs" >"$WORK/untrue"
	check "called not run: $(head -3 "$WORK/untrue" | tr '\n' ',')" test ! -s "$WORK/untrue"
}
metric() {
	curl -s "127.0.0.1:$((metrics_port + $1))/metrics" | awk -v n="jackdawworks_$2" '$1 == n { print $2 }'
}
start_earlier_follower() {
	local program=$BIN
	test "$EARLIER" && BIN=$WORK/earlier
	JACKDAWWORKS_OFF=answer-table start_follower "$1"
	BIN=$program
}

mkdir "$WORK/earlier"
test "$EARLIER" && ln -s "$EARLIER" "$WORK/earlier/jackdawworks"
start_answers "$(print_route safe /safe/ safe desk),$(print_route order /order/ unsafe desk)"
expect_orders order 0
compare_all
check "no pause is heard" grep -q '"event":"pause"' "$WORK/entry0.log"
check "no load is heard" test "$(metric 0 report_bytes_total)" -gt 0
check "a 502 is not explained by its id" grep -q \
	'"event":"fail","id":"call-0-[0-9]*",.*"result":"refusal-unproven","outcome":"unknown","unproven_status":503' \
	"$WORK/entry0.log"
check "no answer is counted as unproven" test "$(metric 0 answers_unproven_total)" -gt 0
calm_down
PREFIX=safe
expect_idempotent "idempotent call" 0
compare_all
PREFIX=order
calm_down

start_cut_off_host
expect_orders "order through another host" 3
compare_all
calm_down
kill_process entry0
start_earlier_follower 0
wait_ready 0 || fail "the host of the earlier build is not ready"
sleep 1
calm_down
check "host 3 passes no call on" within 8 host_answers 3 /order/length-whole
expect_orders "order through a host of an earlier build" 3
compare_all
check "no passed answer is counted as unproven" test "$(metric 3 answers_unproven_total)" -gt 0
check_runs
report_failures
