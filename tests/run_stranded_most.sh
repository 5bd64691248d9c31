#!/bin/bash
# Guards against a call that is refused because the few hosts that were tried for it are
# cut off from the servers as well, while there are others that are not.
set -u
PORT_BASE=${PORT_BASE:-31500}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=8 SERVERS=6 WORK_MS=20
# Hosts from this one on are not cut off.
FIRST_SOUND=6
NOTICE_S=3
CALLS=12

start_stranded_hosts "$(print_route desk /desk/ safe desk)" $FIRST_SOUND
cut_source $CUT_SOURCE hang
for host in $(seq 0 $((FIRST_SOUND - 1))); do call_at_once "$host" 6 "notice-$host"; done
sleep $NOTICE_S
# Far enough apart for a host to forget which ones could not help.
ok=0
for n in $(seq $CALLS); do
	test "$(call_host 0 /desk/a "desk-$n" -o /dev/null)" = " 200" &&
		ok=$((ok + 1))
	sleep 0.6
done
check "$ok of $CALLS calls were served" test $ok = $CALLS
report_failures
