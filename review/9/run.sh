#!/bin/bash
# Requesters send the body of an order slowly, within the limits of the manifest. Compares
# the time limit that a server is handed with what is left of the requester's.
set -u
. "$(dirname "$0")/../lib-2.sh"
FRONTS=2 SERVERS=4 REQUESTS=40
DEADLINE_MS=2500 WORK_MS=1200 BODY_BYTES=24000 PIECES=6
GAP_S=$(test "$TROUBLE" = 1 && echo 0.3 || echo 0)

start_store
for s in $(seq 0 $((SERVERS - 1))); do
	start "server$s" $TOOLS/tool_upstream "$(server_address "$s")" "s$s" $WORK_MS
	within 10 answers_200 "$(server_address "$s")/health" || cannot_run "no server $s"
	curl -s -o /dev/null -X PUT -d on "$(server_address "$s")/heads"
	put_server "$s" ordering 20
done
put_manifest 1 "$(route r1 /order/ unsafe ordering)" ordering
for f in $(seq 0 $((FRONTS - 1))); do start_front "$f" first; done
for f in $(seq 0 $((FRONTS - 1))); do wait_front "$f"; done
sleep 3 # the rows of the machines are written and read
piece=$(head -c $((BODY_BYTES / PIECES)) /dev/zero | tr '\0' x)
# send N: an order; a line "ID BEGIN-MS STATUS END-MS". The requester closes its
# connection when its time limit is over.
send() {
	local front status= begin
	front=$(front_address $(($1 % FRONTS)))
	exec 3<>"/dev/tcp/${front%:*}/${front#*:}" || return
	begin=$(now_ms)
	printf 'POST /order/a HTTP/1.1\r\nHost: x.example\r\nAttempt-Id: order-%s\r\nDeadline-Ms: %s\r\nContent-Length: %s\r\n\r\n' \
		"$1" $DEADLINE_MS $BODY_BYTES >&3
	for _ in $(seq $PIECES); do
		printf '%s' "$piece" >&3
		sleep $GAP_S
	done
	left=$((begin + DEADLINE_MS - $(now_ms)))
	test $left -gt 0 && read -r -t "$((left / 1000)).$(printf %03d $((left % 1000)))" _ status _ <&3
	exec 3>&-
	say "order-$1 $begin ${status:-none} $(now_ms)"
}
for n in $(seq $REQUESTS); do
	send "$n" >"$WORK/sent-$n" 2>/dev/null &
	senders="${senders:-} $!"
	sleep 0.1
done
wait $senders
sleep 2
cat "$WORK"/sent-* >"$WORK/sent"
# What servers were handed, and when: ID DEADLINE-MS, and ID SERVER MS.
for s in $(seq 0 $((SERVERS - 1))); do
	curl -s "$(server_address "$s")/heads"
done | awk 'tolower($2) == "deadline-ms:" { print $1, $3 }' >"$WORK/handed"
cat "$WORK"/server*.out | awk '$1 ~ /^order-/ { print $1, $3 }' >"$WORK/ran"
awk -v limit=$DEADLINE_MS '
	FILENAME ~ /handed$/ { handed[$1] = $2; next }
	FILENAME ~ /ran$/ { at[$1] = $2; next }
	{ left = $2 + limit - at[$1]
	  print $1, "status", $3, "left-ms", left, "handed-ms", handed[$1],
		(handed[$1] > left + 500 ? "too-long" : "ok") }' \
	"$WORK/handed" "$WORK/ran" "$WORK/sent" | sort -V >"$here/record.txt"
passed=$(wc -l <"$WORK/handed")
long=$(grep -c ' too-long$' "$here/record.txt")
lost=$(grep -c ' status none .* too-long$' "$here/record.txt")
say "passed on: $passed; with a time limit over 0.5 s longer than what is left: $long; run \
without an answer in time: $lost" | tee -a "$here/record.txt"
test "$passed" -ge $((REQUESTS * 9 / 10)) || cannot_run "only $passed requests reached servers"
test "$long" -le 20 || test $((long * 5)) -le "$passed"
