#!/bin/bash
# Guards against crashes that are not seen because the server is started anew at
# once, under a new id, while its socket is kept: whoever asks finds that it listens.
set -u
PORT_BASE=${PORT_BASE:-29100}
. "$(dirname "$0")/lib_platform.sh"
SERVERS=6 WORK_MS=30
MAX_CRASHES=4

current_id() { # SERVER
	curl -s -o /dev/null -D - "127.0.0.1:$((servers_port + $1))/health" |
		tr -d '\r' | awk 'tolower($1) == "instance-id:" { print $2 }'
}
# register SERVER ID: writes the row of that start of the server.
register() {
	put_row servers "$2" '{"service":"desk","address":"127.0.0.1:'$((servers_port + $1))'","zone":"gs-a","version":"v1","slots":6,"state":"ready","warmup-left-s":0,"sequence":1}'
}
# register_starts: keeps the rows of all servers as these would. Counts starts.
register_starts() {
	local s id
	while test ! -e "$WORK/done"; do
		for s in $(seq 0 $((SERVERS - 1))); do
			id=$(current_id "$s")
			test "$id" = "$(cat "$WORK/id$s")" && continue
			register "$s" "$id" && drop_row servers "$(cat "$WORK/id$s")"
			echo "$id" >"$WORK/id$s"
			echo "$id" >>"$WORK/starts"
		done
		sleep 0.1
	done 2>/dev/null
}

start_platform || exit 1
put_manifest 1 "$(print_route desk /desk/ safe desk)" ||
	fail "the store did not take the manifest"
for s in $(seq 0 $((SERVERS - 1))); do
	start_upstream "$s" $WORK_MS
	register "$s" "s$s" || fail "the store did not take the row of server $s"
	echo "s$s" >"$WORK/id$s"
done
start_followers 0 1
sleep 1
register_starts &
registering=$!
call_in_turn /desk/deadly-held deadly 8 1 0 1
crashed=$(wc -l <"$WORK/starts")
check "a request crashed $crashed servers, allowed $MAX_CRASHES" \
	test "$crashed" -le $MAX_CRASHES
check "only $crashed servers crashed" test "$crashed" -ge 3
check "a sound call is not answered" \
	test "$(call_host 0 /desk/sound sound -o /dev/null)" = " 200"
touch "$WORK/done"
wait $registering
report_failures
