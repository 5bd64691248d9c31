#!/bin/bash
# One machine is partitioned from all servers for some seconds. Requesters send it
# requests on a route whose prefix is "/". Counts the successes that no server gave.
set -u
. "$(dirname "$0")/../lib-2.sh"
FRONTS=3 SERVERS=8 ROUNDS=10
CUT_FROM=127.0.0.2 # the address of front 0 towards servers

# cut MODE: whether servers answer front 0.
cut() {
	local s
	for s in $(seq 0 $((SERVERS - 1))); do
		curl -s -m 2 -o /dev/null -X PUT -d "$CUT_FROM $1" "$(server_address "$s")/cut"
	done
}
# send FRONT ID METHOD PATH [BODY]: one line "ID METHOD PATH STATUS SIGNED BODY". Those
# with a body are orders.
send() {
	local head body=$WORK/body-$2
	head=$(curl -s -m 5 -D - -o "$body" -X "$3" \
		-H "Host: $(test -n "${5:-}" && say orders || say x).example" -H "Attempt-Id: $2" -H 'Deadline-Ms: 2000' -H 'Authorization: Bearer key-1' \
		${5:+-H 'Content-Type: application/json' -d "$5"} \
		"http://$(front_address "$1")$4" | tr -d '\r')
	printf '%s %s %s %s %s %s\n' "$2" "$3" "$4" \
		"$(say "$head" | awk 'NR == 1 { print $2 }')" \
		"$(say "$head" | grep -qi '^response-signature:' && echo signed || echo unsigned)" \
		"$(head -c 60 "$body" 2>/dev/null | tr -d '\n')"
}

start_store
for s in $(seq 0 $((SERVERS - 1))); do
	start "server$s" $TOOLS/tool_upstream "$(server_address "$s")" "s$s" 20
	within 10 answers_200 "$(server_address "$s")/health" || cannot_run "no server $s"
	put_server "$s" oppdrag
done
put_manifest 1 "$(route r1 / safe oppdrag),$(route r2 / unsafe oppdrag |
	sed 's,x.example,orders.example,')" oppdrag \
	'[{"name":"firm-1","api-keys":["key-1"],"rate-per-s":500,"burst":500}]'
for f in $(seq 0 $((FRONTS - 1))); do
	write_settings "$f" first
	test "$f" = 0 && say "  server_source: \"$CUT_FROM\"" >>"$WORK/front0.yaml"
	start "front$f" $PROGRAM serve "$WORK/front$f.yaml"
done
for f in $(seq 0 $((FRONTS - 1))); do wait_front "$f"; done
sleep 3 # the rows of the machines are written and read
send 0 before-1 GET /stock/a >"$WORK/log"
if test "$TROUBLE" = 1; then
	cut hang
	# Some requests show the machine that it reaches no server.
	for n in $(seq 12); do send 0 "first-$n" GET /stock/a >>"$WORK/log" & done
	sleep 3
fi
for n in $(seq $ROUNDS); do
	send 0 "stock-$n" GET "/stock/$n"
	send 0 "alert-$n" GET "/alert"
	send 0 "dots-$n" GET "/stock/%2e%2e/alert?lamp=$n"
	send 0 "order-$n" POST "/quota" "{\"item\":\"mantle\",\"count\":$n}"
done >>"$WORK/log"
test "$TROUBLE" = 1 && cut none
sleep 1
cat "$WORK"/server*.out | awk '{ print $1 }' | sort >"$WORK/ran"

# Successes without a server's signature, and whether a server ran the request.
awk 'NR == FNR { ran[$1] = 1; next }
	{ print $0, ran[$1] ? "ran" : "not-run" }' "$WORK/ran" "$WORK/log" >"$here/record.txt"
wrong=$(grep -c ' 2[0-9][0-9] unsigned ' "$here/record.txt")
lost=$(grep -c '^order-.* 2[0-9][0-9] unsigned .* not-run$' "$here/record.txt")
served=$(grep -c '^stock-.* 200 signed .* ran$' "$here/record.txt")
{
	say "successes without a signature: $wrong; orders among them that no server ran: $lost"
	say "other requests of the same time that were served: $served of $ROUNDS"
	grep -ho '"event":"servers-unreachable".*' "$WORK/front0.out" | head -1
} >>"$here/record.txt"
say "successes without a signature: $wrong, orders lost: $lost, served otherwise: $served"
test "$served" -ge $((ROUNDS * 8 / 10)) || cannot_run "other requests were not served"
test "$wrong" = 0
