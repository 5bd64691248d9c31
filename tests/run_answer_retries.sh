#!/bin/bash
# Guards against bytes of two attempts in one answer, and an end that looks like the end
# of a whole answer, for calls that may be sent more than once: to servers that fail,
# stall or answer late, beside a hedge, and with answers that are larger than the buffer.
# Guards as well against a body after a head that has none. Compares bytes on the wire.
set -u
PORT_BASE=${PORT_BASE:-25600}
. "$(dirname "$0")/lib_wire.sh"
PREFIX=safe
# A late half comes well before it, on a busy machine too; a stalled one after it.
DEADLINE_MS=1800 QUIET_S=3
BIG="[200] big-300000-300000"
CUT="[200] big-part"
keep="Connection: keep-alive"

# expect_ok WHAT HOST NAME: the call and the next one have their answers, with a length.
expect_ok() {
	expect "$1" "$NEXT $NEXT end=timeout" "$2" 1.1 "$3"
	expect "$1" "$NEXT end=eof" "$2" 1.0 "$3"
	expect "$1" "$NEXT $NEXT end=timeout" "$2" 1.0 "$3" "$keep"
}
# expect_error WHAT HOST STATUS NAME: an error of the host, then the next answer.
expect_error() {
	expect "$1" "[$3] error $NEXT end=timeout" "$2" 1.1 "$4"
	expect "$1" "[$3] error end=eof" "$2" 1.0 "$4"
	expect "$1" "[$3] error $NEXT end=timeout" "$2" 1.0 "$4" "$keep"
}

# either WANTED REST ERROR-REST: the call has the answer WANTED and then REST. Or, as
# retries are limited, an error and then ERROR-REST.
either() {
	printf '%s|' "$1 $2" "[502] error $3" "[504] error $3"
}
# expect_retried WHAT HOST NAME: the answer to the second attempt has a length.
expect_retried() {
	expect "$1" "$(either "$NEXT" "$NEXT end=timeout" "$NEXT end=timeout")" "$2" 1.1 "$3"
	expect "$1" "$(either "$NEXT" end=eof end=eof)" "$2" 1.0 "$3"
	expect "$1" "$(either "$NEXT" "$NEXT end=timeout" "$NEXT end=timeout")" "$2" 1.0 "$3" "$keep"
}
# expect_chunks_retried WHAT HOST NAME: it has none.
expect_chunks_retried() {
	expect "$1" "$(either "[200] whole-chunks" "$NEXT end=timeout" "$NEXT end=timeout")" "$2" 1.1 "$3"
	expect "$1" "$(either "$NEXT" end=eof end=eof)" "$2" 1.0 "$3"
	expect "$1" "$(either "$NEXT" end=eof "$NEXT end=timeout")" "$2" 1.0 "$3" "$keep"
}
# expect_retries WHAT HOST: the first attempt fails before its answer is complete.
expect_retries() {
	local way
	for way in length-{fin,rst,stall,late,latehalf} close-{rst,stall} \
		chunks-{fin,rst,bad,stall} {500,503}-{length,chunks}-fin; do
		expect_retried "$1" "$2" $way+length-whole
	done
	for way in length-fin chunks-{fin,rst,bad,stall,late,latehalf} close-{rst,stall,late}; do
		expect_chunks_retried "$1" "$2" $way+chunks-whole
		expect_chunks_retried "$1" "$2" $way+close-whole
	done
	# Without a retry the failure itself is passed on.
	for way in 500 503; do
		expect "$1" "$NEXT $NEXT end=timeout|[$way] 1234567890 $NEXT end=timeout" \
			"$2" 1.1 $way-length-whole+length-whole
		expect "$1" "$NEXT end=eof|[$way] 1234567890 end=eof" \
			"$2" 1.0 $way-chunks-whole+close-whole
	done
}
# expect_failures WHAT HOST: all attempts fail.
expect_failures() {
	local way status
	for way in length-{fin,rst} chunks-{fin,rst,bad} close-rst {500,503}-{length,chunks}-fin; do
		expect_error "$1" "$2" 502 $way
	done
	for way in length-stall chunks-stall close-stall 500-chunks-stall; do
		expect_error "$1" "$2" 504 $way
	done
	for status in 500 503; do
		expect "$1" "[$status] 1234567890 $NEXT end=timeout" "$2" 1.1 $status-length-whole
		expect "$1" "[$status] whole-chunks $NEXT end=timeout" "$2" 1.1 $status-chunks-whole
		expect "$1" "[$status] whole-chunks $NEXT end=timeout" "$2" 1.1 $status-close-whole
		expect "$1" "[$status] 1234567890 end=eof" "$2" 1.0 $status-chunks-whole "$keep"
	done
}
# expect_big WHAT HOST: answers that begin before they are complete.
expect_big() {
	local way
	for way in whole pieces latehalf twice latetwice extra; do
		expect "$1" "$BIG $NEXT end=timeout" "$2" 1.1 biglength-$way
		expect "$1" "$BIG 0 $NEXT end=timeout" "$2" 1.1 bigchunks-$way
		expect "$1" "$BIG end=eof" "$2" 1.0 bigchunks-$way "$keep"
	done
	for way in whole pieces latehalf; do
		expect "$1" "$BIG 0 $NEXT end=timeout" "$2" 1.1 bigclose-$way
		expect "$1" "$BIG end=eof" "$2" 1.0 bigclose-$way "$keep"
	done
	# One that breaks off before it has begun is retried.
	for way in length-{fin,rst,stall} chunks-{fin,rst,bad,stall} close-{rst,stall}; do
		expect "$1" "$CUT end=eof|$(either "$BIG" "$NEXT end=timeout" "$NEXT end=timeout")" \
			"$2" 1.1 big$way+biglength-whole
	done
	for way in chunks-{fin,rst,bad,stall} close-{rst,stall}; do
		expect "$1" "$CUT end=reset|$(either "$BIG" end=eof end=eof)" \
			"$2" 1.0 big$way+bigclose-whole
		expect "$1" "$CUT end=reset|$(either "$BIG" end=eof "$NEXT end=timeout")" \
			"$2" 1.0 big$way+bigclose-whole "$keep"
	done
}
# expect_no_body WHAT HOST NAMES: heads that no body follows. Those to 304 and to HEAD may
# name a length, so any bytes after them are the fault of the server in the ways NAMES.
expect_no_body() {
	local name
	for name in bare-whole headed-whole length-whole chunks-whole length-twice; do
		expect "$1" "[204] $NEXT end=timeout" "$2" 1.1 204-$name
	done
	for name in $3; do
		expect "$1" "[304] $NEXT end=timeout" "$2" 1.1 304-$name
	done
	METHOD=HEAD
	for name in $3; do
		expect "$1" "[200] $NEXT end=timeout" "$2" 1.1 $name
	done
	METHOD=POST
}
# expect_stray WHAT HOST NAMES: bytes after an answer that are none.
expect_stray() {
	local name
	for name in $3; do
		expect_ok "$1" "$2" $name
	done
}

start_answers "$(print_route safe /safe/ safe desk),$(print_route order /order/ unsafe desk)"
for how in expect_retries expect_failures expect_big; do
	$how "idempotent call" 0
	compare_all
done
check "no answer had begun" grep -q big-part "$WORK"/wire*
expect_no_body "idempotent call" 0 "bare-whole headed-whole length-whole chunks-whole length-twice"
expect_stray "idempotent call" 0 "length-extra length-lateextra"
compare_all
for why in retry hedge; do
	check "no $why" grep -q '"why":"'$why'"' "$WORK/entry0.log"
done
# Not for orders: stray bytes, which may end the next call on that connection to the
# server, and it is not sent again.
PREFIX=order
expect_no_body "order" 0 "bare-whole headed-whole"
compare_all

start_cut_off_host
PREFIX=safe
for how in expect_failures expect_big; do
	$how "idempotent call through another host" 3
	compare_all
done
expect_no_body "idempotent call through another host" 3 "bare-whole headed-whole"
compare_all

report_failures
