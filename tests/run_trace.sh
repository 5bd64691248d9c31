#!/bin/bash
# Records traces of an entry host and replays them, and replays the traces in
# tests/traces/. Guards against decisions that depend on anything but the
# recorded inputs, and against outcomes outside the limits in the .outcomes
# files.
# usage: run_trace.sh BIN [DIRECTORY]: copies the new traces to DIRECTORY.
set -u
. "$(dirname "$0")/lib.sh"

TESTS=$(dirname "$0")
TRACE_DIRECTORY=${2:-}
failures=0

fail() {
	say "FAILED: $*"
	failures=$((failures + 1))
}

# expect_replay STATUS TEXT ARGUMENT...: runs "replay" with the arguments,
# expects the exit status and TEXT in the output.
expect_replay() {
	want=$1
	text=$2
	shift 2
	"$BIN/jackdawworks" replay "$@" >"$WORK/replay" 2>&1
	status=$?
	test $status = "$want" || fail "replay $*: status $status, not $want"
	grep -q -- "$text" "$WORK/replay" || fail "replay $*: no \"$text\""
	sed "s|$WORK|.|;s|^|  |" "$WORK/replay"
}

# print_document POLICY: prints a document whose service uses POLICY.
print_document() {
	say "deployment: trace"
	say "zones: [gs-a, gs-b]"
	say "latency_weight_percent: 100"
	say "callers: [{name: counter, weight: 2}]"
	say "services:"
	print_service ordering /ordering/ 0 6 2 20 gs-a,gs-b "$1" \
		"      - {method: POST, path: /ordering/requisitions, idempotent: false}"
}

run_load() { # RATE SECONDS
	"$BIN/tool_load" --targets "127.0.0.1:$callers_port" --rate "$1" \
		--seconds "$2" --path /ordering/stock --orders 30 \
		--order-path /ordering/requisitions --timeout-ms 500
}

# start_recording POLICY: starts an entry host that records a trace, with a
# document of that policy in force.
start_recording() {
	trace=$WORK/$1.trace
	start_host 0 gs-a 1 "trace: {file: \"$trace\", max_bytes: 190000}"
	wait_http "127.0.0.1:$operators_port" /health || exit 1
	print_document "$1" >"$WORK/$1.yaml"
	base=$(test "$1" = shares && say 0 || say 1)
	curl -sf -o /dev/null -H "authorization: Bearer $TOKEN" \
		--data-binary "@$WORK/$1.yaml" \
		"127.0.0.1:$operators_port/v1/document?base=$base&author=trace" ||
		exit 1
	wait_document 1 || exit 1
}

# check_recording POLICY: stops the host. Its trace must replay to the same
# decisions and to outcomes within the limits for that policy in tests/traces/.
check_recording() {
	kill -TERM "$pid_entry0"
	wait "$pid_entry0"
	# The share of calls that complete depends on the speed of the machine.
	grep -v completed_percent "$TESTS/traces/$1.outcomes" >"$WORK/outcomes"
	expect_replay 0 "as recorded" --outcomes "$WORK/outcomes" "$trace"
	test -z "$TRACE_DIRECTORY" || cp "$trace" "$TRACE_DIRECTORY/"
}

start_platform || exit 1
start_servers ordering 0 6 2 gs-a,gs-b 5000 || exit 1

start_recording shares
run_load 60 0.6
server_control 1 '{"fail_fast":true}'
server_control 2 '{"factor":20.0}'
run_load 60 1
check_recording shares

server_control 1 '{"fail_fast":false}'
server_control 2 '{"factor":1.0}'
start_recording probes
run_load 30 0.5
server_control 0 '{"draining":true}'
run_load 40 1.5
check_recording probes

for outcomes in "$TESTS"/traces/*.outcomes; do
	expect_replay 0 "as recorded" --outcomes "$outcomes" \
		"${outcomes%.outcomes}.trace"
done

# An error in a file is reported with its line and field, a trace with a changed
# decision as a difference.
recorded=$TESTS/traces/shares.trace
sed '3s/"now_us":[0-9]*/"now_us":-1/' "$recorded" >"$WORK/bad"
expect_replay 3 "line 3: now_us: must be a whole number" "$WORK/bad"
sed '0,/"act":"send"/s/"server":[0-9]*/"server":77/' "$recorded" >"$WORK/bad"
expect_replay 6 "replayed" "$WORK/bad"
head -c 5000 "$recorded" >"$WORK/bad"
expect_replay 3 "not JSON" "$WORK/bad"
say '{recorded: "x", outcomes: {calls_min: many}}' >"$WORK/bad"
expect_replay 3 "line 1: calls_min" --outcomes "$WORK/bad" "$recorded"
say '{recorded: "x", outcomes: {calls_min: 100000}}' >"$WORK/bad"
expect_replay 6 "FAILS calls_min" --outcomes "$WORK/bad" "$recorded"

report_failures
