#!/bin/bash
# Guards against bytes that are no answer but reach a caller as one: a status that is
# none, a blank or a control character in the name of a field, framing that can be read
# in two ways. Guards as well against an odd but legal answer that is not served. Compares
# the bytes on the wire, both those to the caller and those to the server.
set -u
PORT_BASE=${PORT_BASE:-28000}
. "$(dirname "$0")/lib_wire.sh"
ANSWERS_TOOL=tool_odd_answers
SERVERS=150
WHOLE="[200] whole-chunks"

names() { "$BIN/tool_odd_answers" list "$1"; }
# in_chunks NAME: whether a good answer has no length.
in_chunks() { case $1 in chunk* | trailer) return 0 ;; esac; return 1; }

# expect_good WHAT HOST
expect_good() {
	local name
	for name in $(names good); do
		if in_chunks "$name"; then
			expect "$1" "$WHOLE $NEXT end=timeout" "$2" 1.1 "$name"
		else
			expect "$1" "$NEXT $NEXT end=timeout" "$2" 1.1 "$name"
		fi
		expect "$1" "$NEXT end=eof" "$2" 1.0 "$name"
	done
}
# expect_no_answer WHAT HOST: the call fails, and what came does not touch the next one.
expect_no_answer() {
	local name
	for name in $(names head); do
		expect "$1" "[502] error $NEXT end=timeout" "$2" 1.1 "$name"
		expect "$1" "[502] error end=eof" "$2" 1.0 "$name"
	done
}
# expect_cut WHAT HOST: the caller has a part, and sees that it is one.
expect_cut() {
	local name
	for name in $(names body); do
		expect "$1" "[200] 5 12345 end=eof" "$2" 1.1 "$name"
		expect "$1" "[200] 12345 end=reset|[200] 1234567890 end=reset" "$2" 1.0 "$name"
	done
}
# expect_retried WHAT HOST: the caller of a call that may be repeated has the second
# answer or, as retries are limited, an error.
expect_retried() {
	local name
	for name in $(names head) $(names body); do
		expect "$1" "[200] second $NEXT end=timeout|[502] error $NEXT end=timeout" \
			"$2" 1.1 "$name+second"
	done
}
# check_orders: each order was sent once, in these bytes.
check_orders() {
	grep -a '^[a-z]*POST /order/' "$WORK/servers.out" |
		sed 's/^abc//' >"$WORK/orders"
	sed 's/.*|attempt-id: \([^|]*\)|.*/\1/' "$WORK/orders" | sort | uniq -d >"$WORK/twice"
	check "sent twice: $(cat "$WORK/twice")" test ! -s "$WORK/twice"
	check "odd request: $(grep -avE "$ORDER" "$WORK/orders" | head -3)" \
		test -z "$(grep -avE "$ORDER" "$WORK/orders")"
	check "no order" test -s "$WORK/orders"
}
# check_field NAME FIELD WANTED: the caller of that answer gets this field, byte for byte.
check_field() {
	local came
	came=$(curl -s -i -X POST -d abc -H 'Host: x.example' -H "Attempt-Id: field-$1" \
		-H 'Deadline-Ms: 900' "127.0.0.1:$callers_port/order/$1" |
		tr -d '\r' | grep -a -i "$2")
	check "$1: field \"$came\", expected \"$3\"" test "$came" = "$3"
}
# check_callers WHAT URL EXITS OPTION...: all answers, as curl with these options gets them.
# EXITS are its right exit statuses for a part of an answer.
check_callers() {
	local kind name came wanted who=$1 url=$2 exits=$3
	shift 3
	for kind in good head body; do
		for name in $(names $kind); do
			came=$(curl -s -m 5 "$@" -X POST -d abc -H 'Host: x.example' \
				-H "Attempt-Id: ${who##* }-$name" -H 'Deadline-Ms: 900' \
				-w ' %{http_code} %{exitcode}' "$url/order/$name" |
				sed 's/^{"error".*}/error/' | tr -d '\n')
			case $kind in
			good) wanted="1234567890 200 0" ;;
			head) wanted="error 502 0" ;;
			body) wanted="12345 200 ${exits%|*}|12345 200 ${exits#*|}" ;;
			esac
			check "$who, $name: \"$came\", expected \"$wanted\"" is_wanted "$came" "$wanted"
		done
	done
}

start_answers "$(print_route safe /safe/ safe desk),$(print_route order /order/ unsafe desk)"
# The order of the fields that a caller sends is not kept.
ORDER='^POST /order/[-a-z0-9]+ HTTP/1.1\|((host: x.example|attempt-id: [-a-z0-9]+|user-agent: [^|]*|accept: [^|]*|content-type: [^|]*)\|){2,5}deadline-ms: [0-9]+\|expect-instance: s[0-9]+\|content-length: 3\|\|(abc)?$'
for how in expect_good expect_no_answer expect_cut; do
	$how "order" 0
	compare_all
done
check_field folded x-odd: "x-odd: a b"
check_field colon-blank x-odd "x-odd: a b"
check_field value-blanks x-odd: "x-odd: 1"
check_field value-empty x-odd: "x-odd: "
check_field value-obs x-odd: "$(printf 'x-odd: \303\204 \t"a\\"')"
check_field name-token "09az:" "!#\$%&'*+-.^_\`|09az: 1"
check_field interim x-odd ""
check_field trailer x-odd ""
calm_down
# 92: the stream ended with an error.
check_callers "caller over http2" "http://127.0.0.1:$callers_port" "92" --http2-prior-knowledge
calm_down
openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=host \
	-addext "subjectAltName=IP:127.0.0.1" -keyout "$WORK/host.key" \
	-out "$WORK/ca.pem" 2>/dev/null
cp "$WORK/ca.pem" "$WORK/host.pem"
CALLERS_TLS="certificate: $WORK/host.pem, key: $WORK/host.key" start_follower 1
wait_ready 1 || fail "host 1 is not ready"
# 18: the answer is not whole. 56: the connection ended with an error.
check_callers "caller over tls" "https://127.0.0.1:$((callers_port + 1))" "18|56" \
	--http1.1 --cacert "$WORK/ca.pem"
calm_down
PREFIX=safe
expect_retried "idempotent call" 0
compare_all
check "no retry" grep -q '"why":"retry"' "$WORK/entry0.log"

PREFIX=order
calm_down
start_cut_off_host
for how in expect_good expect_no_answer expect_cut; do
	$how "order through another host" 3
	compare_all
	calm_down
done
check_orders
report_failures
