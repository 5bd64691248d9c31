#!/bin/bash
# The whole system starts for the first time. Guards against calls to the store that
# grow with the tables and the number of hosts: each host may write its row and look
# the others up, and gets the tables from another host. Also guards against hosts that
# wait for a neighbour that has nothing, or that is gone, and against hosts that call
# the store more than they need when they start later.
set -u
PORT_BASE=${PORT_BASE:-23600}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=12 SERVERS=1 WORK_MS=5
CALLS_PER_HOST=2
# Of the host that reads for all: tables, then two reads every half second.
COUNT_S=4 CALLS_BESIDE=$((COUNT_S * 4 + 8))

store_calls() {
	curl -s "$platform_address/stats" |
		tr ',' '\n' | awk -F: '/"(reads|writes)"/ { n += $2 + 0 } END { print n }'
}

start_deployment "$(print_route desk /desk/ safe desk)"
before=$(store_calls) started=$(now_ms)
first_start=true
for i in $(all_hosts); do start_follower "$i"; done
check "the hosts do not serve" within $COUNT_S hosts_answer "$(all_hosts)" /desk/a
sleep $((COUNT_S - ($(now_ms) - started) / 1000))
calls=$(($(store_calls) - before))
say "$HOSTS hosts made $calls calls to the store when they started"
check "$HOSTS hosts made $calls calls to the store when they started" \
	test $calls -le $((HOSTS * CALLS_PER_HOST + CALLS_BESIDE))

# A host that returns finds its row, and does not wait for anybody.
first_start=false
kill_process entry3
before=$(store_calls)
start_follower 3
check "a host that returns does not serve at once" within 1 wait_ready 3
sleep 2
calls=$(($(store_calls) - before))
say "$calls calls to the store when a host returned"
check "$calls calls to the store when a host returned" \
	test $calls -le 16

# All return at once, and the first in rank does not.
for i in $(all_hosts); do kill_process "entry$i"; done
before=$(now_ms)
for i in $(seq 1 $((HOSTS - 1))); do start_follower "$i"; done
for i in $(seq 1 $((HOSTS - 1))); do
	wait_ready "$i" || check "host $i does not serve again" false
done
say "all hosts serve again after $(($(now_ms) - before)) ms"
put_manifest 2 "$(print_route desk /desk/ safe desk),$(print_route more /more/ safe desk)"
check "a change does not reach all hosts that returned" within 3 in_force 2 $(seq 1 $((HOSTS - 1)))
report_failures
