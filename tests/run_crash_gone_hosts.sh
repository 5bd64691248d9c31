#!/bin/bash
# Guards against a request that crashes three servers for each host, because the
# hosts that count its crashes for all are gone or cannot be reached.
set -u
PORT_BASE=${PORT_BASE:-27500}
. "$(dirname "$0")/lib_platform.sh"
HOSTS=3 SERVERS=14 WORK_MS=30
# A server for each crash that is needed, and one for a try that was on its way.
MAX_CRASHES=4
GONE_HOSTS=12

start_deployment "$(print_route desk /desk/ safe desk)"
# Machines that were removed for good; their rows stay for a while.
for i in $(seq 20 $((19 + GONE_HOSTS))); do
	put_row hosts "entry-$i" '{"zone":"gs-a","address":"127.0.0.1:'$((peers_port + i))'","rank":9000000000000000}' ||
		fail "the store did not take the row of host $i"
done
start_followers $(all_hosts)
sleep 1

# Which hosts count a request depends on its content: two of them are tried.
for path in /desk/1deadly /desk/2deadly; do
	before=$(live_servers)
	call_in_turn $path $path 9 0.5 $(all_hosts)
	crashed=$((before - $(live_servers)))
	check "$path crashed $crashed servers, allowed $MAX_CRASHES" \
		test $crashed -le $MAX_CRASHES
done
report_failures
