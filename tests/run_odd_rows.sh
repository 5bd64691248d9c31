#!/bin/bash
# Another writer leaves odd rows among those of the servers, and in the table of
# hosts. Guards against hosts that end at them, that stop following the table, that
# use what such a row names, or that pass it on so that others end.
set -u
PORT_BASE=${PORT_BASE:-25600}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3

# put_entry KEY [FIELDS]: a sound row with FIELDS, JSON members, put in front or at
# the end, where later ones of a name count.
put_entry() {
	put_row servers "$1" '{"service":"desk","address":"127.0.0.1:'$servers_port'","zone":"gs-a","version":"v1","slots":6,"state":"ready","warmup-left-s":0,"sequence":1'"${2:+,$2}"'}' ||
		fail "the store did not take the row $1"
}
nested() { head -c "$1" /dev/zero | tr '\0' "$2"; }
check_alive() {
	for i in $(all_hosts); do
		eval "pid=\$pid_entry$i"
		check "host $i ended at $1" kill -0 "$pid" 2>/dev/null
	done
}

start_platform || exit 1
start_upstream 0 5
put_entry s0
put_manifest 1 "$(print_route desk /desk/ safe desk)" ||
	fail "the store did not take the manifest"
start_followers $(all_hosts)

put_row servers odd-deep "$(nested 30000 '[')"
put_row servers odd-deep-object "{\"a\":$(nested 3000 '[')$(nested 3000 ']')}"
put_entry odd-number '"slots":99999999999999999999999'
put_entry odd-real '"warmup-left-s":1e999'
put_entry odd-sequence '"sequence":-1'
put_entry odd-born '"born":123456789012345678901234567890'
put_entry odd-nan '"warmup-left-s":NaN'
for port in 0 -1 65536 99999 18446744073709551697 x ""; do
	put_entry "odd-port$port" '"address":"127.0.0.1:'"$port"'"'
done
put_entry odd-host '"address":"999.0.0.1:80"'
put_entry odd-type '"address":{"ip":"127.0.0.1"},"zone":[],"service":7'
put_entry odd-state '"state":"resting"'
put_entry odd-service '"service":"none"'
put_row servers odd-empty ""
put_row servers odd-null "null"
put_row servers odd-bytes "$(printf '\377\376\301')"
put_row servers odd-large "\"$(nested 45000 x)\""
put_entry 'odd key\r\nX-Other: 1'
put_entry 'odd\u0007'
put_row hosts odd-deep "$(nested 30000 '[')"
put_row hosts odd-host '{"zone":"gs-a","address":"127.0.0.1:99999","rank":1}'
put_row hosts odd-rank '{"zone":"gs-a","address":"127.0.0.1:9","rank":99999999999999999999}'
put_row hosts odd-type '{"zone":7,"address":[],"rank":"first"}'
sleep 2
check_alive "odd rows"
put_manifest 2 "$(print_route desk /desk/ safe desk),$(print_route more /more/ safe desk)"
check "the hosts do not follow the manifest beside odd rows" within 5 in_force 2 $(all_hosts)

# A host that starts finds all of them in one reading.
kill_process entry2
start_follower 2
check "a host does not start beside odd rows" wait_ready 2
for i in $(all_hosts); do
	for n in 1 2 3 4 5 6; do
		answer=$(call_host "$i" /more/a "c$i-$n")
		check "host $i answers \"$answer\"" test "$answer" = "s0 200"
	done
done
check_alive "calls beside odd rows"
used=$(cat "$WORK"/entry*.log | grep '"event":"send"' | grep -c '"server":"odd')
check "$used calls went to servers that odd rows name" test "$used" = 0
lines=$(cat "$WORK"/entry*.log | grep -c 'describes no usable server')
check "odd rows are not logged" test "$lines" -gt 10
check "odd rows were logged $lines times" test "$lines" -lt 300

# The sound row still changes.
put_entry s0 '"state":"draining"'
gone() { test "$(call_host 1 /more/a last)" != "s0 200"; }
check "a change beside odd rows is not followed" within 5 gone
report_failures
