#!/bin/bash
# CONFIG: a manifest that is written after the store has come back from a copy.
. "$(dirname "$0")/../lib-3.sh"
HOSTS=6 SERVERS=6 WORK_MS=20 APPLY_MS=2000
# Of the store, as hosts see it, before its first restore; the case is about 0.
FIRST_ERA=${FIRST_ERA:-0}

start_platform || exit 2
# What hosts reach as the store. The operator and the servers write to it directly.
store_of_hosts=$platform_address
test "$FIRST_ERA" != 0 || start_store_proxy H_ERA=Store-Era
for s in $(seq 0 $((SERVERS - 1))); do start_server "$s" $WORK_MS; done
routes=$(print_route desk /desk/ safe desk)
put_manifest 1 "$routes" || fail "the first manifest"
# check_in: each server writes its entry every 1.5 s, as long as the case runs.
check_in() {
	local n=1 s
	trap - EXIT
	while test -d "$WORK" && kill -0 $$ 2>/dev/null; do
		n=$((n + 1))
		for s in $(seq 0 $((SERVERS - 1))); do
			put_row servers "s$s" '{"service":"desk","address":"127.0.0.1:'$((servers_port + s))'","zone":"gs-a","version":"v1","slots":6,"state":"ready","warmup-left-s":0,"sequence":'$n',"born":1700000000000}'
			sleep 0.25
		done
	done
}
check_in >/dev/null 2>&1 &
PIDS="$PIDS $!"
start_fronts_by "$store_of_hosts" $HOSTS
sleep 5
store_era() { curl -s -D - -o /dev/null "$store_of_hosts/jackdawworks/rows-get?table=op&part=" | tr -d '\r' | grep -i '^store-era'; }
note "the store says to hosts: $(store_era)"
if test "$TROUBLE" = 1; then
	platform_fault '{"copy": true}'
	sleep 7
	platform_fault '{"down": 1}'
	sleep 0.5
	platform_fault '{"restore": true}'
	platform_fault '{"down": 0}'
	note "the store is back from a copy 7.5 s old, and says: $(store_era)"
else
	sleep 7.5
fi
# Machines are in touch again after 3 s of a stable store.
sleep 4
put_manifest 2 "$routes,$(print_route new /new/ safe desk)" || fail "the second manifest"
ack=$(now_ms)
note "the store has acknowledged version 2, with a new route"
for n in $(seq 50); do
	for i in $(all_hosts); do
		at=$(($(now_ms) - ack))
		say "sent $at host $i status $(call_host "$i" /new/a "n$n-$i" -o /dev/null)"
	done
	sleep 0.1
done >>"$RECORD"
awk -v apply=$APPLY_MS '
$1 == "sent" { all++; if ($2 > apply) { late++; old += $6 == 404; if ($6 == 404) at[$4] = $2 } }
END {
	for (h in at) printf "host %s answers 404 until %d ms after the ack\n", h, at[h]
	printf "%d of %d requests sent later than %d ms after the ack are refused with 404\n", old, late, apply
	if (!late) exit 2
	exit old > 0
}' "$RECORD" >"$WORK/verdict"
status=$?
note "$(cat "$WORK/verdict")"
exit $status
