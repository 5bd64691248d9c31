#!/bin/bash
# Untrusted callers with large, endless or unfinished requests. Guards against a host whose
# memory grows with what callers send, against bodies that are held several times, against
# answers that such callers cannot read, and against ordinary callers that get none.
set -u
PORT_BASE=${PORT_BASE:-24100}
. "$(dirname "$0")/lib_platform.sh"
MB=$((1 << 20)) CALLERS=24
# 24 MB for bodies, 60 % of the memory; the rest of the bound is for buffers of sockets and
# of one read, and for what the build with sanitizers adds.
MEMORY_MB=40 BUDGET_KB=$((24 << 10)) SLACK_KB=$((16 << 10))
BODY_LIMIT=$((8 * MB)) HEAD_LIMIT=16384
export ASAN_OPTIONS=quarantine_size_mb=1:allocator_release_to_os_interval_ms=0:malloc_context_size=2:${ASAN_OPTIONS:-}

status_kb() { awk -v name="$1:" '$1 == name { print $2 }' "/proc/$pid_entry0/status"; }
descriptors() { find "/proc/$pid_entry0/fd" -mindepth 1 2>/dev/null | wc -l; }
held_bytes() { curl -s -m 5 "127.0.0.1:$metrics_port/metrics" | sed -n 's/^jackdawworks_request_bytes_held //p'; }
holds_nothing() { test "$(held_bytes)" = 0; }
answers() { host_answers 0 /desk/a; }
few_descriptors() { test "$(descriptors)" -le "$few"; }

# send_all KIND COUNT BYTES SECONDS: plays these callers; their ends are in "ends".
send_all() { "$BIN/tool_bodies" send "127.0.0.1:$callers_port" "$@" >"$WORK/ends" 2>&1; }
ends() { sort "$WORK/ends" | uniq -c | tr -s ' \n' ' ,'; }
# all_end PATTERN: whether each caller ended that way.
all_end() { test -s "$WORK/ends" && ! grep -qvxE "$1" "$WORK/ends"; }
# check_host CASE: what holds after every case. The peak is that of this host so far.
check_host() {
	peak=$(status_kb VmHWM)
	say "$1: peak $peak kB of $bound, ends:$(ends)"
	check "$1: the host has ended" kill -0 "$pid_entry0"
	check "$1: the peak of the memory is $peak kB, more than $bound" test "${peak:-$bound$bound}" -le "$bound"
	check "$1: $(descriptors) descriptors stay open, more than $few" within 15 few_descriptors
	check "$1: an ordinary request is not answered" within 5 answers
	check "$1: $(held_bytes) bytes are still held" within 5 holds_nothing
}
# play CASE PATTERN KIND COUNT BYTES SECONDS: one case at a new host.
play() {
	start_bounded_host
	send_all "${@:3}" &
	local callers=$!
	# While callers stay, others get answers.
	sleep 1
	check "$1: an ordinary request beside it is not answered" within 5 answers
	wait $callers
	check_host "$1"
	check "$1: callers end otherwise than \"$2\"" all_end "$2"
	kill_process entry0
}
start_bounded_host() {
	start_followers 0
	within 5 answers || fail "no ordinary request is answered"
	bound=$(($(status_kb VmHWM) + BUDGET_KB + SLACK_KB))
	few=$(($(descriptors) + 8))
}

start_platform || exit 1
start_process server0 "$BIN/tool_bodies" server "127.0.0.1:$servers_port" s0
put_server 0 ready || fail "the store did not take the row of the server"
limits='"max-body-bytes":'$BODY_LIMIT',"max-header-bytes":'$HEAD_LIMIT',"header-timeout-s":2,"idle-timeout-s":3'
# A large body takes longer than the usual two seconds on a busy machine.
long_route=$(print_route long /long/ unsafe desk | sed 's/"timeout-s":2/"timeout-s":20/')
put_manifest 1 "$(print_route r /desk/ unsafe desk),$long_route" || fail "the store did not take the manifest"
memory_mb=$MEMORY_MB

gave_way='(503 retry|408 -) eof'
play "announced bodies, one byte short" "$gave_way" length-short $CALLERS $((4 * MB)) 20
play "chunked bodies, one byte short" "$gave_way" chunks-short $CALLERS $((4 * MB)) 20
play "chunks of one byte" '(503 retry|408 -) eof' tiny-short $CALLERS $((3 * MB)) 20
play "bodies above the limit, announced" '413 - eof' whole $CALLERS $((12 * MB)) 20
play "bodies above the limit, chunked" '(413 -|503 retry) eof' chunks $CALLERS $((12 * MB)) 20
play "bodies above the limit, with expect" '413 - eof' expect 4 $((12 * MB)) 20
play "bodies of permitted size" '(200 - (open|eof)|503 retry eof)' whole $CALLERS $((6 * MB)) 8
play "bodies byte by byte" '408 - eof' slow-body 8 $MB 30
play "many headers" '400 - eof' head-many $CALLERS $MB 10
play "a long header" '413 - eof' head-long $CALLERS $MB 10
play "a head byte by byte" '408 - eof' head-slow 8 $HEAD_LIMIT 10
play "endless trailers" '(408|413|400) - eof' trailers 4 $((1 << 40)) 25

play "a head in frames" 'none - (eof|reset)' head-frames 8 $((64 * MB)) 10

play "streams of a connection" 'none - (eof|reset)' streams 8 0 10

start_bounded_host
head -c $((3 * MB)) /dev/zero >"$WORK/body"
curl -s --http2-prior-knowledge -o "$WORK/taken" -H 'Host: x.example' -H 'Deadline-Ms: 20000' \
	-H 'Attempt-Id: stream' --data-binary "@$WORK/body" "127.0.0.1:$callers_port/long/a"
check_host "a body over HTTP/2"
check "a body over HTTP/2 came as \"$(cat "$WORK/taken")\"" grep -qx $((3 * MB)) "$WORK/taken"
kill_process entry0

# A caller that leaves while its body, which may not be sent twice, is on its way.
start_bounded_host
"$BIN/tool_bodies" send "127.0.0.1:$callers_port" leave 4 $((5 * MB)) 3 >"$WORK/ends" 2>&1
check_host "callers that leave"
kill_process entry0

# Over TLS, where the host sees a request only after h2o has it.
openssl req -x509 -newkey rsa:2048 -nodes -days 2 -subj /CN=host \
	-keyout "$WORK/host.key" -out "$WORK/host.pem" 2>/dev/null || fail "no certificate was made"
CALLERS_TLS="certificate: $WORK/host.pem, key: $WORK/host.key" start_follower 0
wait_ready 0 || fail "the host with TLS is not ready"
head -c $((12 * MB)) /dev/zero >"$WORK/large"
# tls_status FILE [CURL-OPTIONS]: prints the status of the answer to a body over TLS.
tls_status() {
	curl -s -k -m 10 -o /dev/null -w '%{http_code}' -H 'Host: x.example' -H 'Deadline-Ms: 2000' \
		-H 'Attempt-Id: tls' --data-binary "@$1" "${@:2}" "https://127.0.0.1:$callers_port/desk/a"
}
check "over TLS, a body above the limit" test "$(tls_status "$WORK/large" --http1.1 -H Expect:)" = 413
check "over TLS, chunks above the limit" \
	test "$(tls_status "$WORK/large" --http1.1 -H Expect: -H 'Transfer-Encoding: chunked')" = 413
check "over TLS, a body" test "$(tls_status "$WORK/body" --http1.1)" = 200
check "over TLS and HTTP/2, a body" test "$(tls_status "$WORK/body" --http2)" = 200
check "the host with TLS has ended" kill -0 "$pid_entry0"
check "over TLS, $(held_bytes) bytes are still held" within 5 holds_nothing
kill_process entry0

# A body of 64 MB is held once. With sanitizers, memory that grows is copied.
limits='"max-body-bytes":67108864'
put_manifest 2 "$(print_route r /desk/ unsafe desk)" || fail "the store did not take the manifest"
memory_mb=112
start_bounded_host
bound=$((112 << 10))
grep -q __asan_init "$BIN/jackdawworks" && bound=$((3 * bound))
send_all whole 1 67108864 10
check_host "one body of 64 MB"
check "a body of 64 MB does not pass" all_end '200 - open'
report_failures
