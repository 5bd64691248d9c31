#!/bin/bash
# CONFIG: a manifest with a route whose prefix has 140 bytes never comes into force, and
# neither do the other changes in it. The disruption is that manifest (TROUBLE=0: the same
# with a prefix of 100 bytes).
set -u
CASE=$(cd "$(dirname "$0")" && pwd)
. "$CASE/../lib.sh"
SERVERS=4 # 0 and 1 of the service ordering, 2 and 3 of catalogue
APPLY_S=2 # config-apply-s
CALLS=30 # in 9 s, from half a second after that time on
print_route() { # NAME PREFIX KIND SERVICE
	printf '{"name":"%s","host":"ficu95.example","prefix":"%s","route-kind":"%s","timeout-s":2,"target-latency-s":0.5,"priority":1,"max-attempts":2,"service":"%s"}' "$@"
}
call_all() { # FIRST COUNT
	local n pids=
	for n in $(seq "$1" $(($1 + $2 - 1))); do
		"$STAND" call $((PORT + 30 + n % 2)) ficu95.example /order/a \
			"order-$n" 2500 >"$WORK/call$n" &
		pids="$pids $!"
		sleep 0.3
	done
	for pid in $pids; do wait "$pid"; done
}
runs_at() { # SERVERS...: ids of the orders that ran there
	local i
	for i in "$@"; do awk '$2 == "run" { print $3 }' "$WORK/server$i"; done
}
: >"$RECORD"
choose_ports
start_store
for i in $(seq 0 $((SERVERS - 1))); do
	start "server$i" "$STAND" serve $((PORT + 10 + i)) "i-$i" 1 100 20 \
		"$WORK/never"
	put_server "$i" ready "$(test "$i" -lt 2 && echo ordering || echo catalogue)"
done
put_manifest 7 "$(print_route r-order /order/ unsafe ordering)"
for i in 0 1; do start_host "$i"; done
for i in 0 1; do wait_ready "$i"; done
sleep 2
call_all 1 4
record "before: orders at the old service: $(runs_at 0 1 | xargs); at the new one: $(runs_at 2 3 | xargs)"
bytes=$(test "${TROUBLE:-1}" = 0 && echo 100 || echo 140)
prefix=/$(printf "%0$((bytes - 2))d" 0 | tr 0 p)/
put_manifest 9 "$(print_route r-order /order/ unsafe catalogue),$(print_route r-new "$prefix" safe ordering)"
record "version 9 acknowledged: r-order goes to catalogue, r-new is added, its prefix has $bytes bytes"
sleep $APPLY_S.5
call_all 101 $CALLS
old=$(runs_at 0 1 | grep -c 'order-1[0-9][0-9]$')
new=$(runs_at 2 3 | grep -c 'order-1[0-9][0-9]$')
record "answered: id, status, bytes of the body, how the answer ended"
cat "$WORK"/call* | sort -V >>"$RECORD"
record "run: server, time in ms, event, id"
for i in $(seq 0 $((SERVERS - 1))); do
	sed "s/^/i-$i /" "$WORK/server$i" >>"$RECORD"
done
record "the hosts' log lines about manifests"
grep -h '"event":"manifest"' "$WORK"/host[01] >>"$RECORD"
verdict="of $CALLS orders sent later than $APPLY_S s after the ack, the old service ran $old, the new one $new"
record "$verdict"
echo "$verdict"
test $((old + new)) -gt 0 || cannot_run "no order was served"
test "$old" = 0
