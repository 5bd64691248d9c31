#!/bin/bash
# Guards against hosts that miss all later manifests, and a host's row that stays lost, when
# a store that counts its restores from 0 has come back from a copy: 0 was taken for a store
# that does not count them.
set -u
PORT_BASE=${PORT_BASE:-29300}
. "$(dirname "$0")/lib_platform.sh"
# EARLIER may name the program of an earlier build, which then runs host 1.
EARLIER=${EARLIER:-}
HOSTS="0 1 2 3" SERVERS=2 WORK_MS=5

route() { print_route "$1" "/$1/" safe desk; }
has_host_row() {
	curl -s "$platform_address/jackdawworks/rows-get?table=hosts&part=" | grep -q "entry-$1"
}

start_platform || exit 1
platform_fault '{"era":'"${ERA:-0}"'}'
start_upstreams
put_manifest 1 "$(route first)" || fail "the store did not take the manifest"
# Host 0 reads the store for the others.
processor_share=0.9 start_follower 0
if test "$EARLIER"; then
	mkdir "$WORK/earlier" && ln -s "$EARLIER" "$WORK/earlier/jackdawworks"
	BIN=$WORK/earlier start_follower 1
fi
for i in 1 2; do test "$EARLIER" -a $i = 1 || start_follower $i; done
for i in 0 1 2; do wait_ready $i || fail "host $i is not ready"; done
sleep 2
platform_fault '{"copy":true}'
start_followers 3
within 3 has_host_row 3 || fail "host 3 has no row"
# The store gives out versions beyond those of the copy.
for n in $(seq 20); do put_row padding "row$n" '{}'; done
sleep 1
for restore in 1 2; do
	platform_fault '{"restore":true}'
	sleep 1
	put_manifest $((restore + 1)) "$(route first),$(route "later$restore")" ||
		fail "the store did not take manifest $((restore + 1))"
	check "restore $restore: a manifest that was written since is not in force" \
		within 2 hosts_answer "$HOSTS" "/later$restore/a"
	check "restore $restore: the row of a host is still lost" within 3 has_host_row 3
done
report_failures
