#!/bin/bash
# Broken servers, malformed requests, slow readers and connection floods against
# one entry host. Guards against truncated answers that look complete to the
# caller, answers that reach another caller, and unbounded memory or
# connections.
set -u
export ASAN_OPTIONS=quarantine_size_mb=8
. "$(dirname "$0")/lib.sh"

HOST=127.0.0.1:$callers_port
SLOW_READERS=20
MAX_ENDLESS_MS=1000
MAX_MEMORY_GROWTH_KB=200000
FLOOD_CONNECTIONS=4300
MAX_CONNECTIONS=4096

# http_status CURL-ARGUMENTS... PATH: prints the status. The body is in
# $WORK/body.
http_status() {
	curl -s -o "$WORK/body" -w '%{http_code}' --max-time 8 "${@:1:$#-1}" \
		"$HOST${!#}"
}

status_is() { test "$(http_status "${@:2}")" = "$1"; }

# is_visibly_broken VERSION PATH: whether curl reports the answer as incomplete
# or invalid. VERSION is an option of curl.
is_visibly_broken() {
	! curl -s -o "$WORK/body" --max-time 8 "$1" "$HOST$2"
}

# send_raw TEXT SECONDS: expands the escapes in TEXT and sends the bytes
# unchanged. Prints what comes back within the time, without null bytes.
send_raw() { printf "$1" | "$BIN/tool_raw" send "$HOST" "$2" | tr -d '\0'; }

# raw_answer_has PATTERN TEXT: whether TEXT is answered with PATTERN and the
# host then closes the connection.
raw_answer_has() {
	send_raw "$2" 8 >"$WORK/raw"
	grep -q "$1" "$WORK/raw" && grep -qE 'end=(eof|reset)' "$WORK/raw"
}

memory_kb() { awk '/VmRSS/ { print $2 }' "/proc/$pid_entry0/status"; }

# open_connections PORT: prints how many established connections to PORT there
# are.
open_connections() {
	awk -v port="$(printf ':%04X' "$1")" \
		'$3 ~ port "$" && $4 == "01" { n++ } END { print n + 0 }' \
		/proc/net/tcp
}

# print_raw_service NAME CONNECTIONS ADDRESS...: prints a service of the
# document with one server per address.
print_raw_service() {
	cat <<-END
	  - name: $1
	    route: /$1/
	    deadline_ms: 1000
	    longest_deadline_ms: 8000
	    retry_percent: 100
	    policy: random
	    measuring: {requests_per_s: 0, bytes_per_s: 0, cross_zone_bytes_per_s: 0}
	    servers:
	END
	n=0
	for address in "${@:3}"; do
		n=$((n + 1))
		say "      - {name: $1-$n, address: \"$address\", zone: z, slots: $2, connections: $2}"
	done
}

start_platform || exit 1
start_process raw "$BIN/tool_raw" server 127.0.0.1:$((servers_port + 90))
start_process raw2 "$BIN/tool_raw" server 127.0.0.1:$((servers_port + 92))
start_process raw3 "$BIN/tool_raw" server 127.0.0.1:$((servers_port + 93))
start_process deaf "$BIN/tool_raw" deaf 127.0.0.1:$((servers_port + 91))
start_host 0 z 1
{
	say "deployment: test"
	say "zones: [z]"
	say "services:"
	print_raw_service raw 200 127.0.0.1:$((servers_port + 90))
	print_raw_service few 5 127.0.0.1:$((servers_port + 93))
	print_raw_service deaf 200 127.0.0.1:$((servers_port + 92)) \
		127.0.0.1:$((servers_port + 91))
} >"$WORK/document.yaml"
wait_http "127.0.0.1:$operators_port" /health || exit 1
apply_document 0 "$WORK/document.yaml" 0 || exit 1
wait_document 1 || exit 1

# The host must close a connection that sends only part of a request.
send_raw 'GET /raw/x HT' 15 >"$WORK/idle" &
idle=$!

for version in --http1.1 --http2-prior-knowledge --http1.0; do
	for name in short-length short-chunked cut-chunk; do
		check "$version: answer $name is visibly broken" \
			is_visibly_broken $version "/raw/$name"
	done
	# Of these nothing has been passed on yet when it shows that the answer is
	# broken, when the server closes or at the deadline.
	for name in bad-chunk no-first-byte headed-hold-3000; do
		check "$version: answer $name becomes a 502" \
			status_is 502 $version -X POST -D "$WORK/head" "/raw/$name"
		check "$version: the 502 has headers of the server's answer" \
			test "$(grep -ci '^x-from-server' "$WORK/head")" = 0
	done
	check "$version: answer headed-hold-100 is whole" \
		status_is 200 $version "/raw/headed-hold-100"
	check "$version: the body of headed-hold-100 is whole" \
		test "$(cat "$WORK/body")" = 67890
done
for name in no-length both-lengths two-lengths other-coding garbage nothing \
	half-head switch large-head; do
	check "answer $name of the server becomes a 502" \
		status_is 502 -X POST "/raw/$name"
done
check "final answer after an informational one" status_is 200 /raw/informational
check "body after an informational answer" test "$(cat "$WORK/body")" = whole
for name in 204 304; do
	check "status $name is passed on" \
		status_is $name$name "$HOST/raw/status-$name" \
		-o /dev/null "/raw/status-$name"
done
for version in --http1.1 --http2-prior-knowledge; do
	check "HEAD over $version" status_is 200 $version -I /raw/head-only
	check "content-length of an answer to HEAD" \
		grep -qi '^content-length: 1000' "$WORK/body"
done

check "answer with date and server headers" \
	status_is 200 -D "$WORK/head" /raw/dated
check "date and server headers appear once each" test \
	"$(grep -ciE '^(date|server):' "$WORK/head")" = 2

# Bytes that follow a complete answer on the connection must not be taken as the
# answer to the next request.
for i in 1 2 3 4 5; do
	check "answer followed by extra bytes" status_is 200 /raw/extra
	check "call after an answer with extra bytes" \
		status_is 200 "/raw/own-$i"
	check "the body is that of the caller's request" \
		test "$(cat "$WORK/body")" = "/raw/own-$i"
done
# A server that writes an earlier refusal once more on its connection: a call that
# is run must not be taken as refused, and run again.
for i in $(seq 10); do
	check "refused call" status_is 503 -X POST /raw/refuse-stale
	check "call after a refusal" status_is 200 -X POST "/raw/hold-20-$i"
	runs=$(grep -c "^begin /raw/hold-20-$i$" "$WORK/raw.out")
	check "a call after a refusal ran $runs times" test "$runs" = 1
done
# An answer that arrives after the deadline must not reach the next caller.
check "answer after the deadline" \
	status_is 504 -H 'x-timeout-ms: 100' /raw/late-400
for i in $(seq 20); do
	{
		body=$(curl -s "$HOST/raw/late-$((i * 37 % 11 * 20))?$i")
		test "$body" = "/raw/late-$((i * 37 % 11 * 20))?$i" ||
			say "$body" >>"$WORK/foreign"
	} &
	parallel[i]=$!
done
wait "${parallel[@]}"
check "no answer reached another caller" test ! -e "$WORK/foreign"

# An answer in chunks that breaks off, or that the host ends at the deadline: what the
# caller got are whole chunks and nothing else, in particular no sign of the HTTP library
# that is no chunk, and the connection ends.
for name in short-chunked chunk-hold-3000; do
	send_raw "POST /raw/$name HTTP/1.1\\r\\nhost: h\\r\\nx-timeout-ms: 800\\r\\ncontent-length: 0\\r\\n\\r\\n" 8 |
		tr -d '\r' >"$WORK/raw"
	body=$(sed '1,/^$/d' "$WORK/raw" | tr '\n' ' ')
	grep -q ' 200 ' "$WORK/raw" || body="5 12345  end=eof "
	check "a broken answer ($name) ends as \"$body\"" \
		test "$body" = "5 12345  end=eof "
done

# Bytes without end where an answer is due, in the framing of an answer and after
# one. The call must end at once, not at its deadline, and the next one must get
# its own answer.
for version in --http1.1 --http2-prior-knowledge; do
	for name in blank interim reason head value garbage size extension \
		trailer trailer-value refusal tail; do
		begin_ms=$(date +%s%3N)
		took=$(curl -s -o "$WORK/body" -w '%{time_total}' --max-time 8 \
			$version -H 'x-timeout-ms: 6000' -X POST \
			"$HOST/raw/endless-$name")
		with_curl_ms=$(($(date +%s%3N) - begin_ms))
		took_ms=$((10#${took/./} / 1000))
		check "$version: $took_ms ms for a call with endless $name bytes, $with_curl_ms ms with the start of curl" \
			test $took_ms -lt $MAX_ENDLESS_MS
		check "call after endless $name bytes" status_is 200 /raw/own-e
		check "the body is that of the caller's request" \
			test "$(cat "$WORK/body")" = /raw/own-e
	done
done

# The connections to a server are limited to those in the document. Calls beyond
# them wait or go to another server.
for i in $(seq 12); do
	curl -s -o /dev/null "$HOST/few/late-100" &
	parallel[i]=$!
done
wait "${parallel[@]}"
opened=$(open_connections $((servers_port + 93)))
check "$opened connections to a server with a limit of 5" \
	test "$opened" -ge 1 -a "$opened" -le 5

# A call whose first attempt goes to a server that does not accept connections
# must still be answered before its deadline.
for i in $(seq 10); do
	check "call beside a server that does not accept" \
		status_is 200 "/deaf/$i"
done

HEAD='GET /raw/a HTTP/1.1\r\nhost: h\r\n'
LONG=$(head -c 40000 /dev/zero | tr '\0' a)
POST='POST /raw/a HTTP/1.1\r\nhost: h\r\n'
check "request with content-length and transfer-encoding" \
	raw_answer_has 'HTTP/1.1 400' \
	"${POST}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
check "request with two content-length headers" raw_answer_has 'HTTP/1.1 400' \
	"${POST}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd"
check "request with an invalid chunk size" raw_answer_has 'HTTP/1.1 400' \
	"${POST}transfer-encoding: chunked\r\n\r\nzz\r\n"
check "request with a negative content-length" raw_answer_has 'HTTP/1.1 400' \
	"${POST}content-length: -1\r\n\r\n"
check "request that is not HTTP" \
	raw_answer_has 'HTTP/1.1 400' '\026\003\001garbage\r\n\r\n'
check "request with a header of 40000 bytes" \
	raw_answer_has 'HTTP/1.1 413' "${HEAD}a: $LONG\r\n\r\n"
check "request with 200 headers" raw_answer_has 'HTTP/1.1 400' \
	"$HEAD$(printf 'a%d: b\\r\\n' $(seq 200))\r\n"
head -c 5000000 /dev/zero >"$WORK/large"
check "request body of 5000000 bytes" \
	status_is 413 --data-binary "@$WORK/large" /raw/a
check "pipelined requests" raw_answer_has '^/raw/b$' \
	"${HEAD}\r\nHEAD /none HTTP/1.1\r\nhost: h\r\n\r\nGET /raw/b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
check "order of the answers to pipelined requests" \
	test "$(grep -c '^HTTP/1.1' "$WORK/raw") $(grep -aoE \
	'HTTP/1.1 [0-9]+|/raw/[ab]$' "$WORK/raw" | tr '\n' ' ')" = \
	"2 HTTP/1.1 200 HTTP/1.1 404 HTTP/1.1 200 /raw/b "

check "pipelined requests with bodies" raw_answer_has '^/raw/c$' \
	"${POST}content-length: 1\r\n\r\nx${POST}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nGET /raw/c HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"

# Callers that do not read their answers: memory stays bounded, their
# connections are reset at the deadline, and other calls are served.
before=$(memory_kb)
for i in $(seq $SLOW_READERS); do
	printf 'GET /raw/big HTTP/1.1\r\nhost: h\r\nx-timeout-ms: 4000\r\n\r\n' |
		"$BIN/tool_raw" slow "$HOST" 20 >"$WORK/slow$i" &
	slow[i]=$!
done
sleep 1
growth=$(($(memory_kb) - before))
check "memory growth of $growth kB with slow readers" \
	test $growth -lt $MAX_MEMORY_GROWTH_KB
for i in 1 2 3; do
	check "call beside slow readers" status_is 200 /raw/beside
done
check "answer of 64 MiB" status_is 200 -H 'x-timeout-ms: 8000' /raw/big
check "size of the answer of 64 MiB" \
	test "$(wc -c <"$WORK/body")" = $((64 << 20))
wait "${slow[@]}"
check "connections of slow readers are reset" \
	test "$(grep -l 'end=reset' "$WORK"/slow* | wc -l)" = $SLOW_READERS

closed=$("$BIN/tool_raw" flood "$HOST" $FLOOD_CONNECTIONS)
check "$closed of $FLOOD_CONNECTIONS flooding connections closed" \
	test "$closed" -ge $((FLOOD_CONNECTIONS - MAX_CONNECTIONS))
check "call after the flood" status_is 200 /raw/after
wait $idle
check "connection with part of a request is closed" \
	grep -q 'end=eof' "$WORK/idle"

stop_host 0
check "exit status $STATUS of the host" test $STATUS = 0
test $failures = 0 || cat "$WORK/entry0.log"
report_failures
