#!/bin/bash
# Callers over HTTP/1.0 that read an answer without a length late. Guards against a part of
# it that looks whole: given up by the host, which then closes the connection, or cut when
# the host is killed, while its last bytes still wait in the host. And callers over HTTP/2
# that read nothing of their connection: a reset of their stream would wait with the rest.
set -u
PORT_BASE=${PORT_BASE:-20900}
. "$(dirname "$0")/lib.sh"
HUGE=$((64 << 20)) STEP=$((16 << 10)) SIZES=40 FITTING=5

# ask_late NAME BYTES TIMEOUT_MS: opens descriptor NAME and asks for an answer.
ask_late() {
	eval "exec $1<>/dev/tcp/127.0.0.1/$callers_port"
	printf "POST /raw/sized-$2 HTTP/1.0\r\nhost: h\r\nx-timeout-ms: $3\r\ncontent-length: 0\r\n\r\n" >&"$1"
}
# read_rest DESCRIPTOR: prints the bytes of the body, and "end" or "reset".
read_rest() {
	cat <&"$1" >"$WORK/body$1" 2>/dev/null
	status=$?
	say "$(sed '1,/^\r$/d' "$WORK/body$1" | wc -c) $(test $status = 0 && echo end || echo reset)"
}

start_platform || exit 1
start_process raw "$BIN/tool_raw" server 127.0.0.1:$((servers_port + 90))
start_host 0 z 1
cat >"$WORK/document.yaml" <<END
deployment: test
zones: [z]
services:
  - name: raw
    route: /raw/
    deadline_ms: 1000
    longest_deadline_ms: 9000
    policy: random
    measuring: {requests_per_s: 0, bytes_per_s: 0, cross_zone_bytes_per_s: 0}
    servers:
      - {name: raw-1, address: "127.0.0.1:$((servers_port + 90))", zone: z, slots: 200, connections: 200}
END
wait_http "127.0.0.1:$operators_port" /health || exit 1
apply_document 0 "$WORK/document.yaml" 0 || exit 1
wait_document 1 || exit 1

# The caller reads all that has come after the deadline, while the host stands still until
# the time is over that a caller has to read the rest.
for n in 1 2 3; do
	ask_late 3 $HUGE 500
	sleep 0.75
	kill -STOP "$pid_entry0"
	read_rest 3 >"$WORK/given-up" &
	reader=$!
	sleep 1.5
	kill -CONT "$pid_entry0"
	wait $reader
	exec 3>&-
	check "a part of an answer that was given up ends as \"$(cat "$WORK/given-up")\"" \
		grep -q ' reset$' "$WORK/given-up"
done

# curl ends with 56 when its connection is reset, with 92 when its stream is.
pids=
for n in 1 2 3; do
	curl -s --http2-prior-knowledge --limit-rate 1M -d '' -H 'x-timeout-ms: 500' \
		-o "$WORK/stopped$n" "127.0.0.1:$callers_port/raw/sized-$HUGE" &
	pids="$pids $!"
done
sleep 0.3
kill -STOP $pids
sleep 2.5
kill -CONT $pids
for pid in $pids; do
	wait "$pid"
	status=$?
	check "a caller over HTTP/2 that had stopped ended with $status" test $status = 56
done

# Answers a little larger than what the system holds of one that nobody reads: of some the
# host has all, and the last part is not written yet.
held=$(cut -d' ' -f1 "$WORK/given-up")
size_of() { say $((held + ($1 - FITTING) * STEP)); }
for n in $(seq $SIZES); do ask_late $((9 + n)) "$(size_of "$n")" 8000; done
sleep 1.5
kill_process entry0
whole=0 parts=0
for n in $(seq $SIZES); do
	size=$(size_of "$n")
	came=$(read_rest $((9 + n)))
	case $came in
	"$size end") whole=$((whole + 1)) ;;
	*) parts=$((parts + 1)) ;;
	esac
	check "of $size bytes came \"$came\"" test "$came" = "$size end" -o "${came##* }" = reset
done
check "$whole answers were whole, $parts cut" test $whole -gt 0 -a $parts -gt 0
report_failures
