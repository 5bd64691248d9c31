#!/bin/bash
# Guards against a part of an answer that a caller gets as a whole one: the server answers
# without a length while a long request is written to it, and resets the connection. It
# is a write that learns of the reset then, and the next read finds the end of the
# connection. An answer of that kind whose connection ends in order is whole.
set -u
PORT_BASE=${PORT_BASE:-27400}
. "$(dirname "$0")/lib_wire.sh"
UPLOAD_BYTES=8000000
# More bodies at once than a host keeps are refused.
CALLERS=14
DEADLINE_MS=1900

# upload HOST VERSION WAY ID: sends a call with a long body; prints what came.
upload() {
	{
		printf 'POST /order/%s HTTP/%s\r\nHost: x.example\r\nAttempt-Id: %s\r\n' "$3" "$2" "$4"
		printf 'Deadline-Ms: %s\r\nContent-Length: %s\r\n\r\n' $DEADLINE_MS $UPLOAD_BYTES
		cat "$WORK/body"
	} | "$BIN/tool_raw" send "127.0.0.1:$((callers_port + $1))" $QUIET_S |
		read_wire "$4" | join_chunks
}
# check_uploads WHAT ROUNDS WANTED HOST VERSION WAY: CALLERS at once, ROUNDS times.
uploads=0
check_uploads() {
	local round n pids wire
	for round in $(seq "$2"); do
		pids= uploads=$((uploads + 1))
		for n in $(seq $CALLERS); do
			upload "$4" "$5" "$6" "up-$uploads-$n" >"$WORK/wire$n" &
			pids="$pids $!"
		done
		wait $pids
		for n in $(seq $CALLERS); do
			wire=$(cat "$WORK/wire$n")
			is_wanted "$wire" "$3" && continue
			check "$1, $6: \"$wire\", expected \"$3\"" false
			grep -h "\"up-$uploads-$n\"" "$WORK"/entry*.log
		done
	done
}

head -c $UPLOAD_BYTES /dev/zero >"$WORK/body"
limits='"max-body-bytes":16777216'
start_answers "$(print_route order /order/ unsafe desk)"
# A caller whose host learns of the reset before it has read the head gets an error.
LOST="[502] error end=timeout|[502] error end=eof"
check_uploads "answer of a server" 5 "[200] 5 12345 end=eof|$LOST" 0 1.1 close-earlyrst
check_uploads "answer to HTTP/1.0" 2 "[200] 12345 end=reset|$LOST" 0 1.0 close-earlyrst
check_uploads "answer of a server" 1 "[200] whole-chunks end=timeout" 0 1.1 close-earlyfin
start_cut_off_host
check_uploads "answer through another host" 2 "[200] 5 12345 end=eof|$LOST" 3 1.1 close-earlyrst
check_uploads "answer through another host" 1 "[200] whole-chunks end=timeout" 3 1.1 close-earlyfin
report_failures
