#!/bin/bash
# Faulty servers send bytes without end, at full speed, on the platform's way. Guards
# against a host that keeps them: its memory must stay below what the smallest host of
# the platform has, however its callers read, and calls beside must be served. They
# come as answers to calls, to hedged attempts, to health checks, and by another host.
set -u
# The sanitizer holds freed memory, and pads what is in use.
export ASAN_OPTIONS=quarantine_size_mb=1:thread_local_quarantine_size_kb=64:max_redzone=32
PORT_BASE=${PORT_BASE:-30000}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=3
MAX_MEMORY_KB=160000 # memory-mb of the smallest hosts
CROWD=900 # callers that read nothing, at the same time
SLOTS=900 # of a server, so that all of them are served at the same time
KINDS="blank interim garbage reason fields value body length chunks chunk-size
	trailer tail refusal failure"

peak_kb() { awk '/VmHWM/ { print $2 }' "/proc/$1/status"; }
# call_raw HOST PATH ID: the text of a call.
call_raw() {
	printf 'GET %s HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: %s\r\nDeadline-Ms: 2000\r\n\r\n' \
		"$1" "$2"
}
# call_all HOST PATH ID: three calls, whose callers read all, slowly and nothing. Adds
# their processes to "callers".
call_all() {
	local address=127.0.0.1:$((callers_port + $1))
	call_raw "$2" "all-$3" | "$BIN/tool_raw" send "$address" 3 >/dev/null &
	callers="$callers $!"
	call_raw "$2" "none-$3" | "$BIN/tool_raw" slow "$address" 3 >/dev/null &
	callers="$callers $!"
	curl -s -m 3 --limit-rate 50k -o /dev/null -H 'Host: x.example' \
		-H 'Deadline-Ms: 2000' -H "Attempt-Id: slow-$3" \
		"http://$address$2" &
	callers="$callers $!"
}
# flood HOST PATHS KINDS: calls to each answer, on each path.
flood() {
	local kind path
	callers=
	for kind in $3; do
		for path in $2; do
			call_all "$1" "$path$kind" "$1$path$kind"
		done
	done
	wait $callers
}
# check_hosts WHEN: memory of all hosts, and whether they serve calls.
check_hosts() {
	local i pid peak
	for i in 0 1; do
		eval "pid=\$pid_entry$i"
		peak=$(peak_kb "$pid")
		say "host $i, $1: peak of $peak kB"
		check "host $i took $peak kB of memory: $1" \
			test "${peak:-$MAX_MEMORY_KB}" -lt $MAX_MEMORY_KB
		check "host $i serves nothing: $1" within 5 \
			test "$(call_host "$i" /desk/a "sound$RANDOM")" = "ok 200"
	done
}

start_platform || exit 1
for s in $(seq 0 $((SERVERS - 1))); do
	start_process "server$s" "$BIN/tool_endless" \
		"127.0.0.1:$((servers_port + s))" "s$s" "$WORK/health" "$WORK/cut"
	wait_http "127.0.0.1:$((servers_port + s))" /health
	put_row servers "s$s" '{"service":"desk","address":"127.0.0.1:'$((servers_port + s))'","zone":"gs-a","version":"v1","slots":'$SLOTS',"state":"ready","warmup-left-s":0,"sequence":1}' ||
		fail "the store did not take server $s"
done
max_connections=20000 put_manifest 1 "$(print_route desk /desk/ safe desk),$(print_route order /order/ unsafe desk)" ||
	fail "the store did not take the manifest"
start_follower 0
server_source=127.0.0.2 start_follower 1
for i in 0 1; do wait_ready "$i" || fail "host $i is not ready"; done
sleep 2
# Hedges need to know how long a call usually takes.
for i in 0 1; do
	for n in $(seq 12); do
		call_host "$i" /desk/a "first-$i-$n" >/dev/null
	done
done
check_hosts "before"

# One at a time: a server that others wait for gets no hedge.
for kind in body failure; do
	call_host 0 "/desk/late-$kind" "hedged-$kind" -o /dev/null >/dev/null
done
hedges=$(grep -c '"why":"hedge"' "$WORK/entry0.log")
check "no attempt was hedged" test "$hedges" -gt 0
check_hosts "endless answers to hedged attempts"

flood 0 "/desk/ /desk/late- /order/ /order/late-" "$KINDS"
check_hosts "endless answers"

for path in /desk/length /order/chunks; do
	call_raw "$path" crowd-%d |
		"$BIN/tool_raw" crowd "127.0.0.1:$callers_port" $CROWD
	check_hosts "$CROWD callers of $path that read nothing"
done

for kind in $KINDS; do
	say "$kind" >"$WORK/health"
	for n in 1 2 3 4; do
		call_host 0 /desk/a "health-$kind-$n" -o /dev/null >/dev/null &
		calls="${calls:-} $!"
	done
	wait $calls
	calls=
done
rm "$WORK/health"
sleep 1
check_hosts "endless health checks"

# Host 1 reaches no server and passes its calls to host 0.
say >"$WORK/cut"
passed() {
	call_host 1 /desk/a "passed-$RANDOM" -o /dev/null >/dev/null
	grep -q '"event":"forward"' "$WORK/entry1.log"
}
check "host 1 passes no call on" within 8 passed
flood 1 "/desk/ /order/" "$KINDS"
check_hosts "endless answers by another host"
check "host 1 passed no endless answer on" \
	grep -q '"event":"forward","id":"all-1/desk/body' "$WORK/entry1.log"
say "$hedges hedged attempts; $(cat "$WORK"/server?.out | wc -l) answers without end,$(
	cat "$WORK"/server?.out | awk '{ n += $2; if ($2 > m) m = $2 } END { printf " %d MB, the longest %d MB", n / 1024, m / 1024 }')"
report_failures
