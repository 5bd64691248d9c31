#!/bin/bash
# Guards against two builds that harm each other while machines are replaced: a host
# of an earlier build drops the rows that it can't use, says that its tables are up to
# date, and so hides a version from the hosts that poll it.
set -u
PORT_BASE=${PORT_BASE:-29600}
. "$(dirname "$0")/lib_platform.sh"
# EARLIER may name the program of an earlier build.
EARLIER=${EARLIER:-}
HOSTS="0 1 2" SERVERS=1 WORK_MS=5

start_earlier_follower() { # I
	local program=$BIN
	test "$EARLIER" && BIN=$WORK/earlier
	JACKDAWWORKS_OFF=all-rows start_follower "$1"
	BIN=$program
}
answers() { test "$(call_host "$1" "$2" "c$BASHPID-$RANDOM")" = "s0 200"; }

mkdir "$WORK/earlier"
test "$EARLIER" && ln -s "$EARLIER" "$WORK/earlier/jackdawworks"
first=$(print_route first /first/ safe desk)
start_deployment "$first"
# Host 0, the earlier build, reads the store for all by its rank.
processor_share=0.9 start_earlier_follower 0
for i in ${HOSTS#0 }; do start_follower "$i"; done
for i in $HOSTS; do wait_ready "$i" || fail "host $i is not ready"; done
sleep 2

long=/$(head -c 500 /dev/zero | tr '\0' p)/
put_manifest 2 "$first,$(print_route second "$long" safe desk)" ||
	fail "the store did not take version 2"
check "version 2 is hidden from hosts 1 and 2" within 2 in_force 2 1 2
for i in 1 2; do
	check "host $i does not serve the new route" answers "$i" "${long}a"
done
for i in $HOSTS; do
	check "host $i does not serve the old route" answers "$i" /first/a
done
# The earlier build goes on with versions that it can use.
put_manifest 3 "$first" || fail "the store did not take version 3"
check "version 3 is not in force everywhere" within 2 in_force 3 $HOSTS

# A host of the earlier build that polls a new one.
kill_process entry0
processor_share=0.9 start_follower 0
kill_process entry2
start_earlier_follower 2
for i in 0 2; do wait_ready "$i" || fail "host $i is not ready again"; done
sleep 2
put_manifest 4 "$first,$(print_route second "$long" safe desk)" ||
	fail "the store did not take version 4"
check "version 4 is not in force on hosts 0 and 1" within 2 in_force 4 0 1
for i in $HOSTS; do
	check "host $i does not serve the old route" answers "$i" /first/a
done
put_manifest 5 "$first" || fail "the store did not take version 5"
check "version 5 is not in force everywhere" within 2 in_force 5 $HOSTS
report_failures
