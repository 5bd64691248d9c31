#!/bin/bash
# Broken servers, broken callers, slow readers and floods against one entry
# host: an answer is whole or visibly broken, and always the caller's own.
set -u
export ASAN_OPTIONS=quarantine_size_mb=8
. "$(dirname "$0")/lib.sh"

HOST=127.0.0.1:$callers_port
SLOW_READERS=20
MAX_MEMORY_GROWTH_KB=200000
FLOOD_CONNECTIONS=4300
MAX_CONNECTIONS=4096

http_status() { # CURL-ARGUMENTS... PATH: the status; the body is in $WORK/body
	curl -s -o "$WORK/body" -w '%{http_code}' --max-time 8 "${@:1:$#-1}" \
		"$HOST${!#}"
}

status_is() { test "$(http_status "${@:2}")" = "$1"; }

is_visibly_broken() { # VERSION PATH: the caller must notice
	! curl -s -o "$WORK/body" --max-time 8 "$1" "$HOST$2"
}

# send_raw TEXT SECONDS: what comes back to a request given byte by byte
send_raw() { printf "$1" | "$BIN/tool_raw" send "$HOST" "$2" | tr -d '\0'; }

raw_answer_has() { # PATTERN TEXT: an answer with PATTERN, then the end
	send_raw "$2" 8 >"$WORK/raw"
	grep -q "$1" "$WORK/raw" && grep -qE 'end=(eof|reset)' "$WORK/raw"
}

memory_kb() { awk '/VmRSS/ { print $2 }' "/proc/$pid_entry0/status"; }

# Connections that are open towards a port on loopback.
open_connections() {
	awk -v port="$(printf ':%04X' "$1")" \
		'$3 ~ port "$" && $4 == "01" { n++ } END { print n + 0 }' \
		/proc/net/tcp
}

raw_service() { # NAME CONNECTIONS ADDRESS...
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
	raw_service raw 200 127.0.0.1:$((servers_port + 90))
	raw_service few 5 127.0.0.1:$((servers_port + 93))
	raw_service deaf 200 127.0.0.1:$((servers_port + 92)) \
		127.0.0.1:$((servers_port + 91))
} >"$WORK/document.yaml"
wait_http "127.0.0.1:$operators_port" /health || exit 1
apply_document 0 "$WORK/document.yaml" 0 || exit 1
wait_document 1 || exit 1

# A connection without a request, or with half of one, must end by itself.
send_raw 'GET /raw/x HT' 15 >"$WORK/idle" &
idle=$!

for version in --http1.1 --http2-prior-knowledge --http1.0; do
	for name in short-length no-first-byte short-chunked cut-chunk \
		bad-chunk; do
		check "$version $name looks whole" \
			is_visibly_broken $version "/raw/$name"
	done
done
for name in no-length both-lengths two-lengths other-coding garbage nothing \
	half-head switch large-head; do
	check "$name is not a clear error" status_is 502 -X POST "/raw/$name"
done
check "1xx" status_is 200 /raw/informational
check "1xx body" test "$(cat "$WORK/body")" = whole
for name in 204 304; do
	check "$name" status_is $name$name "$HOST/raw/status-$name" \
		-o /dev/null "/raw/status-$name"
done
for version in --http1.1 --http2-prior-knowledge; do
	check "HEAD $version" status_is 200 $version -I /raw/head-only
	check "HEAD length" grep -qi '^content-length: 1000' "$WORK/body"
done

check "own date and server" status_is 200 -D "$WORK/head" /raw/dated
check "one date, one server" test \
	"$(grep -ciE '^(date|server):' "$WORK/head")" = 2

# Bytes behind an answer must not become the answer to another request.
for i in 1 2 3 4 5; do
	check "extra bytes" status_is 200 /raw/extra
	check "own answer" status_is 200 "/raw/own-$i"
	check "own body" test "$(cat "$WORK/body")" = "/raw/own-$i"
done
# An answer behind the deadline must not reach the next caller.
check "late" status_is 504 -H 'x-timeout-ms: 100' /raw/late-400
for i in $(seq 20); do
	{
		body=$(curl -s "$HOST/raw/late-$((i * 37 % 11 * 20))?$i")
		test "$body" = "/raw/late-$((i * 37 % 11 * 20))?$i" ||
			say "$body" >>"$WORK/foreign"
	} &
	parallel[i]=$!
done
wait "${parallel[@]}"
check "answers reach other callers" test ! -e "$WORK/foreign"

# A server's connections are limited; calls beyond them wait or go elsewhere.
for i in $(seq 12); do
	curl -s -o /dev/null "$HOST/few/late-100" &
	parallel[i]=$!
done
wait "${parallel[@]}"
opened=$(open_connections $((servers_port + 93)))
check "$opened connections" test "$opened" -ge 1 -a "$opened" -le 5

# A server that does not accept must cost less than the deadline.
for i in $(seq 10); do
	check "deaf server" status_is 200 "/deaf/$i"
done

HEAD='GET /raw/a HTTP/1.1\r\nhost: h\r\n'
LONG=$(head -c 40000 /dev/zero | tr '\0' a)
POST='POST /raw/a HTTP/1.1\r\nhost: h\r\n'
check "both lengths" raw_answer_has 'HTTP/1.1 400' \
	"${POST}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"
check "two lengths" raw_answer_has 'HTTP/1.1 400' \
	"${POST}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd"
check "bad chunk size" raw_answer_has 'HTTP/1.1 400' \
	"${POST}transfer-encoding: chunked\r\n\r\nzz\r\n"
check "bad length" raw_answer_has 'HTTP/1.1 400' \
	"${POST}content-length: -1\r\n\r\n"
check "garbage" raw_answer_has 'HTTP/1.1 400' '\026\003\001garbage\r\n\r\n'
check "large head" raw_answer_has 'HTTP/1.1 413' "${HEAD}a: $LONG\r\n\r\n"
check "endless head" raw_answer_has 'HTTP/1.1 400' \
	"$HEAD$(printf 'a%d: b\\r\\n' $(seq 200))\r\n"
head -c 5000000 /dev/zero >"$WORK/large"
check "large body" status_is 413 --data-binary "@$WORK/large" /raw/a
check "pipelined" raw_answer_has '^/raw/b$' \
	"${HEAD}\r\nHEAD /none HTTP/1.1\r\nhost: h\r\n\r\nGET /raw/b HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"
check "pipelined order" test "$(grep -c '^HTTP/1.1' "$WORK/raw") $(grep -aoE \
	'HTTP/1.1 [0-9]+|/raw/[ab]$' "$WORK/raw" | tr '\n' ' ')" = \
	"2 HTTP/1.1 200 HTTP/1.1 404 HTTP/1.1 200 /raw/b "

check "pipelined bodies" raw_answer_has '^/raw/c$' \
	"${POST}content-length: 1\r\n\r\nx${POST}transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\nGET /raw/c HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n"

# Slow readers: bounded memory, cut at the deadline, no harm to others.
before=$(memory_kb)
for i in $(seq $SLOW_READERS); do
	printf 'GET /raw/big HTTP/1.1\r\nhost: h\r\nx-timeout-ms: 4000\r\n\r\n' |
		"$BIN/tool_raw" slow "$HOST" 20 >"$WORK/slow$i" &
	slow[i]=$!
done
sleep 1
growth=$(($(memory_kb) - before))
check "memory grew by $growth kB" test $growth -lt $MAX_MEMORY_GROWTH_KB
for i in 1 2 3; do
	check "beside slow readers" status_is 200 /raw/beside
done
check "large answer" status_is 200 -H 'x-timeout-ms: 8000' /raw/big
check "large size" test "$(wc -c <"$WORK/body")" = $((64 << 20))
wait "${slow[@]}"
check "slow readers are cut" \
	test "$(grep -l 'end=reset' "$WORK"/slow* | wc -l)" = $SLOW_READERS

closed=$("$BIN/tool_raw" flood "$HOST" $FLOOD_CONNECTIONS)
check "flood: $closed closed" \
	test "$closed" -ge $((FLOOD_CONNECTIONS - MAX_CONNECTIONS))
check "after the flood" status_is 200 /raw/after
wait $idle
check "idle connection" grep -q 'end=eof' "$WORK/idle"

stop_host 0
check "stop: status $STATUS" test $STATUS = 0
test $failures = 0 || cat "$WORK/entry0.log"
say "failures: $failures"
test $failures = 0
