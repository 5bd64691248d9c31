#!/bin/bash
# Guards against callers of a host that reaches no server being refused, while other
# hosts reach the servers: with connections that hang, that are reset, or that live on
# while new ones fail; with the store down; with a call that is passed from one such
# host to another without end; by a host that has not read its routes yet; and against
# hosts that stay on that way after the cut, or go on with connections that the servers
# have closed meanwhile.
set -u
PORT_BASE=${PORT_BASE:-30700}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=4 SERVERS=8 WORK_MS=20
# Hosts 0 and 1 are cut off, 2 and 3 are not.
# Time after which a cut must not matter any more (stable-window-s).
NOTICE_S=3
CALLS=30
# At least, right after a cut that is over.
MIN_SERVED_AFTER=27
# Two thirds of what the other hosts serve.
MIN_SERVED=20

# served HOST PATH ROUND: how many of CALLS calls have a server's answer. Their ids
# begin with the first part of the path.
served() {
	local n ok=0 kind=${2#/}
	for n in $(seq $CALLS); do
		test "$(call_host "$1" "$2" "${kind%/*}-$1-$3-$n" -o /dev/null)" = \
			" 200" && ok=$((ok + 1))
	done
	echo $ok
}
# serve_both HOST ROUND: writes how many calls to each path were served.
serve_both() {
	local path
	for path in /desk/a /order/a; do
		echo "$1 $path $(served "$1" $path "$2")"
	done >"$WORK/served$1"
}
check_served() { # WHAT
	local host path ok pids=
	for host in 0 1 2; do
		serve_both $host "${1// /-}" &
		pids="$pids $!"
	done
	wait $pids
	while read -r host path ok; do
		check "$1: host $host served $ok of $CALLS calls to $path" \
			test "$ok" -ge $MIN_SERVED
	done < <(cat "$WORK"/served[0-2])
}
# Every order, also one that several hosts handled, runs once.
check_runs() {
	local doubled
	doubled=$(cat "$WORK"/server*.out | awk '$1 ~ /^order-/ { print $1 }' |
		sort | uniq -d)
	check "orders that ran more than once: $doubled" test -z "$doubled"
}
sends() { grep -c '"event":"send"' "$WORK/entry$1.log"; }

start_stranded_hosts "$(print_route desk /desk/ safe desk),$(print_route order /order/ unsafe desk)" 2
check_served "before"
for mode in hang reset reset-new; do
	cut_source $CUT_SOURCE $mode
	for host in 0 1; do call_at_once $host 6 "notice$host-$mode"; done
	sleep $NOTICE_S
	check_served "$mode"
	heal_source
	sleep 1
done
# The servers have closed the connections of the time before the cut.
cut_source $CUT_SOURCE hang
call_at_once 0 6 notice0-old
sleep $NOTICE_S
cut_source $CUT_SOURCE reset-old
for n in $(seq $CALLS); do
	call_host 0 /desk/a "desk-0-healed-$n" -o /dev/null >>"$WORK/healed" &
	healed="${healed:-} $!"
done
wait $healed
ok=$(grep -o ' 200' "$WORK/healed" | wc -l)
check "right after the cut host 0 served $ok of $CALLS calls" \
	test "$ok" -ge $MIN_SERVED_AFTER
heal_source
sleep 1

platform_fault '{"down": true}'
cut_source $CUT_SOURCE hang
# Host 3 starts anew and cannot read its routes.
kill_process entry3
server_source=
start_follower 3
sleep 0.5
for host in 0 1; do call_at_once $host 1 "notice$host-down"; done
sleep $NOTICE_S
check_served "store down"
platform_fault '{"down": false}'
heal_source
sleep 1.5
before=$(sends 0)
check_served "after"
check "host 0 sends nothing to servers itself after the cut" \
	test $(($(sends 0) - before)) -ge $MIN_SERVED
check_runs
report_failures
