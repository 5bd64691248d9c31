#!/bin/bash
# Guards against confirmed manifests that are not in force, and old manifests and
# server entries that come back, after the store was restored from a copy that
# lacks the last writes: when versions are given out again, when numbers of
# manifests are, when a host has started in between and knows only the copy, and
# when the rows of servers or hosts are among those that are lost.
set -u
PORT_BASE=${PORT_BASE:-27600}
. "$(dirname "$0")/lib_platform.sh"
HOSTS="0 1 2 3 4"

# hosts_keep_answering MS PATH HOSTS: no call fails during that time.
hosts_keep_answering() {
	local until=$(($(date +%s%N) + $1 * 1000000))
	while test "$(date +%s%N)" -lt $until; do
		hosts_answer "$3" "$2" || return 1
		sleep 0.05
	done
}
# put_entry SERVER SERVICE STATE SEQUENCE: writes the row of a server.
put_entry() {
	put_row servers "s$1" '{"service":"'"$2"'","address":"127.0.0.1:'$((servers_port + $1))'","zone":"gs-a","version":"v1","slots":6,"state":"'"$3"'","warmup-left-s":0,"sequence":'"$4"'}'
}
# restore_store: the store is away for a moment and comes back from its copy.
restore_store() {
	platform_fault '{"down":true}'
	sleep 0.7
	platform_fault '{"down":false,"restore":true}'
}
# route NAME: a route of service desk with the prefix /NAME/.
route() { print_route "$1" "/$1/" safe desk; }
# A server that has just joined gets only a share of the calls.
server_2_answers() {
	test "$(call_host "$1" /other/a "lost-$1-$RANDOM$RANDOM")" = "s2 200"
}
# check_servers NAME: hosts 1 to 4 use server 2, which the copy lacks. The ids of
# the calls begin with "lost-" and the host.
check_servers() {
	for i in 1 2 3 4; do
		call_host $i /first/a "lost-$i-$1" >/dev/null
		check "host $i does not use a server that the copy lacks ($1)" \
			within 1 server_2_answers $i
	done
}
# runs_at SERVER PATTERN: number of runs of calls whose ids match PATTERN.
runs_at() { grep -c "$2" "$WORK/server$1.out"; }

start_platform || exit 1
for s in 0 1 2 3; do start_upstream $s 5; done
put_entry 0 desk ready 1
put_entry 1 other ready 1
put_entry 3 desk ready 1
base="$(route first),$(print_route other /other/ safe other)"
put_manifest 1 "$base" || fail "the store did not take the manifest"
# Host 0 reads the store for the others because of its larger processor share.
processor_share=0.9 start_follower 0
for i in 1 2 3; do start_follower $i; done
for i in 0 1 2 3; do wait_ready $i || fail "host $i is not ready"; done
sleep 1

# Lost: the row of host 4, a manifest, a server that joins, one that drains, and
# that one is gone.
platform_fault '{"copy":true}'
start_followers 4
put_manifest 2 "$base,$(route second)"
put_entry 1 other draining 5
put_entry 2 other ready 1
drop_row servers s3
within 3 hosts_answer "$HOSTS" /second/a || fail "version 2 is not in force"
# What no host has read before the restore, no host can know after it.
rows_are_read() {
	local i
	for i in $HOSTS; do
		grep -q '"s1 other at .* leaving"' "$WORK/entry$i.log" &&
			grep -q '"s2 other at' "$WORK/entry$i.log" &&
			grep -q 'entry of s3 was removed' "$WORK/entry$i.log" ||
			return 1
	done
}
within 3 rows_are_read || fail "the rows of the servers are not read"
lost_version=$(store_stat version)
restore_store

# The host that read the store for the others starts anew and knows only the copy.
kill -9 "$pid_entry0"
processor_share=0.9 start_follower 0
check_servers early
# Servers write their entries again within 2 s.
put_entry 1 other draining 6
put_entry 2 other ready 7
wait_ready 0 || fail "host 0 is not ready"
check "an old manifest came back" hosts_keep_answering 1000 /second/a "1 2 3 4"
check_servers late
check "a server that is gone came back" test "$(runs_at 3 '^lost-')" = 0
check "a draining server got calls" test "$(runs_at 1 '^lost-')" = 0

# The operator writes again what is lost. Version LOST_VERSION is given out again
# with the next manifest.
put_manifest 2 "$base,$(route second)"
check "the manifest that was written again is not in force" \
	within 3 hosts_answer "$HOSTS" /second/a
while test "$(store_stat version)" -lt $((lost_version - 1)); do
	put_row padding "row" '{}' || fail "the store did not take a row"
done
put_manifest 3 "$base,$(route second),$(route third)"
check "a manifest under a version that was given out again is not in force" \
	within 2 hosts_answer "$HOSTS" /third/a
host_row_is_back() {
	curl -s "$platform_address/jackdawworks/rows-get?table=hosts&part=" |
		grep -q entry-4
}
check "the row of a host is still lost" within 2 host_row_is_back
sleep 3
check "a server that has written its entry again is not used" \
	within 1 hosts_answer "$HOSTS" /other/a

# A number that was given out before, with other content, well after the restore
# and right after one.
put_manifest 2 "$base,$(route again)"
check "a manifest with a lower number is not in force" \
	within 2 hosts_answer "$HOSTS" /again/a
platform_fault '{"copy":true}'
put_manifest 9 "$base,$(route nine)"
within 2 hosts_answer "$HOSTS" /nine/a || fail "version 9 is not in force"
restore_store
put_manifest 5 "$base,$(route five)"
check "a manifest with a lower number is not in force after a restore" \
	within 3 hosts_answer "$HOSTS" /five/a

# The copy holds a manifest that was replaced before any host read it.
sleep 2
put_manifest 10 "$base,$(route ten)"
platform_fault '{"copy":true}'
put_manifest 11 "$base,$(route eleven)"
within 2 hosts_answer "$HOSTS" /eleven/a || fail "version 11 is not in force"
restore_store
check "a manifest that was replaced at once came back" \
	hosts_keep_answering 700 /eleven/a "$HOSTS"
put_manifest 11 "$base,$(route eleven)"
check "version 11 does not stay in force" \
	hosts_keep_answering 3000 /eleven/a "$HOSTS"
report_failures
