#!/bin/bash
# More hosts than one host serves alone, in two zones. Guards against changes that
# cross the link between zones for each host, against more than one host that reads
# the store, and against a zone that does not hear of changes when its first host is
# gone or when the host that reads the store is.
set -u
PORT_BASE=${PORT_BASE:-21400}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=44
CHANGE_LIMIT_S=3
# Two reads every half second, and some while hosts look for another one.
COUNT_S=4 MAX_READS=$((COUNT_S * 4 + 12))

zone_of() { test $(($1 % 2)) = 0 && echo gs-a || echo gs-b; }
live_hosts() {
	local i pid
	for i in $(all_hosts); do
		eval "pid=\$pid_entry$i"
		kill -0 "$pid" 2>/dev/null && echo "$i"
	done
}
# polled_by HOST: the host that it polls, by its log.
polled_by() {
	grep '"event":"relay"' "$WORK/entry$1.log" | tail -1 |
		sed -n 's/.*"message":"polling entry-\([0-9]*\)".*/\1/p'
}
# crossing_hosts: how many hosts poll one of another zone.
crossing_hosts() {
	local i source n=0
	for i in $(live_hosts); do
		source=$(polled_by "$i")
		test -n "$source" && test "$(zone_of "$i")" != "$(zone_of "$source")" &&
			n=$((n + 1))
	done
	echo $n
}
next_version() {
	version=$((version + 1))
	put_manifest $version "$(print_route desk /desk/ safe desk),$(print_route "v$version" "/v$version/" safe desk)"
	check "version $version is not in force everywhere in $CHANGE_LIMIT_S s" \
		within $CHANGE_LIMIT_S in_force $version $(live_hosts)
}

version=0 change_limit_s=$CHANGE_LIMIT_S
start_platform || exit 1
start_upstream 0 5
put_server 0 ready || fail "the store did not take the row of the server"
next_version 2>/dev/null
# Host 0 reads the store for all, host 1 is the first of its zone.
first_start=true
processor_share=0.9 host_zone=gs-a start_follower 0
processor_share=0.5 host_zone=gs-b start_follower 1
for i in $(seq 2 $((HOSTS - 1))); do
	host_zone=$(zone_of "$i") start_follower "$i"
done
for i in $(all_hosts); do wait_ready "$i" || fail "host $i is not ready"; done
first_start=false
sleep 4
next_version
check "$(crossing_hosts) hosts poll another zone" test "$(crossing_hosts)" -le 1
before=$(store_stat reads)
sleep $COUNT_S
reads=$(($(store_stat reads) - before))
say "$reads reads of the store in $COUNT_S s by $HOSTS hosts"
check "$reads reads of the store in $COUNT_S s" test $reads -le $MAX_READS

kill_process entry1
next_version
kill_process entry0
next_version
sleep 3
next_version
check "$(crossing_hosts) hosts poll another zone after two are gone" \
	test "$(crossing_hosts)" -le 2
report_failures
